#include "core/manual_clock.h"
#include "routing/shared_rate_limiter.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration interval = seconds{10};

/// Acts whenever the limiter allows it.
struct limited_instance {
    auto try_act(time_point now) -> bool
    {
        bool may_act = limiter.may_act(now, interval, random);
        if (may_act) {
            limiter.on_act(now);
        }
        return may_act;
    }

    random_engine random{7};
    shared_rate_limiter limiter;
};

BOOST_AUTO_TEST_SUITE(a_shared_pace)

BOOST_AUTO_TEST_CASE(allows_one_action_per_interval_after_a_random_start)
{
    manual_clock time;
    limited_instance instance;
    std::size_t actions = 0;
    for (int n = 0; n < 3000; ++n) {
        actions += instance.try_act(time.now()) ? 1 : 0;
        time.advance(milliseconds{10});
    }
    BOOST_TEST(actions >= 2U);
    BOOST_TEST(actions <= 3U);

    BOOST_TEST_CONTEXT("after the limited period has ended, an action does not count")
    {
        instance.limiter.reset();
        instance.limiter.on_act(time.now());
        std::size_t actions_after_reset = 0;
        for (int n = 0; n < 1000; ++n) {
            actions_after_reset += instance.try_act(time.now()) ? 1 : 0;
            time.advance(milliseconds{10});
        }
        BOOST_TEST(actions_after_reset == 1U);
    }
}

// Guards against simultaneous first actions of all instances when they lose their coordinator at
// the same moment.
BOOST_AUTO_TEST_CASE(spreads_the_first_actions_of_instances_that_start_together)
{
    constexpr std::size_t instances = 1000;
    manual_clock time;
    std::size_t in_first_tenth = 0;
    for (std::size_t n = 0; n < instances; ++n) {
        random_engine random{n};
        shared_rate_limiter limiter;
        bool has_acted = false;
        for (auto it = duration::zero(); it <= interval / 10; it += milliseconds{25}) {
            has_acted = has_acted || limiter.may_act(time.now() + it, interval, random);
        }
        in_first_tenth += has_acted ? 1 : 0;
    }
    BOOST_TEST(in_first_tenth >= instances / 20);
    BOOST_TEST(in_first_tenth <= instances / 6);
}

// Guards against simultaneous actions of all instances that had no demand since their limited
// period began, when demand arises at all of them at the same moment.
BOOST_AUTO_TEST_CASE(does_not_keep_unused_turns_for_later)
{
    constexpr std::size_t instances = 1000;
    manual_clock time;
    std::size_t at_once = 0;
    for (std::size_t n = 0; n < instances; ++n) {
        random_engine random{n};
        shared_rate_limiter limiter;
        limiter.may_act(time.now(), interval, random);
        at_once += limiter.may_act(time.now() + 3 * interval, interval, random) ? 1 : 0;
    }
    // The turns of one instance in 40 include that moment.
    BOOST_TEST(at_once >= instances / 80);
    BOOST_TEST(at_once <= instances / 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
