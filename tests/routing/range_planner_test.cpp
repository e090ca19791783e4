#include "core/random.h"
#include "routing/range_planner.h"
#include "routing/repeat_allowance.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration time_constant = milliseconds{1200};

/// Owners of ranges, to which plans are applied at once.
struct planned_world {
    explicit planned_world(std::size_t servers, double capacity = 10)
    {
        for (std::size_t n = 0; n < servers; ++n) {
            server_id id{"s" + std::to_string(n)};
            list.push_back({id, capacity, 0, 2});
            for (auto key = numeric_keys * n / servers; key < numeric_keys * (n + 1) / servers;
                 ++key) {
                owners[key] = n;
            }
        }
    }

    /// Requests that arrive evenly over `length`, `per_second` for the keys of `keys`.
    auto load(key_range keys, double per_second, duration length) -> void
    {
        auto n =
            static_cast<std::int64_t>(per_second * std::chrono::duration<double>{length}.count());
        for (std::int64_t k = 0; k < n; ++k) {
            auto key = keys.first + uniform_below(random, keys.size());
            heat.add(static_cast<std::uint16_t>(key), now + length * k / n);
        }
    }

    auto ranges() const -> std::vector<planned_range>
    {
        std::vector<planned_range> out;
        for (std::uint32_t key = 0; key < numeric_keys; ++key) {
            if (!out.empty() && out.back().owner == list[owners[key]].id) {
                out.back().keys.last = static_cast<std::uint16_t>(key);
            } else {
                auto at = static_cast<std::uint16_t>(key);
                out.push_back({{at, at}, list[owners[key]].id, false});
            }
        }
        return out;
    }

    auto plan() -> std::size_t
    {
        auto moves = planner.plan(list, ranges(), heat, now);
        for (const auto& it : moves) {
            auto target = std::ranges::find(list, it.target, &planned_server::id) - list.begin();
            for (std::uint32_t key = it.keys.first; key <= it.keys.last; ++key) {
                owners[key] = static_cast<std::size_t>(target);
                ++moved_keys;
            }
        }
        return moves.size();
    }

    auto utilizations() -> std::vector<double>
    {
        std::vector<double> out(list.size(), 0);
        auto rates = heat.rates(now);
        for (std::uint32_t key = 0; key < numeric_keys; ++key) {
            out[owners[key]] += rates[key / key_heat::group_keys] / key_heat::group_keys;
        }
        for (std::size_t n = 0; n < out.size(); ++n) {
            out[n] /= list[n].capacity;
        }
        return out;
    }

    std::vector<planned_server> list;
    std::vector<std::size_t> owners = std::vector<std::size_t>(numeric_keys, 0);
    key_heat heat{time_constant};
    range_planner planner;
    random_engine random{7};
    time_point now{seconds{100}};
    std::uint64_t moved_keys{0};
};

BOOST_AUTO_TEST_SUITE(a_range_planner)

BOOST_AUTO_TEST_CASE(divides_all_keys_among_the_first_servers)
{
    key_heat heat{time_constant};
    constexpr int count = 21;
    std::vector<planned_server> servers;
    servers.reserve(count);
    for (int n = 0; n < count; ++n) {
        servers.push_back({server_id{"s" + std::to_string(n)}, 10, 0, 2});
    }
    auto moves = range_planner{}.plan(servers, {{{0, 65'535}, std::nullopt, false}}, heat,
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

// The pattern: 45 of 100 requests go to 200 neighbouring keys, which change.
BOOST_AUTO_TEST_CASE(spreads_neighbouring_busy_keys_over_many_servers)
{
    for (std::uint32_t seed : {1U, 2U, 3U}) {
        planned_world world{21, 12};
        world.random.seed(seed);
        for (std::uint16_t start : {std::uint16_t{20'000}, std::uint16_t{50'000}}) {
            world.load({0, 65'535}, 60, seconds{3});
            world.load({start, static_cast<std::uint16_t>(start + 199)}, 49, seconds{3});
            world.now += seconds{3};
            // Before the plan one server carries them all.
            BOOST_TEST(std::ranges::max(world.utilizations()) > 2.0);
            for (int round = 0; round < 5; ++round) {
                world.plan();
            }
            BOOST_TEST(std::ranges::max(world.utilizations()) < 1.0);
        }
        // The price of a move is its share of all keys.
        BOOST_TEST(world.moved_keys < numeric_keys / 20);
    }
}

// The pattern: one key gets far more than any server can serve. It belongs on the fastest server,
// and nothing else on that one.
BOOST_AUTO_TEST_CASE(gives_a_busy_key_the_fastest_server_for_itself)
{
    planned_world world{9, 10};
    world.list[7].capacity = 18;
    world.load({0, 65'535}, 50, seconds{4});
    world.load({1000, 1000}, 48, seconds{4});
    world.now += seconds{4};
    for (int round = 0; round < 12; ++round) {
        world.plan();
    }
    BOOST_TEST(world.owners[1000] == 7U);
    auto others =
        world.heat.rate({0, 65'535}, world.now) - world.heat.rate({1000, 1003}, world.now);
    auto beside = world.utilizations()[7] * 18 - world.heat.rate({1000, 1003}, world.now);
    BOOST_TEST(beside < 0.1 * others);
}

BOOST_AUTO_TEST_CASE(moves_nothing_under_even_load)
{
    planned_world world{21, 12};
    world.load({0, 65'535}, 80, seconds{10});
    world.now += seconds{10};
    BOOST_TEST(world.plan() <= 1U);
}

BOOST_AUTO_TEST_CASE(gives_a_server_that_joined_a_share)
{
    planned_world world{8, 20};
    world.load({0, 65'535}, 60, seconds{5});
    world.now += seconds{5};
    world.list.push_back({server_id{"new"}, 20, 0, 2});
    BOOST_TEST(world.plan() >= 1U);
    BOOST_TEST(std::ranges::count(world.owners, 8U) > 0);
}

BOOST_AUTO_TEST_CASE(leaves_nothing_with_a_server_that_leaves)
{
    planned_world world{8, 20};
    world.load({0, 65'535}, 60, seconds{5});
    world.now += seconds{5};
    auto ranges = world.ranges();
    auto gone = world.list.back().id;
    world.list.pop_back();
    auto moves = world.planner.plan(world.list, ranges, world.heat, world.now);
    std::uint32_t keys = 0;
    for (const auto& it : moves) {
        BOOST_TEST((it.target != gone));
        keys += it.keys.size();
    }
    BOOST_TEST(keys == numeric_keys / 8);
    // One successor would take on twice its load, so the range is divided.
    BOOST_TEST(moves.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(leaves_moving_ranges_alone)
{
    key_heat heat{time_constant};
    std::vector<planned_server> servers{{server_id{"a"}, 10, 0, 2}};
    auto moves = range_planner{}.plan(servers, {{{0, 65'535}, std::nullopt, true}}, heat,
                                      time_point{seconds{1}});
    BOOST_TEST(moves.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_repeat_allowance)

// The pattern: many clients repeat at once while servers fail; all instances together stay within
// the common bound in each window.
BOOST_AUTO_TEST_CASE(adds_up_to_the_common_bound_over_all_instances)
{
    constexpr std::uint32_t instances = 11;
    constexpr int requests = 500;
    std::vector<repeat_allowance> all(instances);
    int extra = 0;
    for (auto& it : all) {
        it.configure({0.2, 62, instances, seconds{10}});
        auto now = time_point{seconds{1}};
        for (int n = 0; n < requests; ++n) {
            it.on_request(now);
            extra += it.try_take(now) ? 1 : 0;
            now += milliseconds{19};
        }
    }
    BOOST_TEST(extra <= 0.2 * requests * instances + 62);
    BOOST_TEST(extra > 0.1 * requests * instances);
}

BOOST_AUTO_TEST_CASE(recovers_as_the_window_slides)
{
    repeat_allowance it;
    it.configure({0, 10, 1, seconds{10}});
    auto now = time_point{seconds{1}};
    int first = 0;
    while (it.try_take(now)) {
        ++first;
    }
    BOOST_TEST(first == 7);
    BOOST_TEST(!it.try_take(now + seconds{9}));
    BOOST_TEST(it.try_take(now + seconds{11}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
