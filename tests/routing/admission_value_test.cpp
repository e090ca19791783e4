#include "tests/routing/admission_scheduler_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>

namespace cornelswitch {
namespace {

using namespace test;

BOOST_AUTO_TEST_SUITE(the_rule_of_value)

/// A request of a queue with one slot.
auto valued(double value, milliseconds work, milliseconds objective, milliseconds deadline)
    -> valued_request
{
    time_point now{};
    return {value, work, work, now + objective, now + deadline};
}

// Guards against a rule by which a light request of a less urgent priority outweighs a heavy one.
BOOST_AUTO_TEST_CASE(puts_the_priority_before_the_work)
{
    admission_value rule;
    double heavy = rule.value({0, milliseconds{1000}, false, false});
    double light = rule.value({1, milliseconds{100}, false, false});
    BOOST_TEST(heavy > light);
    BOOST_TEST(rule.value({0, milliseconds{100}, false, false}) > heavy);
    BOOST_TEST(rule.value({1, milliseconds{100}, true, false}) > light);
    BOOST_TEST(rule.value({1, milliseconds{100}, true, false}) < heavy);
}

// Load: a burst of requests of one priority with unequal work.
BOOST_AUTO_TEST_CASE(refuses_one_heavy_request_in_favour_of_a_light_one)
{
    admission_value rule;
    std::array queue{valued(2, milliseconds{500}, milliseconds{600}, milliseconds{2000}),
                     valued(10, milliseconds{100}, milliseconds{300}, milliseconds{2000})};
    queue[1].is_arriving = true;
    auto refused = rule.find_displaced(queue, {{}, 1}, time_point{});
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].index == 0U);
    BOOST_TEST(refused[0].favoured_value == 10.0);
}

// Guards against requests that displace each other back and forth although they are worth the same.
BOOST_AUTO_TEST_CASE(refuses_no_waiting_request_in_favour_of_a_similar_one)
{
    admission_value rule;
    std::array queue{valued(2, milliseconds{500}, milliseconds{600}, milliseconds{2000}),
                     valued(2.2, milliseconds{450}, milliseconds{700}, milliseconds{2000}),
                     valued(2.2, milliseconds{450}, milliseconds{700}, milliseconds{2000})};
    queue[2].is_arriving = true;
    auto refused = rule.find_displaced(queue, {{}, 1}, time_point{});
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].index == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_admission_scheduler_with_several_priorities)

auto request_of(scheduler_fixture& fixture, std::uint64_t id, std::uint32_t priority,
                duration objective, duration deadline = seconds{2}) -> admission_request
{
    auto out = fixture.request(id, objective, deadline);
    out.priority = priority;
    out.work = work_class{priority + 1};
    return out;
}

// Guards against an expected wait that counts less urgent requests with an earlier objective as
// ahead, although they are sent later.
BOOST_AUTO_TEST_CASE(counts_only_what_is_sent_earlier_at_the_owner_of_a_key)
{
    admission_settings settings;
    settings.is_keyed = true;
    scheduler_fixture fixture{settings};
    fixture.servers({server("a", 1)});
    fixture.scheduler.set_owner_lookup([](std::uint16_t) -> key_owner {
        return {server_id{"a"}, {}};
    });
    auto submit = [&](std::uint64_t id, std::uint32_t priority) {
        auto request = request_of(fixture, id, priority, milliseconds{500});
        request.key = 7;
        fixture.submit(request);
    };
    for (std::uint64_t id = 1; id <= 4; ++id) {
        submit(id, 2);
    }
    submit(5, 0);
    submit(6, 0);
    BOOST_TEST(!fixture.is_refused(5));
    BOOST_TEST(!fixture.is_refused(6));
    fixture.finish(1);
    BOOST_TEST(fixture.is_sent(5));
}

// Load: late requests of the least urgent class hold all places for late ones.
BOOST_AUTO_TEST_CASE(refuse_a_waiting_late_request_in_favour_of_a_more_urgent_one)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    fixture.submit(request_of(fixture, 1, 0, milliseconds{500}));
    fixture.submit(request_of(fixture, 2, 2, milliseconds{100}));
    BOOST_TEST(!fixture.is_refused(2));
    fixture.submit(request_of(fixture, 3, 0, milliseconds{100}));
    BOOST_TEST(!fixture.is_refused(3));
    BOOST_REQUIRE(fixture.is_refused(2));
    const auto& refused = fixture.decisions.at(2);
    BOOST_TEST(refused.valuation.is_displaced);
    BOOST_TEST(refused.valuation.favoured_value > refused.valuation.value);
    BOOST_TEST(refused.retry_after.count() > 0);
    // A less urgent request that arrives is refused in favour of the one that waits.
    fixture.submit(request_of(fixture, 4, 2, milliseconds{100}));
    BOOST_REQUIRE(fixture.is_refused(4));
    BOOST_TEST(!fixture.decisions.at(4).valuation.is_displaced);
    BOOST_TEST(fixture.decisions.at(4).valuation.favoured_value >
               fixture.decisions.at(4).valuation.value);
    // What runs at the server is not affected.
    BOOST_TEST(fixture.is_sent(1));
    BOOST_TEST(fixture.scheduler.running_on(server_id{"a"}) == 1U);
}

// Load: a burst of urgent requests. Guards against less urgent ones that wait in vain and are
// refused only at their deadline.
BOOST_AUTO_TEST_CASE(refuse_at_once_what_a_burst_of_urgent_requests_pushes_past_its_deadline)
{
    scheduler_fixture fixture;
    fixture.servers({server("a", 1)});
    fixture.submit(request_of(fixture, 1, 0, seconds{1}));
    fixture.submit(request_of(fixture, 2, 1, milliseconds{400}, milliseconds{600}));
    for (std::uint64_t id = 3; id <= 8; ++id) {
        fixture.submit(request_of(fixture, id, 0, seconds{1}));
        BOOST_TEST(!fixture.is_refused(id));
    }
    BOOST_REQUIRE(fixture.is_refused(2));
    BOOST_TEST((fixture.decisions.at(2).cause == refusal_cause::overload));
}

/// Numbers of callers of two classes that are served.
struct served {
    double urgent{0};
    double patient{0};
};

/// Load: urgent requests that alone need twice the capacity of one slot, and patient ones that need
/// half of it, for 30 s.
auto serve_urgent_overload(scheduler_fixture& fixture) -> served
{
    fixture.servers({server("a", 1)});
    std::size_t urgent_count = 0;
    std::size_t patient_count = 0;
    served out;
    for (std::uint64_t n = 1; n <= 600; ++n) {
        fixture.submit(request_of(fixture, 10 * n, 0, milliseconds{300}, seconds{1}));
        ++urgent_count;
        if (n % 4 == 0) {
            fixture.submit(request_of(fixture, 10 * n + 1, 1, seconds{2}, seconds{4}));
            ++patient_count;
        }
        if (n % 2 == 0) {
            auto done = fixture.decisions;
            fixture.decisions.clear();
            for (const auto& [id, decision] : done) {
                if (decision.outcome == admission_outcome::send) {
                    ++(id % 10 == 0 ? out.urgent : out.patient);
                    fixture.finish(id);
                }
            }
        }
        fixture.time.advance(milliseconds{50});
        fixture.scheduler.tick(fixture.time.now());
    }
    out.urgent /= static_cast<double>(urgent_count);
    out.patient /= static_cast<double>(patient_count);
    return out;
}

// Guards against a patient class that gets nothing as long as urgent requests use up the capacity.
BOOST_AUTO_TEST_CASE(do_not_starve_the_least_urgent_class)
{
    scheduler_fixture fixture;
    auto share = serve_urgent_overload(fixture);
    BOOST_TEST(share.patient >= 0.05);
    BOOST_TEST(share.patient <= share.urgent);
    BOOST_TEST(share.urgent >= 0.4);
}

// Guards against decisions that change where nothing is short.
BOOST_AUTO_TEST_CASE(decide_as_without_the_rule_when_nothing_is_short)
{
    admission_settings earlier;
    earlier.value.displaces = false;
    earlier.value.min_served_share = 0;
    earlier.value.books_returns = false;
    std::array<std::vector<std::uint64_t>, 2> sent;
    for (std::size_t n = 0; n < 2; ++n) {
        scheduler_fixture fixture{n == 0 ? admission_settings{} : earlier};
        fixture.servers({server("a", 2), server("b", 2)});
        for (std::uint64_t id = 1; id <= 400; ++id) {
            auto priority = static_cast<std::uint32_t>(uniform_below(fixture.random, 3));
            fixture.submit(request_of(fixture, id, priority, seconds{1 + priority}, seconds{8}));
            if (id % 2 == 0) {
                fixture.time.advance(milliseconds{20 + 20 * (id % 3)});
            }
            auto done = fixture.decisions;
            fixture.decisions.clear();
            for (const auto& [done_id, decision] : done) {
                BOOST_TEST((decision.outcome == admission_outcome::send));
                sent[n].push_back(done_id);
                fixture.finish(done_id, milliseconds{60});
            }
        }
    }
    BOOST_TEST(sent[0].size() > 390U);
    BOOST_TEST((sent[0] == sent[1]));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(callers_that_return)

struct returning_fixture : scheduler_fixture {
    /// Load: 20 requests at once for one slot.
    returning_fixture()
    {
        servers({server("a", 1)});
        for (std::uint64_t id = 1; id <= 20; ++id) {
            submit(request(id, milliseconds{500}, seconds{3}));
        }
        deadline = time.now() + seconds{3};
    }

    auto first_with_place() const -> std::uint64_t
    {
        auto it = std::ranges::find_if(
            decisions, [](const auto& entry) { return entry.second.valuation.has_place; });
        return it == decisions.end() ? 0 : it->first;
    }

    auto return_caller(std::uint64_t id) -> void
    {
        auto again = request(id, milliseconds{500});
        again.deadline = deadline;
        submit(again);
    }

    time_point deadline;
};

// Guards against callers that are refused a second time because others came in between.
BOOST_FIXTURE_TEST_CASE(on_time_are_sent_before_those_that_came_later, returning_fixture)
{
    auto refused = first_with_place();
    BOOST_REQUIRE(refused != 0U);
    auto due = time.now() + decisions.at(refused).retry_after;
    std::uint64_t running = 1;
    std::uint64_t next = 100;
    auto step = [&] {
        time.advance(milliseconds{50});
        scheduler.tick(time.now());
        submit(request(next++, milliseconds{500}, seconds{3}));
        if (next % 2 == 0) {
            finish(running);
            for (const auto& [id, decision] : decisions) {
                if (id != running && decision.outcome == admission_outcome::send &&
                    scheduler.running_on(server_id{"a"}) == 1U && id > running) {
                    running = id;
                }
            }
        }
    };
    while (time.now() < due) {
        step();
    }
    auto later = next;
    return_caller(1000);
    BOOST_TEST(!is_refused(1000));
    while (!is_sent(1000) && time.now() < deadline) {
        step();
        for (auto id = later; id < next; ++id) {
            BOOST_TEST(!(is_sent(id) && !is_sent(1000)));
        }
    }
    BOOST_REQUIRE(is_sent(1000));
    BOOST_TEST(decisions.at(1000).valuation.is_returning);
}

// Guards against callers that gain by not waiting.
BOOST_FIXTURE_TEST_CASE(at_once_gain_nothing, returning_fixture)
{
    BOOST_REQUIRE(first_with_place() != 0U);
    return_caller(1000);
    BOOST_REQUIRE(is_refused(1000));
    BOOST_TEST(!decisions.at(1000).valuation.is_returning);
}

// Guards against callers that return together, or later than they can wait.
BOOST_FIXTURE_TEST_CASE(have_places_at_intervals_within_a_third_of_their_time, returning_fixture)
{
    std::vector<duration> times;
    for (const auto& [id, decision] : decisions) {
        if (decision.valuation.has_place) {
            times.push_back(decision.retry_after);
            BOOST_TEST((decision.retry_after <= seconds{1}));
        }
    }
    BOOST_REQUIRE(times.size() >= 2U);
    std::ranges::sort(times);
    for (std::size_t n = 1; n < times.size(); ++n) {
        BOOST_TEST((times[n] - times[n - 1] >= milliseconds{100}));
    }
}

// Load: a flood of refused requests. Guards against state that grows with it.
BOOST_AUTO_TEST_CASE(take_bounded_state)
{
    return_schedule schedule;
    served_shares shares;
    time_point now{seconds{1}};
    for (std::uint32_t n = 0; n < 10'000; ++n) {
        schedule.invite({std::nullopt, n, 1, now + seconds{60}, now}, {}, {}, now);
        shares.on_refused(n, n, now);
    }
    BOOST_TEST(schedule.size() <= 4096U);
    BOOST_TEST(shares.size() <= 64U);
    schedule.remove_expired(now + seconds{90});
    BOOST_TEST(schedule.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
