#include "core/manual_clock.h"
#include "ownership/initial_assignment_delay.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval at which the list of servers is read.
constexpr duration read_interval = milliseconds{600};

BOOST_AUTO_TEST_SUITE(a_wait_for_servers)

// Guards against assigning all keys to the two servers of the first read. At the first start of a
// deployment, its servers register over more than one read of the list.
BOOST_AUTO_TEST_CASE(is_not_over_while_each_read_finds_more_servers)
{
    manual_clock time;
    time.advance(seconds{100});
    initial_assignment_delay wait;
    BOOST_TEST(!wait.has_elapsed(time.now()));
    for (std::size_t count : {2U, 40U, 130U, 239U}) {
        wait.on_server_list(count, time.now());
        time.advance(read_interval + milliseconds{150});
        BOOST_TEST(!wait.has_elapsed(time.now()));
    }
    time.advance(initial_assignment_delay::stable_time);
    BOOST_TEST(wait.has_elapsed(time.now()));
}

BOOST_AUTO_TEST_CASE(ends_when_servers_keep_joining)
{
    manual_clock time;
    time.advance(seconds{100});
    initial_assignment_delay wait;
    auto start = time.now();
    for (std::size_t count = 1; !wait.has_elapsed(time.now()); ++count) {
        wait.on_server_list(count, time.now());
        time.advance(read_interval);
    }
    BOOST_TEST((time.now() - start <= initial_assignment_delay::max_delay + read_interval));
}

BOOST_AUTO_TEST_CASE(restarts_after_all_servers_have_left)
{
    manual_clock time;
    time.advance(seconds{100});
    initial_assignment_delay wait;
    wait.on_server_list(5, time.now());
    time.advance(seconds{10});
    BOOST_TEST(wait.has_elapsed(time.now()));
    wait.on_server_list(0, time.now());
    BOOST_TEST(!wait.has_elapsed(time.now()));
    wait.on_server_list(1, time.now());
    BOOST_TEST(!wait.has_elapsed(time.now()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
