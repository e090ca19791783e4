#include "routing/in_flight_tracker.h"
#include "routing/load_cache.h"
#include "routing/out_of_service_tracker.h"
#include "routing/service_time_estimator.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_load_cache)

struct cache_fixture {
    auto expected(const char* server) const -> duration
    {
        return loads.expected_time(server_id{server}, now);
    }
    auto respond(const char* server, duration latency) -> void
    {
        auto sent = now;
        loads.on_sent(files, server_id{server}, sent);
        now += latency;
        loads.on_response(files, server_id{server}, sent, now);
    }
    service_id files{"files"};
    load_cache loads;
    time_point now{1s};
};

// Guards against routing by outdated load samples.
BOOST_FIXTURE_TEST_CASE(prefers_fresh_samples_and_lets_them_expire, cache_fixture)
{
    respond("a", 10ms);
    BOOST_TEST((expected("a") == 10ms));
    loads.on_sample(server_id{"a"}, {4, 2, 2, 20ms, true}, now);
    // Seven requests with a limit of two: five of them wait.
    BOOST_TEST((expected("a") == 20ms + 5 * 20ms / 2));
    loads.on_sent(files, server_id{"a"}, now);
    BOOST_TEST((expected("a") == 20ms + 6 * 20ms / 2));
    loads.on_sample(server_id{"b"}, {0, 0, 2, 20ms, false}, now);
    BOOST_TEST(!loads.accepts_work(server_id{"b"}, now));
    now += load_cache::sample_lifetime;
    BOOST_TEST(loads.accepts_work(server_id{"b"}, now));
    BOOST_TEST((expected("a") == 20ms));
}

// Guards against preferring a server that seems idle because it refuses every connection.
BOOST_FIXTURE_TEST_CASE(avoids_a_server_that_fails, cache_fixture)
{
    respond("a", 10ms);
    loads.on_sent(files, server_id{"a"}, now);
    loads.on_failed(server_id{"a"}, true, now, now);
    BOOST_TEST((expected("a") > 10ms));
    now += 1s;
    BOOST_TEST((expected("a") == 10ms));
    BOOST_TEST(loads.outstanding(server_id{"a"}) == 0U);
}

// Guards against detecting a slow server only after its responses arrive.
BOOST_FIXTURE_TEST_CASE(detects_a_slow_server_by_the_age_of_its_requests, cache_fixture)
{
    for (auto n = 0; n < 20; ++n) {
        respond("a", 10ms);
        respond("b", 10ms);
    }
    loads.on_sent(files, server_id{"a"}, now);
    BOOST_TEST(!loads.is_straggler(files, server_id{"a"}, now + 30ms));
    BOOST_TEST(loads.is_straggler(files, server_id{"a"}, now + 31ms));
    BOOST_TEST(!loads.is_straggler(files, server_id{"b"}, now + 31ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_out_of_service_tracker)

// Guards against a new view that restarts the grace period of an instance.
BOOST_AUTO_TEST_CASE(keeps_the_time_at_which_an_instance_went_out)
{
    routing_view view;
    view.instances[instance_id{"i"}] = {instance_id{"i"}, zone_id{"z"}, {}, false};
    out_of_service_tracker tracker;
    time_point now{1s};
    tracker.update(view, now);
    tracker.update(view, now + 1s);
    BOOST_TEST(tracker.accepts(instance_id{"i"}, now + 1999ms));
    BOOST_TEST(!tracker.accepts(instance_id{"i"}, now + 2s));
    view.instances[instance_id{"i"}].accepts_work = true;
    tracker.update(view, now + 3s);
    BOOST_TEST(tracker.accepts(instance_id{"i"}, now + 3s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_in_flight_tracker)

// Guards against inherited requests that count against a server forever or are dropped too early.
BOOST_AUTO_TEST_CASE(counts_inherited_requests_until_their_bound)
{
    in_flight_tracker tracker;
    time_point now{1s};
    tracker.set_inherited(3, now + 10s);
    tracker.on_report(2, now);
    BOOST_TEST(tracker.total() == 2U);
    tracker.on_report(5, now + 1s);
    BOOST_TEST(tracker.total() == 2U);
    tracker.advance(now + 9s);
    BOOST_TEST(tracker.total() == 2U);
    tracker.advance(now + 10s);
    BOOST_TEST(tracker.total() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_service_time_estimator)

// Guards against an estimate that a lower bound reduces or that a single response dominates.
BOOST_AUTO_TEST_CASE(rises_with_lower_bounds_and_smooths_responses)
{
    service_time_estimator estimate;
    BOOST_TEST(!estimate.measured());
    for (auto n = 0; n < 100; ++n) {
        estimate.add(10ms);
    }
    estimate.add_lower_bound(1ms);
    BOOST_TEST((estimate.mean() > 9999us && estimate.mean() < 10001us));
    estimate.add_lower_bound(170ms);
    BOOST_TEST((estimate.mean() > 19ms && estimate.mean() < 21ms));
}

BOOST_AUTO_TEST_SUITE_END()
