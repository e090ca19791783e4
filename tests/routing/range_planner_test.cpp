#include "core/random.h"
#include "routing/range_planner.h"
#include "routing/sliding_window_retry_budget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration time_constant = milliseconds{1200};

/// Owners of all keys. Plans are applied to them immediately.
struct planner_fixture {
    explicit planner_fixture(std::size_t servers, double capacity = 10)
    {
        for (std::size_t n = 0; n < servers; ++n) {
            server_id id{"s" + std::to_string(n)};
            planned_servers.push_back({id, capacity, 0, 2});
            for (auto key = numeric_keys * n / servers; key < numeric_keys * (n + 1) / servers;
                 ++key) {
                owners[key] = n;
            }
        }
    }

    /// Adds requests for random keys of `keys`, `per_second` of them, spread evenly over `length`.
    auto load(key_range keys, double per_second, duration length) -> void
    {
        auto n =
            static_cast<std::int64_t>(per_second * std::chrono::duration<double>{length}.count());
        for (std::int64_t k = 0; k < n; ++k) {
            auto key = keys.first + uniform_below(random, keys.size());
            key_rates.add(static_cast<std::uint16_t>(key), now + length * k / n);
        }
    }

    auto ranges() const -> std::vector<planned_range>
    {
        std::vector<planned_range> out;
        for (std::uint32_t key = 0; key < numeric_keys; ++key) {
            if (!out.empty() && out.back().owner == planned_servers[owners[key]].id) {
                out.back().keys.last = static_cast<std::uint16_t>(key);
            } else {
                auto at = static_cast<std::uint16_t>(key);
                out.push_back({{at, at}, planned_servers[owners[key]].id, false});
            }
        }
        return out;
    }

    auto plan() -> std::size_t
    {
        auto moves = planner.plan(planned_servers, ranges(), key_rates, now);
        for (const auto& it : moves) {
            auto target = std::ranges::find(planned_servers, it.target, &planned_server::id) -
                          planned_servers.begin();
            for (std::uint32_t key = it.keys.first; key <= it.keys.last; ++key) {
                owners[key] = static_cast<std::size_t>(target);
                ++moved_keys;
            }
        }
        return moves.size();
    }

    auto utilizations() -> std::vector<double>
    {
        std::vector<double> out(planned_servers.size(), 0);
        auto rates = key_rates.rates(now);
        for (std::uint32_t key = 0; key < numeric_keys; ++key) {
            out[owners[key]] +=
                rates[key / key_rate_estimator::group_keys] / key_rate_estimator::group_keys;
        }
        for (std::size_t n = 0; n < out.size(); ++n) {
            out[n] /= planned_servers[n].capacity;
        }
        return out;
    }

    std::vector<planned_server> planned_servers;
    std::vector<std::size_t> owners = std::vector<std::size_t>(numeric_keys, 0);
    key_rate_estimator key_rates{time_constant};
    range_planner planner;
    random_engine random{7};
    time_point now{seconds{100}};
    std::uint64_t moved_keys{0};
};

BOOST_AUTO_TEST_SUITE(a_range_planner)

BOOST_AUTO_TEST_CASE(divides_all_keys_among_the_first_servers)
{
    key_rate_estimator key_rates{time_constant};
    constexpr int count = 21;
    std::vector<planned_server> servers;
    servers.reserve(count);
    for (int n = 0; n < count; ++n) {
        servers.push_back({server_id{"s" + std::to_string(n)}, 10, 0, 2});
    }
    auto moves = range_planner{}.plan(servers, {{{0, 65'535}, std::nullopt, false}}, key_rates,
                                      time_point{seconds{1}});
    std::map<server_id, std::uint32_t> keys;
    for (const auto& it : moves) {
        keys[it.target] += it.keys.size();
    }
    BOOST_TEST(keys.size() == 21U);
    for (const auto& [id, n] : keys) {
        BOOST_TEST(n > 3000U);
        BOOST_TEST(n < 3300U);
    }
}

// Load: 45% of the requests go to 200 neighbouring keys, and these keys change.
BOOST_AUTO_TEST_CASE(spreads_neighbouring_busy_keys_over_many_servers)
{
    for (std::uint32_t seed : {1U, 2U, 3U}) {
        planner_fixture fixture{21, 12};
        fixture.random.seed(seed);
        for (std::uint16_t start : {std::uint16_t{20'000}, std::uint16_t{50'000}}) {
            fixture.load({0, 65'535}, 60, seconds{3});
            fixture.load({start, static_cast<std::uint16_t>(start + 199)}, 49, seconds{3});
            fixture.now += seconds{3};
            // Before the plan, one server owns all of these keys.
            BOOST_TEST(std::ranges::max(fixture.utilizations()) > 2.0);
            for (int round = 0; round < 5; ++round) {
                fixture.plan();
            }
            BOOST_TEST(std::ranges::max(fixture.utilizations()) < 1.0);
        }
        // The cost of a move is its share of all keys.
        BOOST_TEST(fixture.moved_keys < numeric_keys / 20);
    }
}

// Load: one key gets far more requests than any server can serve. It must move to the fastest
// server, and almost nothing else may stay there.
BOOST_AUTO_TEST_CASE(gives_a_hot_key_the_fastest_server_to_itself)
{
    planner_fixture fixture{9, 10};
    fixture.planned_servers[7].capacity = 18;
    fixture.load({0, 65'535}, 50, seconds{4});
    fixture.load({1000, 1000}, 48, seconds{4});
    fixture.now += seconds{4};
    for (int round = 0; round < 12; ++round) {
        fixture.plan();
    }
    BOOST_TEST(fixture.owners[1000] == 7U);
    auto other_rate = fixture.key_rates.rate({0, 65'535}, fixture.now) -
                      fixture.key_rates.rate({1000, 1003}, fixture.now);
    auto extra_rate =
        fixture.utilizations()[7] * 18 - fixture.key_rates.rate({1000, 1003}, fixture.now);
    BOOST_TEST(extra_rate < 0.1 * other_rate);
}

// Load: a hot key, and servers whose measured speed changes all the time. Guards against a key that
// is out of service most of the time because it moves again and again.
BOOST_AUTO_TEST_CASE(leaves_a_hot_key_where_it_is_while_the_speed_of_servers_fluctuates)
{
    planner_fixture fixture{10, 12};
    auto owner = fixture.owners[30'000];
    int changes = 0;
    for (int round = 0; round < 10; ++round) {
        fixture.load({30'000, 30'000}, 20, milliseconds{500});
        fixture.load({0, 65'535}, 20, milliseconds{500});
        fixture.now += milliseconds{500};
        for (std::size_t n = 0; n < 10; ++n) {
            fixture.planned_servers[n].capacity =
                (n + static_cast<std::size_t>(round)) % 3 == 0 ? 20 : 10;
        }
        fixture.plan();
        changes += fixture.owners[30'000] != owner ? 1 : 0;
        owner = fixture.owners[30'000];
    }
    BOOST_TEST(changes <= 1);
}

// Load: a busy server whose keys are scattered over many small ranges, as after many moves. Guards
// against a server that stays overloaded because no single range carries all of its excess.
BOOST_AUTO_TEST_CASE(relieves_a_server_whose_keys_are_scattered)
{
    planner_fixture fixture{10, 12};
    std::vector<std::uint32_t> scattered;
    for (std::uint32_t n = 0; n < 40; ++n) {
        auto first = n * 1600 + 800;
        for (std::uint32_t key = first; key < first + 16; ++key) {
            fixture.owners[key] = 0;
        }
        scattered.push_back(first);
    }
    for (auto first : scattered) {
        fixture.load({static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(first + 15)}, 1,
                     seconds{4});
    }
    fixture.now += seconds{4};
    BOOST_TEST(fixture.utilizations()[0] > 1.5);
    for (int round = 0; round < 3; ++round) {
        fixture.plan();
    }
    BOOST_TEST(fixture.utilizations()[0] < 0.8);
}

BOOST_AUTO_TEST_CASE(moves_nothing_under_even_load)
{
    planner_fixture fixture{21, 12};
    fixture.load({0, 65'535}, 80, seconds{10});
    fixture.now += seconds{10};
    BOOST_TEST(fixture.plan() <= 1U);
}

BOOST_AUTO_TEST_CASE(gives_a_joined_server_a_share_of_the_keys)
{
    planner_fixture fixture{8, 20};
    fixture.load({0, 65'535}, 60, seconds{5});
    fixture.now += seconds{5};
    fixture.planned_servers.push_back({server_id{"new"}, 20, 0, 2});
    BOOST_TEST(fixture.plan() >= 1U);
    BOOST_TEST(std::ranges::count(fixture.owners, 8U) > 0);
}

BOOST_AUTO_TEST_CASE(moves_all_keys_off_a_leaving_server)
{
    planner_fixture fixture{8, 20};
    fixture.load({0, 65'535}, 60, seconds{5});
    fixture.now += seconds{5};
    auto ranges = fixture.ranges();
    auto gone = fixture.planned_servers.back().id;
    fixture.planned_servers.pop_back();
    auto moves =
        fixture.planner.plan(fixture.planned_servers, ranges, fixture.key_rates, fixture.now);
    std::uint32_t keys = 0;
    for (const auto& it : moves) {
        BOOST_TEST((it.target != gone));
        keys += it.keys.size();
    }
    BOOST_TEST(keys == numeric_keys / 8);
    // A single successor would get twice its load, so the range is divided.
    BOOST_TEST(moves.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(does_not_move_ranges_that_are_moving)
{
    key_rate_estimator key_rates{time_constant};
    std::vector<planned_server> servers{{server_id{"a"}, 10, 0, 2}};
    auto moves = range_planner{}.plan(servers, {{{0, 65'535}, std::nullopt, true}}, key_rates,
                                      time_point{seconds{1}});
    BOOST_TEST(moves.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_sliding_window_retry_budget)

// Load: many clients repeat requests at the same time while servers fail. All instances together
// must stay within the common bound in each window.
BOOST_AUTO_TEST_CASE(keeps_the_common_bound_over_all_instances)
{
    constexpr std::uint32_t instances = 11;
    constexpr int requests = 500;
    std::vector<sliding_window_retry_budget> all(instances);
    int extra = 0;
    for (auto& it : all) {
        it.configure({0.2, 62, instances, seconds{10}});
        auto now = time_point{seconds{1}};
        for (int n = 0; n < requests; ++n) {
            it.on_request(now);
            extra += it.try_spend(now) ? 1 : 0;
            now += milliseconds{19};
        }
    }
    BOOST_TEST(extra <= 0.2 * requests * instances + 62);
    BOOST_TEST(extra > 0.1 * requests * instances);
}

BOOST_AUTO_TEST_CASE(recovers_as_the_window_slides)
{
    sliding_window_retry_budget it;
    it.configure({0, 10, 1, seconds{10}});
    auto now = time_point{seconds{1}};
    int first = 0;
    while (it.try_spend(now)) {
        ++first;
    }
    BOOST_TEST(first == 7);
    BOOST_TEST(!it.try_spend(now + seconds{9}));
    BOOST_TEST(it.try_spend(now + seconds{11}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
