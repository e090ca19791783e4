#include "adapters/h2o/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;

/// Cancels timers when it is destroyed, as connections do.
struct timer_owner {
    explicit timer_owner(event_loop& owner_loop) : loop{owner_loop} {}
    timer_owner(const timer_owner&) = delete;
    auto operator=(const timer_owner&) -> timer_owner& = delete;
    ~timer_owner()
    {
        for (auto it : timers) {
            loop.cancel(it);
        }
    }

    event_loop& loop;
    std::vector<event_loop::timer_id> timers;
};

BOOST_AUTO_TEST_SUITE(an_event_loop)

// Guards against a crash when a timer's handler holds the last reference to an object that cancels
// the next timer in its destructor: that timer was already chosen to run next.
BOOST_AUTO_TEST_CASE(runs_no_timer_that_is_canceled_when_a_handler_is_destroyed)
{
    constexpr int timer_count = 50;
    event_loop loop;
    int canceled_runs = 0;
    int other_runs = 0;
    for (int n = 0; n < timer_count; ++n) {
        auto owner = std::make_shared<timer_owner>(loop);
        loop.schedule(duration::zero(), [owner] {});
        owner->timers.push_back(loop.schedule(duration::zero(), [&] { ++canceled_runs; }));
        loop.schedule(duration::zero(), [&] { ++other_runs; });
    }
    auto end = loop.now() + milliseconds{500};
    while (other_runs < timer_count && loop.now() < end) {
        loop.run_once(milliseconds{1});
    }
    BOOST_TEST(canceled_runs == 0);
    BOOST_TEST(other_runs == timer_count);
}

// Guards against removing a timer twice when the object that its handler holds cancels the same
// timer in its destructor.
BOOST_AUTO_TEST_CASE(cancels_a_timer_whose_handler_owns_the_timer)
{
    constexpr int timer_count = 50;
    event_loop loop;
    int other_runs = 0;
    for (int n = 0; n < timer_count; ++n) {
        auto owner = std::make_shared<timer_owner>(loop);
        auto* raw = owner.get();
        auto own = loop.schedule(milliseconds{100}, [owner = std::move(owner)] {});
        raw->timers.push_back(own);
        raw->timers.push_back(loop.schedule(milliseconds{50}, [] {}));
        loop.schedule(duration::zero(), [&] { ++other_runs; });
        loop.cancel(own);
    }
    auto end = loop.now() + milliseconds{500};
    while (other_runs < timer_count && loop.now() < end) {
        loop.run_once(milliseconds{1});
    }
    BOOST_TEST(other_runs == timer_count);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
