#include "tests/routing/admission_scheduler_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>

namespace cornelswitch {
namespace {

using namespace test;

BOOST_AUTO_TEST_SUITE(an_admission_scheduler)

BOOST_AUTO_TEST_SUITE(with_free_slots)

BOOST_AUTO_TEST_CASE(fills_no_server_beyond_its_slots)
{
    scheduler_fixture fixture;
    fixture.servers({server("a"), server("b")});
    for (std::uint64_t n = 1; n <= 6; ++n) {
        fixture.submit(fixture.request(n));
    }
    BOOST_TEST(fixture.scheduler.running_on(server_id{"a"}) == 2U);
    BOOST_TEST(fixture.scheduler.running_on(server_id{"b"}) == 2U);
    BOOST_TEST(fixture.scheduler.waiting() == 2U);
    fixture.finish(1);
    BOOST_TEST(fixture.is_sent(5));
}

BOOST_AUTO_TEST_CASE(sends_a_request_with_a_large_response_to_its_own_zone)
{
    scheduler_fixture fixture;
    fixture.servers({server("far", 2, "z2"), server("near", 2, "z1")});
    auto request = fixture.request(1);
    request.has_large_response = true;
    fixture.submit(request);
    BOOST_TEST(fixture.decisions.at(1).server.value() == "near");
}

BOOST_AUTO_TEST_CASE(avoids_a_server_that_has_turned_slow)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1), server("b", 1)});
    for (std::uint64_t n = 1; n <= 40; ++n) {
        fixture.submit(fixture.request(n));
        bool is_slow = fixture.decisions.at(n).server.value() == "a";
        fixture.finish(n, is_slow ? milliseconds{900} : milliseconds{100});
        fixture.time.advance(milliseconds{50});
    }
    fixture.submit(fixture.request(100));
    BOOST_TEST(fixture.decisions.at(100).server.value() == "b");
}

// Guards against overrating a slow machine: dividing its service time by the slowness that it
// reports would hide that it is slow, unless the mean of the reports is taken into account.
BOOST_AUTO_TEST_CASE(counts_a_machine_that_always_reports_slowness_as_slow)
{
    scheduler_fixture fixture;
    fixture.servers({server("fast", 1), server("slow", 1)});
    for (std::uint64_t n = 1; n <= 60; ++n) {
        fixture.submit(fixture.request(n));
        bool is_slow = fixture.decisions.at(n).server.value() == "slow";
        fixture.scheduler.complete(local_source, admission_id{n},
                                   {attempt_outcome::answered, milliseconds{is_slow ? 240 : 110}, 0,
                                    0, is_slow ? 220U : 100U},
                                   fixture.time.now());
        // Excluding the first server makes sure that both get samples.
        fixture.time.advance(seconds{2});
        auto other = fixture.request(1000 + n);
        other.excluded = {server_id{is_slow ? "slow" : "fast"}};
        fixture.submit(other);
        fixture.scheduler.complete(local_source, admission_id{1000 + n},
                                   {attempt_outcome::answered, milliseconds{is_slow ? 110 : 240}, 0,
                                    0, is_slow ? 100U : 220U},
                                   fixture.time.now());
        fixture.time.advance(seconds{2});
    }
    BOOST_TEST(fixture.scheduler.capacity(server_id{"fast"}) >
               1.6 * fixture.scheduler.capacity(server_id{"slow"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_overload)

// Load: a burst beyond what the servers can finish in time.
BOOST_AUTO_TEST_CASE(refuses_at_once_requests_that_cannot_be_served_in_time)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    for (std::uint64_t n = 1; n <= 200; ++n) {
        fixture.submit(fixture.request(n));
    }
    BOOST_TEST(fixture.is_refused(200));
    BOOST_TEST((fixture.decisions.at(200).cause == refusal_cause::overload));
    BOOST_TEST(fixture.decisions.at(200).retry_after.count() > 0);
    BOOST_TEST(!fixture.is_refused(2));
}

BOOST_AUTO_TEST_CASE(serves_urgent_requests_first)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    fixture.submit(fixture.request(1));
    auto patient = fixture.request(2);
    patient.priority = 2;
    fixture.submit(patient);
    auto urgent = fixture.request(3);
    urgent.priority = 1;
    fixture.submit(urgent);
    fixture.finish(1);
    BOOST_TEST(fixture.is_sent(3));
    BOOST_TEST(!fixture.is_sent(2));
}

BOOST_AUTO_TEST_CASE(serves_requests_that_can_be_in_time_before_late_ones)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    fixture.submit(fixture.request(1));
    fixture.submit(fixture.request(2, milliseconds{200}));
    fixture.time.advance(milliseconds{300});
    fixture.submit(fixture.request(3, milliseconds{400}));
    fixture.finish(1);
    BOOST_TEST(fixture.is_sent(3));
}

BOOST_AUTO_TEST_CASE(refuses_a_queued_request_that_can_no_longer_meet_its_deadline)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    fixture.submit(fixture.request(1));
    fixture.submit(fixture.request(2, milliseconds{200}, milliseconds{400}));
    fixture.time.advance(milliseconds{380});
    fixture.scheduler.tick(fixture.time.now());
    BOOST_TEST(fixture.is_refused(2));
}

// Guards against late requests that wait in vain when a key has more demand than its owner can
// serve, because newer requests that can be in time go first.
BOOST_AUTO_TEST_CASE(bounds_the_late_requests_that_wait)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 2)});
    for (std::uint64_t n = 1; n <= 40; ++n) {
        fixture.submit(fixture.request(n));
    }
    // Two requests run. Those that can be in time wait, plus as many late ones as there are slots.
    auto refused = std::ranges::count_if(fixture.decisions, [](const auto& it) {
        return it.second.outcome == admission_outcome::refuse;
    });
    BOOST_TEST(fixture.scheduler.waiting() + 2U + static_cast<std::size_t>(refused) == 40U);
    BOOST_TEST(fixture.scheduler.waiting() <= 10U);
    BOOST_TEST(fixture.scheduler.waiting() >= 4U);
}

BOOST_AUTO_TEST_CASE(spreads_the_retry_times_of_refused_requests)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    std::vector<std::int64_t> times;
    for (std::uint64_t n = 1; n <= 300; ++n) {
        fixture.submit(fixture.request(n));
        if (fixture.is_refused(n)) {
            times.push_back(fixture.decisions.at(n).retry_after.count());
        }
    }
    auto [shortest, longest] = std::ranges::minmax(times);
    BOOST_TEST(longest - shortest > std::chrono::nanoseconds{milliseconds{100}}.count());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_servers_that_fail)

BOOST_AUTO_TEST_CASE(keeps_a_source_away_from_a_server_it_cannot_reach)
{
    scheduler_fixture fixture;
    fixture.servers({server("a"), server("b")});
    fixture.submit(fixture.request(1));
    auto first = fixture.decisions.at(1).server;
    fixture.finish(1, duration::zero(), attempt_outcome::unreachable);
    fixture.submit(fixture.request(2));
    BOOST_TEST((fixture.decisions.at(2).server != first));
    BOOST_TEST(!fixture.scheduler.is_suspect(first));
}

BOOST_AUTO_TEST_CASE(suspects_a_server_that_two_sources_cannot_reach)
{
    scheduler_fixture fixture;
    fixture.servers({server("a")});
    for (std::uint32_t source : {1U, 2U}) {
        auto request = fixture.request(source);
        request.source = admission_source{source};
        fixture.submit(request);
        fixture.scheduler.complete(admission_source{source}, admission_id{source},
                                   {attempt_outcome::unreachable, duration::zero(), 0, 0, 0},
                                   fixture.time.now());
    }
    BOOST_TEST(fixture.scheduler.is_suspect(server_id{"a"}));
    // A new heartbeat ends the suspicion.
    fixture.time.advance(milliseconds{10});
    auto refreshed = server("a");
    refreshed.last_heartbeat_at = fixture.time.now();
    fixture.servers({refreshed});
    BOOST_TEST(!fixture.scheduler.is_suspect(server_id{"a"}));
}

BOOST_AUTO_TEST_CASE(refuses_at_once_when_there_is_no_server)
{
    scheduler_fixture fixture;
    fixture.servers({});
    fixture.submit(fixture.request(1));
    BOOST_TEST(fixture.is_refused(1));
    BOOST_TEST((fixture.decisions.at(1).cause == refusal_cause::no_server));
}

BOOST_AUTO_TEST_CASE(frees_the_slots_of_a_source_that_is_gone)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    auto request = fixture.request(1);
    request.source = admission_source{7};
    fixture.submit(request);
    fixture.submit(fixture.request(2));
    BOOST_TEST(!fixture.is_sent(2));
    fixture.scheduler.drop_source(admission_source{7}, fixture.time.now());
    BOOST_TEST(fixture.is_sent(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_cold_server)

BOOST_AUTO_TEST_CASE(stays_within_its_share_of_the_limit)
{
    admission_settings settings;
    settings.cold_limit = 10;
    scheduler_fixture fixture{settings};
    auto cold = server("a", 4);
    cold.cold_until = fixture.time.now() + seconds{10};
    fixture.servers({cold});
    std::size_t sent = 0;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        fixture.submit(fixture.request(n, milliseconds{100}, milliseconds{150}));
        if (fixture.is_sent(n)) {
            ++sent;
            fixture.finish(n, milliseconds{1});
        }
        fixture.time.advance(milliseconds{10});
    }
    // In one second, the coordinator may send four tenths of the limit of 10.
    BOOST_TEST(sent <= 4U);
    BOOST_TEST(sent >= 3U);
}

// Guards against full load on a server that restarted cold while the store was unavailable, so that
// the restart could not be read from it.
BOOST_AUTO_TEST_CASE(treats_a_server_that_was_unreachable_as_cold_until_its_next_heartbeat)
{
    constexpr std::size_t trials = 200;
    std::size_t total_sent = 0;
    for (std::size_t trial = 0; trial < trials; ++trial) {
        admission_settings settings;
        settings.is_coordinator = false;
        settings.cold_limit = 11;
        settings.instances = 11;
        scheduler_fixture fixture{settings};
        fixture.random.seed(trial);
        fixture.servers({server("a", 4)});
        fixture.submit(fixture.request(1));
        fixture.finish(1, duration::zero(), attempt_outcome::unreachable);
        // The server is tried again after 4 s and treated as possibly cold for another 2 s.
        fixture.time.advance(milliseconds{4000});
        constexpr std::uint64_t last = 195;
        for (std::uint64_t n = 2; n <= last; ++n) {
            fixture.submit(fixture.request(n, milliseconds{100}, milliseconds{150}));
            fixture.scheduler.tick(fixture.time.now());
            fixture.time.advance(milliseconds{10});
        }
        std::size_t sent = 0;
        for (std::uint64_t n = 2; n <= last; ++n) {
            sent += fixture.is_sent(n) ? 1 : 0;
        }
        BOOST_TEST(sent <= 1U);
        total_sent += sent;
        auto refreshed = server("a", 4);
        refreshed.last_heartbeat_at = fixture.time.now();
        fixture.servers({refreshed});
        fixture.submit(fixture.request(500));
        BOOST_TEST(fixture.is_sent(500));
    }
    // The share of each instance is one request in 5 s.
    BOOST_TEST(total_sent <= trials / 2);
    BOOST_TEST(total_sent >= trials / 4);
}

// Guards against overloading a cold server when all instances lose their coordinator at the same
// time: each keeps to its own rate, but all of them send their first request at the same time.
BOOST_AUTO_TEST_CASE(spreads_first_requests_when_all_instances_lose_their_coordinator)
{
    constexpr std::uint32_t instances = 86;
    constexpr double limit = 12.8;
    constexpr auto step = milliseconds{20};
    constexpr std::size_t steps_per_second = seconds{1} / step;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::vector<std::unique_ptr<scheduler_fixture>> fixtures;
        for (std::uint32_t n = 0; n < instances; ++n) {
            admission_settings settings;
            settings.is_coordinator = false;
            settings.cold_limit = limit;
            settings.instances = instances;
            fixtures.push_back(std::make_unique<scheduler_fixture>(settings));
            auto& fixture = *fixtures.back();
            fixture.random.seed(seed * instances + n);
            // The instance has run for longer than the interval that limits it.
            fixture.time.advance(std::chrono::hours{1});
            auto cold = server("a", 6);
            cold.cold_until = fixture.time.now() + seconds{3};
            fixture.servers({cold});
        }
        std::deque<std::size_t> last_second;
        std::size_t max_per_second = 0;
        std::uint64_t id = 0;
        for (std::size_t n = 0; n < 3 * steps_per_second; ++n) {
            ++id;
            std::size_t sent = 0;
            for (auto& fixture : fixtures) {
                fixture->submit(fixture->request(id, milliseconds{100}, milliseconds{150}));
                sent += fixture->is_sent(id) ? 1 : 0;
                fixture->time.advance(step);
                fixture->scheduler.tick(fixture->time.now());
            }
            last_second.push_back(sent);
            if (last_second.size() > steps_per_second) {
                last_second.pop_front();
            }
            max_per_second =
                std::max(max_per_second,
                         std::accumulate(last_second.begin(), last_second.end(), std::size_t{0}));
        }
        BOOST_TEST(static_cast<double>(max_per_second) <= limit,
                   "seed " << seed << ": " << max_per_second << " requests in one second");
    }
}

BOOST_AUTO_TEST_CASE(keeps_the_limit_over_all_independent_instances)
{
    constexpr std::uint32_t instances = 11;
    std::size_t sent = 0;
    for (std::uint32_t instance = 0; instance < instances; ++instance) {
        admission_settings settings;
        settings.is_coordinator = false;
        settings.cold_limit = 11;
        settings.instances = instances;
        scheduler_fixture fixture{settings};
        auto cold = server("a", 4);
        cold.cold_until = fixture.time.now() + seconds{10};
        fixture.servers({cold});
        for (std::uint64_t n = 1; n <= 100; ++n) {
            fixture.submit(fixture.request(n, milliseconds{100}, milliseconds{150}));
            if (fixture.is_sent(n)) {
                ++sent;
                fixture.finish(n, milliseconds{1});
            }
            fixture.time.advance(milliseconds{10});
        }
    }
    BOOST_TEST(sent <= 11U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_keyed_service)

struct keyed_fixture : scheduler_fixture {
    keyed_fixture() : scheduler_fixture{keyed()}
    {
        scheduler.set_owner_lookup([this](std::uint16_t key) -> key_owner {
            if (key < 100) {
                return {server_id{"a"}, {}};
            }
            if (key < 200) {
                return {server_id{"b"}, {}};
            }
            return {std::nullopt, available_at};
        });
        servers({server("a", 1), server("b", 1)});
        available_at = time.now() + seconds{5};
    }

    static auto keyed() -> admission_settings
    {
        admission_settings out;
        out.is_keyed = true;
        return out;
    }

    auto keyed_request(std::uint64_t id, std::uint16_t key) -> admission_request
    {
        auto out = request(id);
        out.key = key;
        return out;
    }

    time_point available_at;
};

BOOST_FIXTURE_TEST_CASE(sends_each_key_to_its_owner_only, keyed_fixture)
{
    submit(keyed_request(1, 10));
    submit(keyed_request(2, 10));
    submit(keyed_request(3, 150));
    BOOST_TEST(decisions.at(1).server.value() == "a");
    BOOST_TEST(!is_sent(2));
    BOOST_TEST(decisions.at(3).server.value() == "b");
}

BOOST_FIXTURE_TEST_CASE(refuses_a_key_that_gets_an_owner_too_late, keyed_fixture)
{
    submit(keyed_request(1, 300));
    BOOST_TEST(is_refused(1));
    BOOST_TEST((decisions.at(1).cause == refusal_cause::no_owner));
}

// Guards against requests that wait until their deadline for an owner that a network partition
// makes unreachable.
BOOST_FIXTURE_TEST_CASE(refuses_at_once_when_the_owner_cannot_be_reached, keyed_fixture)
{
    submit(keyed_request(1, 10));
    finish(1, duration::zero(), attempt_outcome::unreachable);
    auto next = keyed_request(2, 10);
    next.deadline = time.now() + seconds{1};
    submit(next);
    BOOST_TEST(is_refused(2));
    BOOST_TEST((decisions.at(2).cause == refusal_cause::no_server));
    // Other sources may still reach the owner.
    auto other = keyed_request(3, 10);
    other.source = admission_source{5};
    submit(other);
    BOOST_TEST(is_sent(3));
}

// Load: many keys move at once under overload. Guards against one limit on late requests for all
// moving keys together, and against refusals that blame an overload.
BOOST_FIXTURE_TEST_CASE(lets_late_requests_wait_for_each_moving_range, keyed_fixture)
{
    scheduler.set_owner_lookup([this](std::uint16_t key) -> key_owner {
        return {std::nullopt, time.now() + milliseconds{600},
                static_cast<std::uint16_t>(key / 100 * 100)};
    });
    for (std::uint16_t range = 0; range < 4; ++range) {
        submit(keyed_request(range * 10U, range * 100));
        submit(keyed_request(range * 10U + 1, range * 100 + 5));
    }
    for (std::uint64_t range = 0; range < 4; ++range) {
        BOOST_TEST(!is_refused(range * 10));
        BOOST_TEST(is_refused(range * 10 + 1));
        const auto& refused = decisions.at(range * 10 + 1);
        BOOST_TEST(to_string(refused.cause) == "no-owner");
        BOOST_TEST((refused.retry_after >= milliseconds{450}));
    }
}

BOOST_FIXTURE_TEST_CASE(queues_a_request_for_a_moving_key_and_sends_it_to_the_new_owner,
                        keyed_fixture)
{
    available_at = time.now() + milliseconds{50};
    submit(keyed_request(1, 300));
    BOOST_TEST(!is_refused(1));
    scheduler.set_owner_lookup([](std::uint16_t) -> key_owner { return {server_id{"b"}, {}}; });
    time.advance(milliseconds{60});
    scheduler.tick(time.now());
    BOOST_TEST(decisions.at(1).server.value() == "b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_long_queues)

// Guards against a coordinator that runs out of CPU time when its servers are overloaded: each
// request is compared with all others, and each comparison looks up the owner again.
BOOST_AUTO_TEST_CASE(looks_up_only_the_owner_of_the_affected_request)
{
    admission_settings settings;
    settings.is_keyed = true;
    scheduler_fixture fixture{settings};
    fixture.servers({server("a", 1), server("b", 1)});
    std::size_t lookups = 0;
    fixture.scheduler.set_owner_lookup([&](std::uint16_t key) {
        ++lookups;
        return key_owner{server_id{key < 100 ? "a" : "b"}, fixture.time.now()};
    });
    for (std::uint64_t n = 1; n <= 12; ++n) {
        auto request = fixture.request(n, seconds{20}, seconds{60});
        request.key = static_cast<std::uint16_t>(n % 3 == 0 ? 200 : n);
        fixture.submit(request);
    }
    BOOST_REQUIRE(fixture.scheduler.waiting() == 10U);
    auto backlogs = fixture.scheduler.backlogs();
    BOOST_TEST(backlogs.at(server_id{"a"}) == 7U);
    BOOST_TEST(backlogs.at(server_id{"b"}) == 3U);

    lookups = 0;
    auto request = fixture.request(13, seconds{20}, seconds{60});
    request.key = 5;
    fixture.submit(request);
    BOOST_TEST(lookups == 1U);
    lookups = 0;
    fixture.finish(1);
    BOOST_TEST(lookups == 1U);
    lookups = 0;
    fixture.scheduler.tick(fixture.time.now());
    BOOST_TEST(lookups == fixture.scheduler.waiting());
}

// Guards against an order that depends on the sort algorithm: requests of the same priority and
// objective keep their order of arrival.
BOOST_AUTO_TEST_CASE(orders_by_priority_and_objective)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    fixture.submit(fixture.request(1, seconds{20}, seconds{60}));
    for (std::uint64_t n = 2; n <= 7; ++n) {
        auto request = fixture.request(n, seconds{n % 2 == 0 ? 20 : 10}, seconds{60});
        request.priority = n >= 6 ? 0 : 1;
        fixture.submit(request);
    }
    std::vector<std::uint64_t> order;
    for (std::uint64_t done = 1; order.size() < 6;) {
        fixture.finish(done);
        for (std::uint64_t n = 2; n <= 7; ++n) {
            if (fixture.is_sent(n) && std::ranges::find(order, n) == order.end()) {
                order.push_back(n);
                done = n;
            }
        }
    }
    BOOST_TEST((order == std::vector<std::uint64_t>{7, 6, 3, 5, 2, 4}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
