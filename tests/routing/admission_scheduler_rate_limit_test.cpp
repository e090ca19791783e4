#include "tests/routing/admission_scheduler_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace cornelswitch {
namespace {

using namespace test;

/// Servers that name a rate limit, as a load of equal requests meets them.
struct limited_fixture : scheduler_fixture {
    explicit limited_fixture(admission_settings settings = {}) : scheduler_fixture{settings}
    {
        servers({server("a", 8)});
    }

    /// Sends a request and answers it at once with `limit`.
    auto answer(std::uint64_t id, std::optional<double> limit) -> void
    {
        attempt_report report;
        report.service_time = milliseconds{1};
        report.rate_limit = rate_limit_notice{};
        if (limit) {
            report.rate_limit->limit = request_rate{*limit};
        }
        scheduler.complete(local_source, admission_id{id}, report, time.now());
    }

    /// Lets the server name its limit in the response to one request.
    auto name_limit(double limit) -> void
    {
        auto id = ++last_id;
        submit(request(id));
        time.advance(milliseconds{5});
        answer(id, limit);
    }

    /// Sends requests every 10 ms for `span`; each is answered after 50 ms with `limit`. Returns
    /// when the server got them.
    auto run(duration span, std::optional<double> limit) -> std::vector<time_point>
    {
        std::vector<time_point> out;
        std::vector<std::pair<time_point, std::uint64_t>> running;
        auto end = time.now() + span;
        auto first_id = last_id + 1;
        std::uint64_t next_unseen = first_id;
        while (time.now() < end) {
            submit(request(++last_id));
            scheduler.tick(time.now());
            for (auto id = next_unseen; id <= last_id; ++id) {
                if (is_sent(id) && !seen[id]) {
                    seen[id] = true;
                    out.push_back(time.now());
                    running.emplace_back(time.now() + milliseconds{50}, id);
                }
            }
            std::erase_if(running, [&](const auto& it) {
                if (it.first > time.now()) {
                    return false;
                }
                answer(it.second, limit);
                return true;
            });
            time.advance(milliseconds{10});
        }
        return out;
    }

    static auto most_within(const std::vector<time_point>& times, duration window) -> std::size_t
    {
        std::size_t out = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            auto last = std::find_if(first, times.end(),
                                     [&](const auto& it) { return it >= *first + window; });
            out = std::max(out, static_cast<std::size_t>(last - first));
        }
        return out;
    }

    std::uint64_t last_id{0};
    std::map<std::uint64_t, bool> seen;
};

auto independent(std::uint32_t instances) -> admission_settings
{
    admission_settings out;
    out.is_coordinator = false;
    out.instances = instances;
    return out;
}

BOOST_AUTO_TEST_SUITE(an_admission_scheduler_with_a_limited_server)

BOOST_AUTO_TEST_SUITE(as_coordinator)

// Guards against more requests to a server than the rate that it names.
BOOST_AUTO_TEST_CASE(sends_requests_at_the_rate_of_the_limit)
{
    for (double limit : {0.5, 1.0, 3.2, 20.0}) {
        limited_fixture fixture;
        fixture.name_limit(limit);
        auto sent = fixture.run(seconds{20}, limit);
        auto in_window = static_cast<double>(limited_fixture::most_within(sent, seconds{4}));
        BOOST_TEST(in_window <= 4 * limit + std::max(1.0, limit) + 1.0, limit);
        BOOST_TEST(static_cast<double>(sent.size()) >= 20 * limit - 2.0, limit);
    }
}

// Guards against a burst after the limit was not used for a while.
BOOST_AUTO_TEST_CASE(saves_up_no_more_than_a_short_burst_during_a_pause)
{
    limited_fixture fixture;
    fixture.name_limit(3.0);
    fixture.time.advance(seconds{60});
    auto sent = fixture.run(seconds{4}, 3.0);
    BOOST_TEST(sent.size() <= 16U);
}

// Guards against a server that is shut out for good, because no response can end its limit.
BOOST_AUTO_TEST_CASE(still_tries_a_server_whose_limit_is_zero)
{
    limited_fixture fixture;
    fixture.name_limit(0.0);
    auto sent = fixture.run(seconds{20}, 0.0);
    BOOST_TEST(sent.size() >= 3U);
    BOOST_TEST(limited_fixture::most_within(sent, seconds{4}) <= 2U);
    fixture.run(seconds{5}, std::nullopt);
    BOOST_TEST(!fixture.scheduler.rate_limit(server_id{"a"}, fixture.time.now()).has_value());
    BOOST_TEST(fixture.run(seconds{1}, std::nullopt).size() >= 50U);
}

BOOST_AUTO_TEST_CASE(uses_the_lower_of_the_cold_limit_and_the_rate_limit)
{
    admission_settings settings;
    settings.cold_limit = 10.0;
    limited_fixture fixture{settings};
    auto cold = server("a", 8);
    cold.cold_until = fixture.time.now() + seconds{60};
    fixture.servers({cold});
    fixture.name_limit(1.0);
    BOOST_TEST(limited_fixture::most_within(fixture.run(seconds{8}, 1.0), seconds{4}) <= 6U);
}

BOOST_AUTO_TEST_CASE(does_not_apply_the_limit_to_a_new_process_of_the_server)
{
    limited_fixture fixture;
    fixture.name_limit(1.0);
    auto restarted = server("a", 8);
    restarted.incarnation = 7;
    fixture.servers({restarted});
    BOOST_TEST(fixture.run(seconds{1}, std::nullopt).size() >= 50U);
}

// Guards against a limit of the previous process that a late response applies to the new one.
BOOST_AUTO_TEST_CASE(ignores_the_limit_in_a_late_response_of_the_previous_process)
{
    limited_fixture fixture;
    fixture.submit(fixture.request(900));
    auto restarted = server("a", 8);
    restarted.incarnation = 7;
    fixture.servers({restarted});
    fixture.answer(900, 1.0);
    BOOST_TEST(!fixture.scheduler.rate_limit(server_id{"a"}, fixture.time.now()).has_value());
}

// Guards against a response to a request of an earlier coordinator that ends a newer limit.
BOOST_AUTO_TEST_CASE(keeps_the_limit_when_an_adopted_request_ends_without_it)
{
    limited_fixture fixture;
    fixture.name_limit(1.0);
    fixture.scheduler.adopt(local_source, admission_id{900}, server_id{"a"}, work_class{0},
                            time_point{}, fixture.time.now());
    fixture.time.advance(milliseconds{5});
    fixture.answer(900, std::nullopt);
    BOOST_TEST(fixture.scheduler.rate_limit(server_id{"a"}, fixture.time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(sends_the_remaining_requests_to_servers_without_a_limit)
{
    limited_fixture fixture;
    fixture.servers({server("a", 1)});
    fixture.name_limit(1.0);
    fixture.servers({server("a", 1), server("b", 8)});
    auto sent = fixture.run(seconds{2}, std::nullopt);
    BOOST_TEST(sent.size() >= 150U);
}

// Guards against double use of the limit while a previous coordinator may still admit requests.
BOOST_AUTO_TEST_CASE(uses_only_a_part_of_the_limit_while_it_may_have_a_predecessor)
{
    admission_settings settings;
    settings.may_have_predecessor = true;
    limited_fixture fixture{settings};
    fixture.name_limit(8.0);
    auto sent = fixture.run(seconds{4}, 8.0);
    BOOST_TEST(sent.size() <= 9U);
    BOOST_TEST(sent.size() >= 6U);
}

// Guards against a burst by a new coordinator after its predecessor has used up the limit.
BOOST_AUTO_TEST_CASE(starts_without_saved_up_requests)
{
    limited_fixture fixture{independent(1)};
    fixture.name_limit(8.0);
    fixture.time.advance(seconds{10});
    fixture.scheduler.configure({}, fixture.time.now());
    BOOST_TEST(fixture.run(milliseconds{100}, 8.0).empty());
}

// Guards against health checks that take a server beyond its limit.
BOOST_AUTO_TEST_CASE(counts_health_checks)
{
    limited_fixture fixture;
    fixture.name_limit(1.0);
    auto try_check = [&](const std::string& id) {
        return fixture.scheduler.try_take_health_check(server_id{id}, fixture.time.now());
    };
    std::size_t checks = 0;
    for (int n = 0; n < 800; ++n) {
        checks += try_check("a") ? 1 : 0;
        fixture.time.advance(milliseconds{5});
    }
    BOOST_TEST(checks >= 3U);
    BOOST_TEST(checks <= 5U);
    BOOST_TEST(try_check("unknown"));
}

// Guards against health checks that use up the limit while callers wait.
BOOST_AUTO_TEST_CASE(makes_no_health_check_while_requests_wait)
{
    limited_fixture fixture;
    fixture.name_limit(1.0);
    fixture.submit(fixture.request(100, seconds{2}, seconds{4}));
    BOOST_TEST(!fixture.is_sent(100));
    fixture.time.advance(milliseconds{1100});
    BOOST_TEST(!fixture.scheduler.try_take_health_check(server_id{"a"}, fixture.time.now()));
    fixture.scheduler.tick(fixture.time.now());
    BOOST_TEST(fixture.is_sent(100));
}

BOOST_AUTO_TEST_CASE(takes_over_the_limits_that_other_instances_know)
{
    limited_fixture earlier;
    earlier.name_limit(2.0);
    limited_fixture fixture;
    auto reports = earlier.scheduler.known_rate_limits(earlier.time.now());
    BOOST_REQUIRE(reports.size() == 1U);
    fixture.scheduler.apply_rate_limit(reports[0], instance_id{"i2"}, fixture.time.now());
    auto applied = fixture.scheduler.rate_limit(server_id{"a"}, fixture.time.now());
    BOOST_REQUIRE(applied.has_value());
    BOOST_TEST(applied->reported_by.value() == "i2");
    BOOST_TEST(limited_fixture::most_within(fixture.run(seconds{8}, 2.0), seconds{4}) <= 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_keyed_requests)

struct keyed_fixture : limited_fixture {
    keyed_fixture() : limited_fixture{keyed_settings()}
    {
        scheduler.set_owner_lookup([](std::uint16_t) {
            return key_owner{server_id{"a"}, time_point{}};
        });
    }

    static auto keyed_settings() -> admission_settings
    {
        admission_settings out;
        out.is_keyed = true;
        return out;
    }

    auto keyed(std::uint64_t id, std::uint32_t priority = 0) -> admission_request
    {
        auto out = request(id);
        out.key = 5;
        out.priority = priority;
        return out;
    }
};

// Guards against requests that wait for a limited owner although they cannot be served in time.
BOOST_AUTO_TEST_CASE(refuses_at_once_what_the_owners_limit_leaves_no_time_for)
{
    keyed_fixture fixture;
    fixture.name_limit(1.0);
    for (std::uint64_t id = 100; id < 110; ++id) {
        fixture.submit(fixture.keyed(id));
    }
    auto refused = fixture.decisions.at(109);
    BOOST_TEST((refused.outcome == admission_outcome::refuse));
    BOOST_TEST((refused.cause == refusal_cause::rate_limit));
    BOOST_REQUIRE(refused.rate_limit.has_value());
    BOOST_TEST(refused.rate_limit->limit.per_second == 1.0);
    // Random deviation included, the caller comes back when those ahead of it have been sent.
    BOOST_TEST((refused.retry_after >= milliseconds{700}));
}

BOOST_AUTO_TEST_CASE(sends_the_most_urgent_requests_first)
{
    keyed_fixture fixture;
    fixture.name_limit(2.0);
    fixture.submit(fixture.keyed(100, 3));
    fixture.submit(fixture.keyed(101, 0));
    fixture.time.advance(milliseconds{520});
    fixture.scheduler.tick(fixture.time.now());
    BOOST_TEST(fixture.is_sent(101));
    BOOST_TEST(!fixture.is_sent(100));
}

// Guards against keys that stay at a limited server because the planner counts on its slots.
BOOST_AUTO_TEST_CASE(counts_the_limit_as_the_servers_capacity)
{
    keyed_fixture fixture;
    BOOST_TEST(fixture.scheduler.capacity(server_id{"a"}) > 10.0);
    fixture.name_limit(3.0);
    BOOST_TEST(fixture.scheduler.capacity(server_id{"a"}) <= 3.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_instances_without_contact_to_the_coordinator)

// Guards against shares of single instances that add up to more than the limit.
BOOST_AUTO_TEST_CASE(stays_within_a_quarter_of_the_limit_in_total)
{
    constexpr std::uint32_t instances = 60;
    constexpr double limit = 4.0;
    std::vector<time_point> sent;
    for (std::uint32_t n = 0; n < instances; ++n) {
        limited_fixture fixture{independent(instances)};
        fixture.random = random_engine{n};
        fixture.name_limit(limit);
        auto own = fixture.run(seconds{20}, limit);
        sent.insert(sent.end(), own.begin(), own.end());
    }
    std::ranges::sort(sent);
    BOOST_TEST(limited_fixture::most_within(sent, seconds{4}) <= 12U);
    BOOST_TEST(sent.size() >= 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
