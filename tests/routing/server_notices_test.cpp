#include "core/manual_clock.h"
#include "routing/server_notices.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const server_id a{"a"};

struct notices_fixture {
    auto may_send(bool is_owner, std::int64_t incarnation = 1000) const -> bool
    {
        return notices.may_send(a, incarnation, is_owner, time.now());
    }

    manual_clock time;
    server_notices notices;
};

BOOST_FIXTURE_TEST_SUITE(notices_of_servers, notices_fixture)

BOOST_AUTO_TEST_SUITE(about_a_shutdown)

// Guards against requests to a server that shuts down while service discovery still lists it.
BOOST_AUTO_TEST_CASE(stop_requests_at_once)
{
    BOOST_TEST(may_send(false));
    BOOST_TEST(notices.on_shutdown_announced(a, 1000, time.now()));
    BOOST_TEST(!may_send(false));
}

BOOST_AUTO_TEST_CASE(let_an_owner_serve_its_keys_until_they_have_moved)
{
    notices.on_shutdown_announced(a, 1000, time.now());
    time.advance(server_notices::key_drain_time - milliseconds{1});
    BOOST_TEST(may_send(true));
    time.advance(milliseconds{2});
    BOOST_TEST(!may_send(true));
}

BOOST_AUTO_TEST_CASE(count_from_the_first_notice)
{
    notices.on_shutdown_announced(a, 1000, time.now());
    time.advance(seconds{1});
    BOOST_TEST(!notices.on_shutdown_announced(a, 1000, time.now()));
    BOOST_TEST(!may_send(true));
}

BOOST_AUTO_TEST_CASE(do_not_apply_to_a_later_process)
{
    notices.on_shutdown_announced(a, 1000, time.now());
    BOOST_TEST(may_send(false, 2000));
    BOOST_TEST(!may_send(false, 999));
}

BOOST_AUTO_TEST_CASE(are_dropped_only_when_there_are_too_many)
{
    notices.on_shutdown_announced(a, 1000, time.now());
    for (std::size_t n = 1; n < server_notices::max_servers; ++n) {
        time.advance(milliseconds{1});
        notices.on_shutdown_announced(server_id{std::to_string(n)}, 1, time.now());
    }
    BOOST_TEST(!may_send(false));
    notices.on_shutdown_announced(server_id{"one more"}, 1, time.now());
    BOOST_TEST(may_send(false));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(about_a_hold_off)

BOOST_AUTO_TEST_CASE(stop_requests_until_the_hold_off_ends)
{
    notices.on_hold_off(a, milliseconds{1500}, time.now());
    time.advance(milliseconds{1499});
    BOOST_TEST(!may_send(true));
    time.advance(milliseconds{1});
    BOOST_TEST(may_send(true));
}

BOOST_AUTO_TEST_CASE(are_not_shortened_by_a_later_notice)
{
    notices.on_hold_off(a, seconds{3}, time.now());
    time.advance(seconds{1});
    notices.on_hold_off(a, milliseconds{100}, time.now());
    time.advance(seconds{1});
    BOOST_TEST(!may_send(false));
}

BOOST_AUTO_TEST_CASE(are_ignored_unless_positive_and_are_limited_to_the_maximum)
{
    notices.on_hold_off(a, duration::zero(), time.now());
    notices.on_hold_off(a, seconds{-5}, time.now());
    BOOST_TEST(may_send(false));
    notices.on_hold_off(a, std::chrono::hours{24}, time.now());
    time.advance(server_notices::max_hold_off);
    BOOST_TEST(may_send(false));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
