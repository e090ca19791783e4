#include "routing/server_scheduler.h"
#include "tests/routing/scheduler_setup.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace cornelswitch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t concurrency = 4;

struct fixture {
    fixture() : scheduler{make_test_server(concurrency), make_test_profile(16)} {}

    auto submit(std::uint64_t id, duration deadline = 1s) -> submit_result
    {
        request_info out;
        out.id = request_id{id};
        out.deadline = now + deadline;
        return scheduler.submit(out, now);
    }

    auto answer(std::uint64_t id, response_signal signal = response_signal::success,
                std::optional<std::uint32_t> running = {}, std::uint64_t boot = 1) -> void
    {
        scheduler.on_response({request_id{id}, signal, 10ms, boot_id{boot}, running}, now);
    }

    /// Sends requests until the limits allow no more. Returns the number of requests sent.
    auto send_all() -> std::uint32_t
    {
        std::uint32_t out = 0;
        while (scheduler.take_next(now)) {
            ++out;
        }
        return out;
    }

    auto warm_up() -> void
    {
        for (std::uint64_t id = 1000; scheduler.limit() < concurrency; ++id) {
            submit(id);
            scheduler.take_next(now);
            now += 10ms;
            answer(id);
        }
    }

    time_point now{1s};
    server_scheduler scheduler;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_server_scheduler)

BOOST_FIXTURE_TEST_SUITE(while_the_server_warms_up, fixture)

// Guards against overloading a cold server by sending its full load at once.
BOOST_AUTO_TEST_CASE(starts_with_one_and_grows_only_on_success)
{
    for (std::uint64_t id = 1; id <= 8; ++id) {
        submit(id);
    }
    BOOST_TEST(send_all() == 1U);
    answer(1, response_signal::failure);
    BOOST_TEST(send_all() == 1U);
    answer(2);
    BOOST_TEST(send_all() == 1U);
    answer(3);
    BOOST_TEST(send_all() == 2U);
    BOOST_TEST(scheduler.in_flight() == 2U);
}

// Guards against a new dispatcher that starts its warm-up without counting the requests that the
// previous one left running.
BOOST_AUTO_TEST_CASE(counts_requests_of_the_previous_dispatcher)
{
    warm_up();
    scheduler.take_over(3, now);
    BOOST_TEST(scheduler.limit() == 1U);
    submit(1);
    BOOST_TEST(send_all() == 0U);
    BOOST_TEST(scheduler.connection_limit() == 97U);
    BOOST_TEST(scheduler.needs_report());
    scheduler.on_report(boot_id{1}, 0, now);
    BOOST_TEST(!scheduler.needs_report());
    BOOST_TEST(send_all() == 1U);
}

// Guards against a restarted or cold server that keeps the limit of the warm one.
BOOST_AUTO_TEST_CASE(restarts_when_the_server_is_cold)
{
    warm_up();
    answer(0, response_signal::success, {}, 2);
    BOOST_TEST(scheduler.limit() == 1U);
    warm_up();
    submit(1);
    send_all();
    answer(1, response_signal::cold);
    BOOST_TEST(scheduler.limit() == 1U);
    // With two requests in flight, a restart breaks at most two connections.
    warm_up();
    scheduler.on_connection_failed(request_id{0}, send_progress::after_first_byte, now);
    BOOST_TEST(scheduler.limit() == 1U);
    warm_up();
    scheduler.on_restart_suspected();
    BOOST_TEST(scheduler.limit() == 1U);
    warm_up();
    for (std::uint64_t id = 1; id <= 3; ++id) {
        submit(id);
        send_all();
        answer(id, response_signal::failure);
    }
    BOOST_TEST(scheduler.limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_no_response_comes, fixture)

// Guards against exceeding the limit because an abandoned request still runs.
BOOST_AUTO_TEST_CASE(counts_abandoned_requests_until_the_bound)
{
    warm_up();
    submit(1, 200ms);
    submit(2, 500ms);
    BOOST_TEST(send_all() == 2U);
    BOOST_TEST((scheduler.cancel(request_id{2}, now) == cancel_result::in_flight));
    BOOST_TEST(scheduler.in_flight() == 2U);
    now += 200ms;
    auto expired = scheduler.expire(now);
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST((expired.front().outcome == request_outcome::unknown));
    BOOST_TEST(scheduler.in_flight() == 2U);
    now += 1s;
    scheduler.expire(now);
    BOOST_TEST(scheduler.in_flight() == 1U);
    now += 300ms;
    scheduler.expire(now);
    BOOST_TEST(scheduler.in_flight() == 0U);
}

// Guards against capacity that stays reserved although the server reports that it runs nothing.
BOOST_AUTO_TEST_CASE(stops_counting_requests_that_the_server_reports_as_ended)
{
    warm_up();
    for (std::uint64_t id = 1; id <= 4; ++id) {
        submit(id);
    }
    BOOST_TEST(send_all() == 4U);
    scheduler.cancel(request_id{1}, now);
    now += 100ms;
    // The server runs three requests, and three active ones were sent longer ago than the maximum
    // transit time.
    scheduler.on_report(boot_id{1}, 3, now);
    BOOST_TEST(scheduler.in_flight() == 4U);
    now += 25ms;
    scheduler.expire(now);
    BOOST_TEST(scheduler.in_flight() == 3U);
    scheduler.cancel(request_id{2}, now);
    scheduler.on_cancel_confirmed(request_id{2});
    BOOST_TEST(scheduler.in_flight() == 2U);
}

// Guards against a report that removes a request from the count although the request was still in
// transit when the report was made.
BOOST_AUTO_TEST_CASE(counts_requests_that_the_report_may_not_cover)
{
    warm_up();
    submit(1);
    send_all();
    scheduler.cancel(request_id{1}, now);
    now += 5ms;
    scheduler.on_report(boot_id{1}, 0, now);
    BOOST_TEST(scheduler.in_flight() == 1U);
}

// Guards against reporting not-run although bytes were sent, and unknown although none were.
BOOST_AUTO_TEST_CASE(reports_the_outcome_of_a_failed_connection)
{
    warm_up();
    submit(1);
    submit(2);
    send_all();
    auto refused =
        scheduler.on_connection_failed(request_id{1}, send_progress::before_first_byte, now);
    auto broken =
        scheduler.on_connection_failed(request_id{2}, send_progress::after_first_byte, now);
    BOOST_TEST((refused == request_outcome::not_run));
    BOOST_TEST((broken == request_outcome::unknown));
    BOOST_TEST(scheduler.in_flight() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_the_deadline_cannot_be_met, fixture)

// Guards against requests that wait although they cannot be served in time, and are refused only
// near their deadline.
BOOST_AUTO_TEST_CASE(refuses_at_once_as_not_run)
{
    warm_up();
    for (std::uint64_t id = 1; id <= 12; ++id) {
        submit(id);
    }
    send_all();
    // The new request would be sent next. With four running requests of 10 ms it waits for 2.5 ms,
    // and it must have twice the service time left after that: 22.5 ms in all.
    BOOST_TEST(submit(19, 23ms).queued);
    auto late = submit(20, 22ms);
    BOOST_TEST(!late.queued);
    BOOST_REQUIRE(late.refusals.size() == 1U);
    BOOST_TEST((late.refusals.front().reason == refusal_reason::deadline_unreachable));
    BOOST_TEST((late.refusals.front().outcome == request_outcome::not_run));
    BOOST_TEST((late.refusals.front().retry_after > 0ms));
}

// Guards against keeping queued requests although the server has become too slow to serve them in
// time.
BOOST_AUTO_TEST_CASE(refuses_waiting_requests_when_the_server_slows_down)
{
    warm_up();
    for (std::uint64_t id = 1; id <= 12; ++id) {
        submit(id, 300ms);
    }
    send_all();
    now += 100ms;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        scheduler.on_response({request_id{id}, response_signal::success, 1s, {}, {}}, now);
    }
    auto refused = scheduler.expire(now);
    BOOST_TEST(refused.size() >= 7U);
    for (const auto& it : refused) {
        BOOST_TEST((it.outcome == request_outcome::not_run));
    }
}

// Guards against an estimate that refuses every request and so is never corrected.
BOOST_AUTO_TEST_CASE(still_tries_an_idle_server)
{
    warm_up();
    submit(1);
    send_all();
    scheduler.on_response({request_id{1}, response_signal::success, 100s, {}, {}}, now);
    BOOST_TEST(submit(2, 100ms).queued);
    BOOST_TEST(send_all() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_it_gets_a_hedge, fixture)

// Guards against hedges that are queued and so delay other requests when every server is busy.
BOOST_AUTO_TEST_CASE(accepts_it_only_if_it_can_start_at_once)
{
    request_info hedge;
    hedge.id = request_id{1};
    hedge.hedge = true;
    hedge.deadline = now + 1s;
    BOOST_TEST(scheduler.submit(hedge, now).queued);
    hedge.id = request_id{2};
    BOOST_TEST(!scheduler.submit(hedge, now).queued);
    BOOST_TEST(send_all() == 1U);
    BOOST_TEST(!scheduler.submit(hedge, now).queued);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_it_drains, fixture)

// Guards against queued requests that are still sent after the lease is lost, or never get a
// response.
BOOST_AUTO_TEST_CASE(refuses_all_queued_requests_when_it_stops)
{
    submit(1);
    submit(2);
    submit(3);
    BOOST_TEST(send_all() == 1U);
    BOOST_TEST(scheduler.stop().size() == 2U);
    answer(1);
    BOOST_TEST(send_all() == 0U);
    BOOST_TEST(!submit(4).queued);
    BOOST_TEST(scheduler.idle());
}

// Guards against failing the whole queue on a server that is down for a moment.
BOOST_AUTO_TEST_CASE(pauses_after_a_refused_connection)
{
    submit(1);
    submit(2);
    scheduler.take_next(now);
    scheduler.on_connection_failed(request_id{1}, send_progress::before_first_byte, now);
    BOOST_TEST(send_all() == 0U);
    now += server_scheduler::connect_backoff;
    BOOST_TEST(send_all() == 1U);
}

// Guards against new requests for a server that is taken out of service, and against a drain that
// never ends.
BOOST_AUTO_TEST_CASE(refuses_new_requests_and_ends_in_time)
{
    submit(1, 30s);
    submit(2, 30s);
    BOOST_TEST(send_all() == 1U);
    scheduler.drain(now);
    auto refused = submit(3);
    BOOST_TEST((refused.refusals.front().reason == refusal_reason::draining));
    now += server_scheduler::drain_send_time;
    answer(1);
    BOOST_TEST(send_all() == 0U);
    BOOST_TEST(scheduler.expire(now).size() == 1U);
    BOOST_TEST(scheduler.idle());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
