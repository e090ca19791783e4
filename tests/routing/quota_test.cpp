#include "core/manual_clock.h"
#include "routing/quota/quota_allocator.h"
#include "routing/quota/quota_limiter.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const workspace_id name{"w"};

/// Two instances with an allocator, without delays.
struct two_instances {
    explicit two_instances(request_quota quota = {100, 50}) : allocator{bounds, time.now()}
    {
        allocator.configure({{name, quota}}, time.now());
        allocator.set_instances(2);
        for (auto* it : {&a, &b}) {
            it->configure({{name, quota}}, time.now());
            it->set_instances(2);
            it->set_allocator("allocator", time.now());
        }
    }

    auto report(quota_limiter& from, std::uint64_t boot = 1) -> void
    {
        instance_id id{&from == &a ? "a" : "b"};
        auto answer =
            allocator.on_report(id, boot_id{boot}, from.make_report(time.now()), time.now());
        from.on_allocation(answer, time.now());
        for (const auto& [to, notice] : allocator.take_notices(time.now())) {
            (to.value() == "a" ? a : b).on_allocation(notice, time.now());
        }
    }
    /// Lets time pass in report intervals, in which the instances are offered `n` requests each.
    auto pass(duration length, int n) -> int
    {
        int admitted = 0;
        for (auto end = time.now() + length; time.now() < end;) {
            for (int index = 0; index < n; ++index) {
                time.advance(quota_limiter::report_interval / n);
                admitted += a.admit(name, time.now()).is_admitted ? 1 : 0;
                admitted += b.admit(name, time.now()).is_admitted ? 1 : 0;
            }
            if (n == 0) {
                time.advance(quota_limiter::report_interval);
            }
            allocator.tick(time.now());
            report(a);
            report(b);
        }
        return admitted;
    }

    quota_bounds bounds;
    manual_clock time;
    quota_allocator allocator;
    quota_limiter a{bounds, 1};
    quota_limiter b{bounds, 2};
};

BOOST_AUTO_TEST_SUITE(quotas)

// Guards against a workspace without a quota that is counted or refused.
BOOST_AUTO_TEST_CASE(admit_all_requests_of_workspaces_without_one)
{
    two_instances they;
    for (int n = 0; n < 1000; ++n) {
        BOOST_TEST(they.a.admit(workspace_id{"other"}, they.time.now()).is_admitted);
    }
    BOOST_TEST(they.a.make_report(they.time.now()).entries.empty());
}

BOOST_AUTO_TEST_CASE(limit_a_workspace_while_it_exceeds_its_rate)
{
    two_instances they;
    they.pass(seconds{2}, 4);
    BOOST_TEST((they.allocator.mode(name) == quota_mode::open));
    BOOST_TEST_CONTEXT("eight times the rate")
    {
        they.pass(seconds{2}, 80);
        BOOST_TEST((they.allocator.mode(name) == quota_mode::limited));
        // The page of the requirements sets the bound: (100 x 5 + 50) x 1.1 + 20.
        BOOST_TEST(they.pass(seconds{5}, 80) <= 625);
        auto changes = they.allocator.take_changes();
        BOOST_REQUIRE(changes.size() == 1U);
        BOOST_TEST(changes[0].is_exceeding);
    }
    BOOST_TEST_CONTEXT("the usual load again")
    {
        they.pass(seconds{8}, 4);
        BOOST_TEST((they.allocator.mode(name) == quota_mode::open));
        BOOST_TEST(they.pass(seconds{2}, 4) == 2 * 4 * 10);
        auto changes = they.allocator.take_changes();
        BOOST_REQUIRE(changes.size() == 1U);
        BOOST_TEST(!changes[0].is_exceeding);
    }
}

// Guards against an instance that is idle when a workspace becomes limited, and admits everything
// when the requests move to it.
BOOST_AUTO_TEST_CASE(tell_idle_instances_when_the_mode_changes)
{
    two_instances they;
    they.pass(seconds{1}, 0);
    for (int n = 0; n < 400; ++n) {
        they.time.advance(milliseconds{1});
        they.a.admit(name, they.time.now());
        if (they.a.needs_report(they.time.now())) {
            they.report(they.a);
        }
    }
    int admitted = 0;
    for (int n = 0; n < 100; ++n) {
        admitted += they.b.admit(name, they.time.now()).is_admitted ? 1 : 0;
    }
    BOOST_TEST(admitted <= 1);
}

// Guards against callers that all retry at the same moment.
BOOST_AUTO_TEST_CASE(spread_the_retries_of_refused_callers)
{
    two_instances they;
    they.pass(seconds{2}, 80);
    std::set<duration> times;
    int refused = 0;
    for (int n = 0; n < 100; ++n) {
        auto decision = they.a.admit(name, they.time.now());
        if (!decision.is_admitted) {
            ++refused;
            times.insert(decision.retry_after);
            BOOST_TEST((decision.retry_after > duration::zero()));
            BOOST_TEST((decision.retry_after <= they.bounds.window));
        }
    }
    BOOST_TEST(refused > 50);
    BOOST_TEST(times.size() == static_cast<std::size_t>(refused));
    // The rate of the instance is about half of the quota's.
    BOOST_TEST((*std::next(times.begin(), 50) - *times.begin() >= milliseconds{500}));
}

// Guards against requests that were refused later, for example for lack of servers, and still use
// the quota.
BOOST_AUTO_TEST_CASE(get_back_the_tokens_of_requests_that_did_not_run)
{
    two_instances they;
    they.pass(seconds{1}, 0);
    for (int n = 0; n < 5; ++n) {
        they.a.admit(name, they.time.now());
    }
    they.a.give_back(name, they.time.now());
    auto report = they.a.make_report(they.time.now());
    BOOST_REQUIRE(report.entries.size() == 1U);
    BOOST_TEST(report.entries[0].admitted == 4U);
    BOOST_TEST(report.entries[0].offered == 5U);
    BOOST_TEST_CONTEXT("also when they were reported before")
    {
        they.a.give_back(name, they.time.now());
        they.a.admit(name, they.time.now());
        they.a.admit(name, they.time.now());
        auto next = they.a.make_report(they.time.now());
        BOOST_REQUIRE(next.entries.size() == 1U);
        BOOST_TEST(next.entries[0].admitted == 1U);
    }
    BOOST_TEST_CONTEXT("a report that could not be sent is part of the next one")
    {
        they.a.admit(name, they.time.now());
        auto lost = they.a.make_report(they.time.now());
        they.a.restore(lost);
        auto next = they.a.make_report(they.time.now());
        BOOST_REQUIRE(next.entries.size() == 1U);
        BOOST_TEST(next.entries[0].admitted == 1U);
    }
}

// Guards against a quota that doubles because both sides of a broken link use all of it.
BOOST_AUTO_TEST_CASE(are_divided_while_an_instance_is_isolated)
{
    two_instances they;
    they.pass(seconds{4}, 30);
    auto share = they.b.share(name, they.time.now());
    BOOST_TEST(share > 0.3);
    BOOST_TEST(share < 0.7);
    int by_a = 0;
    int by_b = 0;
    for (auto end = they.time.now() + seconds{5}; they.time.now() < end;) {
        they.time.advance(milliseconds{5});
        by_a += they.a.admit(name, they.time.now()).is_admitted ? 1 : 0;
        by_b += they.b.admit(name, they.time.now()).is_admitted ? 1 : 0;
        if (they.a.needs_report(they.time.now()) || by_a % 20 == 0) {
            they.report(they.a);
        }
    }
    BOOST_TEST(they.b.is_isolated(they.time.now()));
    BOOST_TEST(!they.a.is_isolated(they.time.now()));
    BOOST_TEST(by_a + by_b <= 625);
    BOOST_TEST(by_b <= 5 * 100 * 0.7 + 50 + 20);
    BOOST_TEST_CONTEXT("the last share is replaced by an equal one after ten seconds")
    {
        they.time.advance(seconds{6});
        BOOST_TEST(they.b.share(name, they.time.now()) == 0.5);
    }
}

// Guards against a restarted instance whose shares are counted twice, or whose first requests are
// refused until it reports.
BOOST_AUTO_TEST_CASE(replace_the_earlier_boot_of_an_instance)
{
    two_instances they;
    they.pass(seconds{2}, 2);
    they.report(they.a, 2);
    BOOST_TEST(they.allocator.records() <= 2U);
    BOOST_TEST(they.allocator.sum_of_shares(name, they.time.now()) <= 1.0 + 1e-9);
}

// Guards against a quota that stays reduced after instances were taken out for good, because the
// number of instances never decreases.
BOOST_AUTO_TEST_CASE(are_whole_again_after_instances_left)
{
    two_instances they;
    they.allocator.set_instances(4);
    they.pass(seconds{3}, 30);
    // Half of the rate is reserved for the two members that do not report.
    BOOST_TEST(they.pass(seconds{5}, 30) <= 5 * 50 * 1.1 + 20);
    they.pass(quota_allocator::member_timeout, 0);
    they.allocator.set_instances(4);
    they.pass(seconds{3}, 30);
    BOOST_TEST(they.pass(seconds{5}, 30) >= 5 * 100 * 0.9);
}

// Guards against a change of the configuration that grants the burst again.
BOOST_AUTO_TEST_CASE(apply_a_reduced_quota_within_one_window)
{
    two_instances they;
    they.pass(seconds{3}, 10);
    request_quota reduced{20, 10};
    they.allocator.configure({{name, reduced}}, they.time.now());
    they.a.configure({{name, reduced}}, they.time.now());
    they.b.configure({{name, reduced}}, they.time.now());
    they.pass(they.bounds.window, 10);
    BOOST_TEST(they.pass(they.bounds.window, 10) <= (20 * 5 + 10) * 1.1 + 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
