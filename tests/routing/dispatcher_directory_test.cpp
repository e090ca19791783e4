#include "core/manual_clock.h"
#include "routing/dispatcher_directory.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

struct directory_fixture {
    manual_clock clock;
    dispatcher_directory directory;
    server_id server{"s1"};
    instance_id a{"a"};
    instance_id b{"b"};

    directory_fixture()
    {
        auto view = std::make_shared<routing_view>();
        view->dispatchers[server] = a;
        view->candidates[server] = {a, b};
        directory.set_view(view);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_dispatcher_directory, directory_fixture)

BOOST_AUTO_TEST_SUITE(when_the_hinted_instance_refuses_connections)

// Guards against an entry that keeps using a dead instance until the list of instances drops it,
// which leaves the keys of its servers unserved for 5 s after the instance was killed.
BOOST_AUTO_TEST_CASE(returns_another_member_of_the_cell)
{
    BOOST_TEST(*directory.find(server, clock.now()) == a);
    directory.note_unreachable(a, clock.now());
    BOOST_TEST(*directory.find(server, clock.now()) == b);
    directory.note_redirect(server, a);
    BOOST_TEST(*directory.find(server, clock.now()) == b);
}

// Guards against skipping an instance forever after one refused connection.
BOOST_AUTO_TEST_CASE(returns_it_again_after_a_while)
{
    directory.note_unreachable(a, clock.now());
    clock.advance(dispatcher_directory::unreachable_retry_delay);
    BOOST_TEST(*directory.find(server, clock.now()) == a);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_instance_redirects)

// Guards against following a redirect although the view has a newer hint.
BOOST_AUTO_TEST_CASE(follows_the_redirect_until_the_hint_changes)
{
    directory.note_redirect(server, b);
    BOOST_TEST(*directory.find(server, clock.now()) == b);
    auto view = std::make_shared<routing_view>();
    view->dispatchers[server] = instance_id{"c"};
    directory.set_view(view);
    BOOST_TEST(*directory.find(server, clock.now()) == instance_id{"c"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
