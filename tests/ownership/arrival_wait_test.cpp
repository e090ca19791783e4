#include "core/manual_clock.h"
#include "ownership/arrival_wait.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pace at which the list of servers is read.
constexpr duration read_interval = milliseconds{600};

BOOST_AUTO_TEST_SUITE(a_wait_for_servers)

// The pattern is the first start of a deployment, whose servers register over more than one read of
// the list. Guards against keys that are all dealt to the two servers of the first read.
BOOST_AUTO_TEST_CASE(is_not_over_while_each_read_finds_more_servers)
{
    manual_clock time;
    time.advance(seconds{100});
    arrival_wait it;
    BOOST_TEST(!it.is_over(time.now()));
    for (std::size_t count : {2U, 40U, 130U, 239U}) {
        it.on_list(count, time.now());
        time.advance(read_interval + milliseconds{150});
        BOOST_TEST(!it.is_over(time.now()));
    }
    time.advance(arrival_wait::quiet_time);
    BOOST_TEST(it.is_over(time.now()));
}

BOOST_AUTO_TEST_CASE(ends_when_servers_join_all_the_time)
{
    manual_clock time;
    time.advance(seconds{100});
    arrival_wait it;
    auto start = time.now();
    for (std::size_t count = 1; !it.is_over(time.now()); ++count) {
        it.on_list(count, time.now());
        time.advance(read_interval);
    }
    BOOST_TEST((time.now() - start <= arrival_wait::longest_wait + read_interval));
}

BOOST_AUTO_TEST_CASE(begins_again_when_all_servers_are_gone)
{
    manual_clock time;
    time.advance(seconds{100});
    arrival_wait it;
    it.on_list(5, time.now());
    time.advance(seconds{10});
    BOOST_TEST(it.is_over(time.now()));
    it.on_list(0, time.now());
    BOOST_TEST(!it.is_over(time.now()));
    it.on_list(1, time.now());
    BOOST_TEST(!it.is_over(time.now()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
