#include "core/manual_clock.h"
#include "ownership/coordinator_role.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;

auto record_of(const char* node, std::uint64_t term) -> coordinator_record
{
    coordinator_record out;
    out.coordinator = instance_id{node};
    out.boot = boot_id{1};
    out.term = lease_term{term};
    return out;
}

struct role_world {
    auto tick() -> time_point
    {
        time.advance(milliseconds{10});
        return time.now();
    }

    manual_clock time;
    coordinator_role it{instance_id{"a"}, boot_id{1}};
};

BOOST_AUTO_TEST_SUITE(a_coordinator_role)

BOOST_AUTO_TEST_CASE(starts_with_the_own_record_and_ends_with_that_of_another)
{
    role_world world;
    world.it.set_duty(true, world.tick());
    BOOST_TEST(world.it.is_wanted());
    BOOST_TEST((world.it.on_record(record_of("a", 1), world.tick()) == role_change::start));
    BOOST_TEST(!world.it.is_wanted());
    BOOST_TEST((world.it.on_record(record_of("a", 1), world.tick()) == role_change::none));
    BOOST_TEST((world.it.on_record(record_of("b", 2), world.tick()) == role_change::stop));
    BOOST_TEST(!world.it.is_held());
}

BOOST_AUTO_TEST_SUITE(that_a_peer_superseded)

// Guards against two coordinators: the own record was read once more before the successor's, and
// the role started again with the tokens of a term that had ended.
BOOST_AUTO_TEST_CASE(does_not_start_again_from_its_old_record)
{
    role_world world;
    world.it.set_duty(true, world.tick());
    world.it.on_record(record_of("a", 3), world.tick());
    BOOST_TEST(world.it.on_superseded(lease_term{4}, world.tick()));
    BOOST_TEST((world.it.on_record(record_of("a", 3), world.tick()) == role_change::none));
    BOOST_TEST(!world.it.is_held());
    BOOST_TEST((world.it.on_record(record_of("b", 4), world.tick()) == role_change::none));
    // A later term of its own is another matter.
    BOOST_TEST((world.it.on_record(record_of("a", 5), world.tick()) == role_change::start));
}

BOOST_AUTO_TEST_CASE(keeps_the_role_when_the_message_is_of_an_earlier_term)
{
    role_world world;
    world.it.on_record(record_of("a", 3), world.tick());
    BOOST_TEST(!world.it.on_superseded(lease_term{3}, world.tick()));
    BOOST_TEST(world.it.is_held());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_two_instances_believe_in)

// Guards against instances that replace each other every 100 ms while one of them gets no answers
// from the group.
BOOST_AUTO_TEST_CASE(is_given_up_until_the_group_confirms_it_anew)
{
    role_world world;
    auto asked = world.tick();
    world.it.set_duty(true, asked);
    world.it.on_record(record_of("a", 1), world.tick());
    world.it.on_record(record_of("b", 2), world.tick());
    BOOST_TEST(!world.it.is_wanted());
    // The answer to an earlier call does not give the duty back, a later one does.
    world.it.set_duty(true, asked);
    BOOST_TEST(!world.it.is_wanted());
    world.it.set_duty(true, world.tick());
    BOOST_TEST(world.it.is_wanted());
}

BOOST_AUTO_TEST_CASE(stays_with_one_that_reads_the_record_of_its_predecessor)
{
    role_world world;
    world.it.set_duty(true, world.tick());
    world.it.on_record(record_of("b", 7), world.tick());
    BOOST_TEST(world.it.is_wanted());
    world.it.on_record(record_of("b", 7), world.tick());
    BOOST_TEST(world.it.is_wanted());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
