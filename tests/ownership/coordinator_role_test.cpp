#include "core/manual_clock.h"
#include "ownership/coordinator_role.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;

auto record_of(const char* instance, std::uint64_t term) -> coordinator_record
{
    coordinator_record out;
    out.coordinator = instance_id{instance};
    out.boot = boot_id{1};
    out.term = lease_term{term};
    return out;
}

struct role_fixture {
    auto tick() -> time_point
    {
        time.advance(milliseconds{10});
        return time.now();
    }

    manual_clock time;
    coordinator_role role{instance_id{"a"}, boot_id{1}};
};

BOOST_AUTO_TEST_SUITE(a_coordinator_role)

BOOST_AUTO_TEST_CASE(starts_with_its_own_record_and_ends_with_that_of_another)
{
    role_fixture fixture;
    fixture.role.set_assigned(true, fixture.tick());
    BOOST_TEST(fixture.role.is_wanted());
    BOOST_TEST((fixture.role.on_record(record_of("a", 1), fixture.tick()) == role_change::start));
    BOOST_TEST(!fixture.role.is_wanted());
    BOOST_TEST((fixture.role.on_record(record_of("a", 1), fixture.tick()) == role_change::none));
    BOOST_TEST((fixture.role.on_record(record_of("b", 2), fixture.tick()) == role_change::stop));
    BOOST_TEST(!fixture.role.is_held());
}

BOOST_AUTO_TEST_SUITE(that_a_peer_superseded)

// Guards against two coordinators: an instance reads its own old record again before the
// successor's record and restarts the role with the tokens of a term that has ended.
BOOST_AUTO_TEST_CASE(does_not_start_again_from_its_old_record)
{
    role_fixture fixture;
    fixture.role.set_assigned(true, fixture.tick());
    fixture.role.on_record(record_of("a", 3), fixture.tick());
    BOOST_TEST(fixture.role.on_superseded(lease_term{4}, fixture.tick()));
    BOOST_TEST((fixture.role.on_record(record_of("a", 3), fixture.tick()) == role_change::none));
    BOOST_TEST(!fixture.role.is_held());
    BOOST_TEST((fixture.role.on_record(record_of("b", 4), fixture.tick()) == role_change::none));
    // A record of its own with a later term starts the role.
    BOOST_TEST((fixture.role.on_record(record_of("a", 5), fixture.tick()) == role_change::start));
}

// Guards against a coordinator that acts although it has told its successor that it does not: the
// response to its append comes after the successor's message, or after the successor's record.
BOOST_AUTO_TEST_CASE(does_not_start_when_the_response_to_its_append_is_late)
{
    role_fixture fixture;
    fixture.role.set_assigned(true, fixture.tick());
    BOOST_TEST(!fixture.role.on_superseded(lease_term{4}, fixture.tick()));
    BOOST_TEST(!fixture.role.start(lease_term{3}));
    BOOST_TEST(!fixture.role.is_held());
    fixture.role.on_record(record_of("b", 7), fixture.tick());
    BOOST_TEST(!fixture.role.start(lease_term{6}));
    BOOST_TEST(fixture.role.start(lease_term{8}));
}

BOOST_AUTO_TEST_CASE(keeps_the_role_when_the_message_is_of_an_earlier_term)
{
    role_fixture fixture;
    fixture.role.on_record(record_of("a", 3), fixture.tick());
    BOOST_TEST(!fixture.role.on_superseded(lease_term{3}, fixture.tick()));
    BOOST_TEST(fixture.role.is_held());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_two_instances_claim)

// Guards against two instances that replace each other every 100 ms while one of them gets no
// responses from the group.
BOOST_AUTO_TEST_CASE(drops_the_assignment_until_the_group_confirms_it_again)
{
    role_fixture fixture;
    auto sent_at = fixture.tick();
    fixture.role.set_assigned(true, sent_at);
    fixture.role.on_record(record_of("a", 1), fixture.tick());
    fixture.role.on_record(record_of("b", 2), fixture.tick());
    BOOST_TEST(!fixture.role.is_wanted());
    // The response to an earlier call does not restore the assignment; the response to a later call
    // does.
    fixture.role.set_assigned(true, sent_at);
    BOOST_TEST(!fixture.role.is_wanted());
    fixture.role.set_assigned(true, fixture.tick());
    BOOST_TEST(fixture.role.is_wanted());
}

BOOST_AUTO_TEST_CASE(keeps_the_assignment_when_it_reads_the_record_of_its_predecessor)
{
    role_fixture fixture;
    fixture.role.set_assigned(true, fixture.tick());
    fixture.role.on_record(record_of("b", 7), fixture.tick());
    BOOST_TEST(fixture.role.is_wanted());
    fixture.role.on_record(record_of("b", 7), fixture.tick());
    BOOST_TEST(fixture.role.is_wanted());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
