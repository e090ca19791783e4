#include "routing/connection_monitor.h"
#include "routing/download_resume.h"
#include "routing/hot_key_counter.h"
#include "routing/idempotency_table.h"
#include "routing/latency_quantile.h"
#include "routing/retry_budget.h"
#include "routing/server_choice.h"
#include "routing/straggler_detector.h"
#include "routing/warmup_ramp.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace cornelswitch;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(a_retry_budget)

// Guards against a burst of retries to a failing service from a budget accumulated in quiet
// periods.
BOOST_AUTO_TEST_CASE(allows_a_share_of_requests_and_a_bounded_burst)
{
    retry_budget budget{10};
    for (auto n = 0; n < 100'000; ++n) {
        budget.on_request();
    }
    auto burst = 0;
    while (budget.try_spend()) {
        ++burst;
    }
    BOOST_TEST(burst == 10);
    BOOST_TEST(!retry_budget{0}.try_spend());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_latency_quantile)

// Guards against a quantile that is wrong by more than a bucket, or that old latencies dominate
// forever.
BOOST_AUTO_TEST_CASE(follows_recent_latencies)
{
    latency_quantile latencies;
    BOOST_TEST(!latencies.quantile(0.5));
    for (auto n = 1; n <= 1000; ++n) {
        latencies.add(n * 10us);
    }
    BOOST_TEST((*latencies.quantile(0.95) >= 9500us));
    BOOST_TEST((*latencies.quantile(0.95) <= 10600us));
    for (auto n = 0; n < 40'000; ++n) {
        latencies.add(100us);
    }
    BOOST_TEST((*latencies.quantile(0.95) <= 112us));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_straggler_detector)

struct detector_fixture {
    auto feed(const char* server, duration latency, int times = 1) -> void
    {
        for (auto n = 0; n < times; ++n) {
            detector.on_latency(server_id{server}, latency, now);
        }
    }
    auto is_straggler(const char* server) const -> bool
    {
        return detector.is_straggler(server_id{server});
    }
    straggler_detector detector;
    time_point now{1s};
};

// Guards against a slow server that keeps its share of requests, or never gets it back.
BOOST_FIXTURE_TEST_CASE(detects_a_slow_server_and_its_recovery, detector_fixture)
{
    for (const auto* it : {"a", "b", "c"}) {
        feed(it, 8ms, 100);
    }
    // The median of all three servers is cached for a short time.
    now += straggler_detector::median_lifetime;
    feed("a", 8ms);
    BOOST_TEST(!detector.is_slow(server_id{"a"}, 20ms));
    BOOST_TEST(detector.is_slow(server_id{"a"}, 25ms));
    feed("a", 80ms, 3);
    BOOST_TEST(is_straggler("a"));
    BOOST_TEST(!detector.take_probe(server_id{"a"}, now));
    now += straggler_detector::probe_interval;
    BOOST_TEST(detector.take_probe(server_id{"a"}, now));
    BOOST_TEST(!detector.take_probe(server_id{"a"}, now));
    // A fast response is followed by the next probe immediately, a slow one is not.
    feed("a", 80ms);
    BOOST_TEST(!detector.take_probe(server_id{"a"}, now));
    feed("a", 8ms);
    BOOST_TEST(detector.take_probe(server_id{"a"}, now));
    feed("a", 8ms, 10);
    BOOST_TEST(!is_straggler("a"));
}

// Guards against a slow server that is never detected because hedges cancel its requests, and
// against treating a healthy server as a straggler because of a single lost hedge.
BOOST_FIXTURE_TEST_CASE(detects_a_server_that_loses_consecutive_hedges, detector_fixture)
{
    for (const auto* it : {"a", "b", "c"}) {
        feed(it, 8ms, 100);
    }
    auto lose = [&] { detector.on_lower_bound(server_id{"a"}, 18ms, now); };
    lose();
    feed("a", 8ms);
    lose();
    BOOST_TEST(!is_straggler("a"));
    lose();
    BOOST_TEST(is_straggler("a"));
}

// Guards against excluding servers because all of them are slow, or because their hardware is
// slower.
BOOST_FIXTURE_TEST_CASE(ignores_servers_that_are_slow_together, detector_fixture)
{
    feed("slow-hardware", 40ms, 100);
    for (const auto* it : {"a", "b", "c"}) {
        feed(it, 8ms, 100);
    }
    feed("slow-hardware", 40ms, 5);
    BOOST_TEST(!is_straggler("slow-hardware"));
    for (auto n = 0; n < 50; ++n) {
        now += straggler_detector::median_lifetime;
        for (const auto* it : {"a", "b", "c"}) {
            feed(it, 80ms);
        }
    }
    BOOST_TEST((!is_straggler("a") && !is_straggler("b") && !is_straggler("c")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_choice)

// Guards against requests that leave the zone without a gain, stay in a busy zone, or go to a
// straggler while other servers are available.
BOOST_AUTO_TEST_CASE(considers_zones_load_and_stragglers)
{
    random_engine random{3};
    std::vector<server_candidate> all{{server_id{"near"}, true, false, 0, 10ms},
                                      {server_id{"slow"}, true, true, 0, 1ms},
                                      {server_id{"far"}, false, false, 0, 9ms}};
    for (auto n = 0; n < 20; ++n) {
        BOOST_TEST(choose_power_of_two(all, random) == 0U);
    }
    all[0].expected_time = 20ms;
    BOOST_TEST(choose_power_of_two(all, random) == 2U);
    all[0].straggler = true;
    all[2].straggler = true;
    BOOST_TEST(choose_power_of_two(all, random) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_warmup_ramp)

// Guards against restarting the warm-up repeatedly during one slow episode.
BOOST_AUTO_TEST_CASE(restarts_once_for_each_cold_episode)
{
    warmup_ramp ramp{1, 2, 4};
    for (auto n = 0; n < 100; ++n) {
        ramp.on_success(10ms);
    }
    BOOST_TEST(ramp.warm());
    for (auto n = 0; n < 5; ++n) {
        ramp.on_success(100ms);
    }
    BOOST_TEST(!ramp.warm());
    for (auto n = 0; n < 10; ++n) {
        ramp.on_success(100ms);
    }
    BOOST_TEST(ramp.warm());
    ramp.on_shed();
    BOOST_TEST(ramp.limit() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection_monitor)

// Guards against requests that stay on an unresponsive connection, and against pings on an idle
// one.
BOOST_AUTO_TEST_CASE(pings_and_then_replaces_an_unresponsive_connection)
{
    connection_monitor monitor;
    time_point now{1s};
    BOOST_TEST(!monitor.next_wakeup());
    monitor.on_request(now);
    BOOST_TEST((monitor.check(now + 99ms) == connection_action::none));
    BOOST_TEST((monitor.check(now + 100ms) == connection_action::ping));
    BOOST_TEST((monitor.check(now + 299ms) == connection_action::none));
    BOOST_TEST((monitor.check(now + 300ms) == connection_action::replace));
    monitor.on_received(now + 300ms);
    BOOST_TEST((monitor.check(now + 350ms) == connection_action::none));
    monitor.on_request_ended();
    BOOST_TEST((monitor.check(now + 10s) == connection_action::none));
    monitor.on_request(now + 10s);
    BOOST_TEST((monitor.check(now + 10s) == connection_action::none));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_hot_key_counter)

// Guards against missing a hot key among many others, and against reporting it forever.
BOOST_AUTO_TEST_CASE(finds_hot_keys_and_drops_them_later)
{
    random_engine random{5};
    hot_key_counter counter;
    auto feed = [&](std::uint64_t hot) {
        for (auto n = 0; n < 10'000; ++n) {
            auto is_hot = uniform_below(random, 10) == 0;
            counter.add(key_hash{is_hot ? hot : 1000 + uniform_below(random, 100'000)});
        }
    };
    feed(1);
    BOOST_TEST(counter.top(1).front().key.value() == 1U);
    BOOST_TEST(counter.top(100).size() == hot_key_counter::default_capacity);
    for (auto n = 0; n < 3; ++n) {
        counter.decay();
        feed(2);
    }
    BOOST_TEST(counter.top(1).front().key.value() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_idempotency_table)

struct table_fixture {
    auto begin(std::string_view key, std::uint64_t fingerprint = 1) -> idempotency_action
    {
        return table.begin("t", key, fingerprint, takeover, now).action;
    }
    idempotency_table table{4, 1000};
    time_point now{200s};
    slot_takeover takeover{time_point{100s}, wall_time_point{1'700'000'000s}};
};

// Guards against running a request twice, for example a booking, when a caller retries it.
BOOST_FIXTURE_TEST_CASE(runs_each_key_once, table_fixture)
{
    BOOST_TEST((begin("k") == idempotency_action::run));
    BOOST_TEST((begin("k") == idempotency_action::in_progress));
    BOOST_TEST((begin("k", 2) == idempotency_action::mismatch));
    table.complete("t", "k", {201, {{"a", "b"}}, "done"}, now);
    auto again = table.begin("t", "k", 1, takeover, now);
    BOOST_REQUIRE((again.action == idempotency_action::replay));
    BOOST_TEST(again.response->body == "done");
    now += idempotency_table::retention + 1ns;
    BOOST_TEST((begin("k") == idempotency_action::run));
    table.mark_response_lost("t", "k", now);
    BOOST_TEST((begin("k") == idempotency_action::response_unavailable));
    BOOST_TEST((begin("other") == idempotency_action::run));
    table.forget("t", "other");
    BOOST_TEST((begin("other") == idempotency_action::run));
}

// Guards against running a request again that an earlier dispatcher may have run.
BOOST_FIXTURE_TEST_CASE(runs_only_keys_that_no_earlier_dispatcher_can_have_run, table_fixture)
{
    now = takeover.taken_at + 10s;
    // Created at 1,700,000,000,500 ms, and one millisecond earlier.
    BOOST_TEST((begin("018bcfe5-69f4-7000-8000-000000000000") == idempotency_action::run));
    BOOST_TEST((begin("018bcfe5-69f3-7000-8000-000000000000") ==
                idempotency_action::may_have_run_elsewhere));
    BOOST_TEST((begin("018bcfe5-69f4-4000-8000-000000000000") ==
                idempotency_action::may_have_run_elsewhere));
    BOOST_TEST((begin("any text") == idempotency_action::may_have_run_elsewhere));
    now = takeover.taken_at + 60s;
    BOOST_TEST((begin("any text") == idempotency_action::may_have_run_elsewhere));
    now += 1ns;
    BOOST_TEST((begin("any text") == idempotency_action::run));
}

// Guards against unbounded memory use, and against freeing memory by dropping a key that may be
// repeated.
BOOST_FIXTURE_TEST_CASE(drops_bodies_but_not_keys_when_full, table_fixture)
{
    for (const auto* key : {"1", "2", "3", "4"}) {
        BOOST_TEST((begin(key) == idempotency_action::run));
        table.complete("t", key, {200, {}, std::string(400, 'x')}, now);
        BOOST_TEST(table.bytes() <= 1000U);
    }
    BOOST_TEST((begin("1") == idempotency_action::response_unavailable));
    BOOST_TEST((begin("4") == idempotency_action::replay));
    BOOST_TEST((begin("5") == idempotency_action::full));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_download_resume)

constexpr const char* etag = "\"v1\"";

auto head(std::uint32_t status, std::string_view tag, std::string_view range = "",
          std::optional<std::uint64_t> length = {}) -> download_head
{
    return {status, tag, range, "", length};
}

// Guards against mixing bytes of two versions of a file in one response.
BOOST_AUTO_TEST_CASE(resumes_only_the_same_representation)
{
    auto it = download_resume::start("GET", true, head(200, etag, "", 1000));
    BOOST_REQUIRE(it.has_value());
    it->on_body(400);
    BOOST_TEST(it->next_request().range == "bytes=400-");
    BOOST_TEST(it->next_request().if_range == etag);
    auto action = [&](const download_head& h) { return it->on_response(h).action; };
    BOOST_TEST((action(head(206, etag, "bytes 400-999/1000")) == resume_action::append));
    BOOST_TEST((action(head(206, etag, "bytes 300-999/1000")) == resume_action::abort));
    BOOST_TEST((action(head(206, etag, "bytes 400-998/1000")) == resume_action::abort));
    BOOST_TEST((action(head(206, etag, "bytes 400-1000/1001")) == resume_action::abort));
    BOOST_TEST((action(head(206, "\"v2\"", "bytes 400-999/1000")) == resume_action::abort));
    BOOST_TEST((action(head(206, etag, "bytes x-999/1000")) == resume_action::abort));
    BOOST_TEST(it->on_response(head(200, etag, "", 1000)).skip_bytes == 400U);
    BOOST_TEST((action(head(200, "\"v2\"", "", 1000)) == resume_action::abort));
    BOOST_TEST((action(head(416, "")) == resume_action::abort));
    BOOST_TEST((action(head(503, "")) == resume_action::retry));
    BOOST_TEST((action(head(404, "")) == resume_action::abort));
    it->on_body(600);
    BOOST_TEST((action(head(416, "")) == resume_action::complete));
}

// Guards against exceeding the range that the caller requested when the download is resumed.
BOOST_AUTO_TEST_CASE(keeps_the_range_of_the_caller)
{
    auto it = download_resume::start("GET", true, head(206, etag, "bytes 100-199/1000"));
    BOOST_REQUIRE(it.has_value());
    it->on_body(50);
    BOOST_TEST(it->next_request().range == "bytes=150-199");
    BOOST_TEST(
        (it->on_response(head(206, etag, "bytes 150-199/1000")).action == resume_action::append));
    BOOST_TEST((it->on_response(head(200, etag)).action == resume_action::abort));
}

// Guards against resuming without proof that the remaining bytes belong to the same representation.
BOOST_AUTO_TEST_CASE(needs_an_idempotent_get_and_a_strong_etag)
{
    BOOST_TEST(!download_resume::start("POST", true, head(200, etag)));
    BOOST_TEST(!download_resume::start("GET", false, head(200, etag)));
    BOOST_TEST(!download_resume::start("GET", true, head(200, "W/\"v1\"")));
    BOOST_TEST(!download_resume::start("GET", true, head(200, "")));
    BOOST_TEST(!download_resume::start("GET", true, head(404, etag)));
}

BOOST_AUTO_TEST_SUITE_END()
