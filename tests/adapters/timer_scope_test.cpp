#include "adapters/h2o/timer_scope.h"
#include "tests/adapters/loop_fixture.h"

#include <memory>

using namespace cornelswitch;
using namespace cornelswitch::test;

BOOST_AUTO_TEST_SUITE(a_timer_scope)

// Guards against timers that access an object after its destruction. Without the scope, a timer of
// an instance's agent accesses freed state during the graceful shutdown, which then can loop for
// ever.
BOOST_FIXTURE_TEST_CASE(stops_its_timers_when_it_is_destroyed, loop_fixture)
{
    int runs = 0;
    auto scope = std::make_unique<timer_scope>(loop);
    scope->schedule(std::chrono::milliseconds{1}, [&] { ++runs; });
    run_until([&] { return runs == 1; });
    scope->schedule(std::chrono::milliseconds{1}, [&] { ++runs; });
    scope.reset();
    bool is_later = false;
    loop.schedule(std::chrono::milliseconds{5}, [&] { is_later = true; });
    run_until([&] { return is_later; });
    BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_SUITE_END()
