#include "core/manual_clock.h"
#include "routing/shared_pace.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration interval = seconds{10};

/// Acts whenever it may, and counts.
struct paced_instance {
    auto act(time_point now) -> bool
    {
        bool may = pace.may_act(now, interval, random);
        if (may) {
            pace.on_act(now);
        }
        return may;
    }

    random_engine random{7};
    shared_pace pace;
};

BOOST_AUTO_TEST_SUITE(a_shared_pace)

BOOST_AUTO_TEST_CASE(allows_one_act_in_each_interval_and_a_random_start)
{
    manual_clock time;
    paced_instance it;
    std::size_t acts = 0;
    for (int n = 0; n < 3000; ++n) {
        acts += it.act(time.now()) ? 1 : 0;
        time.advance(milliseconds{10});
    }
    BOOST_TEST(acts >= 2U);
    BOOST_TEST(acts <= 3U);

    BOOST_TEST_CONTEXT("after the period has ended, an act in between does not count")
    {
        it.pace.reset();
        it.pace.on_act(time.now());
        std::size_t again = 0;
        for (int n = 0; n < 1000; ++n) {
            again += it.act(time.now()) ? 1 : 0;
            time.advance(milliseconds{10});
        }
        BOOST_TEST(again == 1U);
    }
}

// The pattern is a fleet that loses its coordinator in one moment: the first acts must not come
// together.
BOOST_AUTO_TEST_CASE(spreads_the_first_acts_of_instances_that_begin_together)
{
    constexpr std::size_t instances = 1000;
    manual_clock time;
    std::size_t in_first_tenth = 0;
    for (std::size_t n = 0; n < instances; ++n) {
        random_engine random{n};
        shared_pace pace;
        pace.may_act(time.now(), interval, random);
        in_first_tenth += pace.may_act(time.now() + interval / 10, interval, random) ? 1 : 0;
    }
    BOOST_TEST(in_first_tenth >= instances / 20);
    BOOST_TEST(in_first_tenth <= instances / 6);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
