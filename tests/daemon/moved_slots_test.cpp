#include "core/manual_clock.h"
#include "daemon/moved_slots.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

struct moved_slots_fixture {
    manual_clock clock;
    moved_slots moved;
    cell_id cell{1};
    instance_id peer{"i2"};

    static auto transfer(std::uint64_t minor) -> std::vector<register_entry>
    {
        register_value value{{4, minor}, server_id{"s2"}, true, server_id{"s1"}, lease_term{1}};
        return {{{service_id{"lookup"}, slot_index{3}}, value}};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(transfers_that_the_log_has_not_recorded, moved_slots_fixture)

// Guards against announcing each transfer to every instance while the log is reachable.
BOOST_AUTO_TEST_CASE(are_announced_only_when_they_stay_unrecorded)
{
    moved.set_own(cell, transfer(1), clock.now());
    BOOST_TEST(moved.take_due_announcements(clock.now()).empty());
    moved.set_own(cell, {}, clock.now());
    clock.advance(moved_slots::announce_after);
    BOOST_TEST(moved.take_due_announcements(clock.now()).empty());
}

// Guards against instances of other cells that route keys to a lost server while the log is
// unreachable, and against a confirmation of an earlier transfer that counts for a later one.
BOOST_AUTO_TEST_CASE(are_announced_until_each_instance_confirms)
{
    moved.set_own(cell, transfer(1), clock.now());
    clock.advance(moved_slots::announce_after);
    BOOST_TEST(moved.take_due_announcements(clock.now()).size() == 1U);
    BOOST_TEST(moved.is_unconfirmed(cell, peer));
    moved.confirm(cell, transfer(1), peer);
    BOOST_TEST(!moved.is_unconfirmed(cell, peer));
    moved.set_own(cell, transfer(2), clock.now());
    moved.confirm(cell, transfer(1), peer);
    BOOST_TEST(moved.is_unconfirmed(cell, peer));
}

// Guards against an announced owner that is missing from the routing view.
BOOST_AUTO_TEST_CASE(name_the_new_owner)
{
    BOOST_TEST(moved.set_announced(cell, transfer(1)));
    BOOST_TEST(!moved.set_announced(cell, transfer(1)));
    auto all = moved.all();
    BOOST_TEST(all.size() == 1U);
    BOOST_TEST(all.at(0).server == server_id{"s2"});
}

BOOST_AUTO_TEST_SUITE_END()
