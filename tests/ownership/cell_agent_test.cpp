#include "tests/ownership/running_cell.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {

using namespace std::chrono_literals;

namespace {

// Time within which every slot is served again after the loss of one instance or server.
constexpr duration recovery_limit = 1s;

} // namespace

BOOST_AUTO_TEST_SUITE(cell_agent_suite)

BOOST_AUTO_TEST_SUITE(a_cell_without_faults)

// Guards against a cell that does not serve although nothing has failed.
BOOST_AUTO_TEST_CASE(serves_every_slot)
{
    running_cell it{{.seed = 1}};
    it.run_for(2s);
    BOOST_TEST(it.executed() > 400U);
    check_serves(it, 0s);
}

// Guards against an uneven distribution in which one member holds most leases.
BOOST_AUTO_TEST_CASE(spreads_its_leases)
{
    running_cell it{{.seed = 2, .members = 5, .servers = 10, .slots = 20}};
    std::map<std::string, int> held;
    for (int n = 0; n < 10; ++n) {
        ++held[it.dispatcher_of("s" + std::to_string(n))];
    }
    for (const auto& [name, n] : held) {
        BOOST_TEST(n <= 3);
    }
}

// Guards against interruptions of service when all instances are replaced one after the other.
BOOST_AUTO_TEST_CASE(is_replaced_member_by_member)
{
    running_cell it{{.seed = 3}};
    for (int n = 0; n < 3; ++n) {
        auto leaving = "i" + std::to_string(n);
        auto joining = "i" + std::to_string(n + 3);
        it.start_instance(joining);
        std::vector<std::string> members;
        for (int k = n; k <= n + 3; ++k) {
            members.push_back("i" + std::to_string(k));
        }
        it.set_members(0, members);
        it.run_for(3s);
        BOOST_TEST(it.unserved().empty());
        it.shut_down(leaving);
        BOOST_TEST(it.run_until([&] { return it.unserved().empty(); }, 200ms).has_value());
        members.erase(members.begin());
        it.set_members(0, members);
        it.run_for(3s);
        BOOST_TEST(it.all_synced());
    }
    check_serves(it, 0s);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_fails)

// Guards against a slow takeover after the loss of one instance.
BOOST_AUTO_TEST_CASE(and_is_replaced_within_a_second)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        running_cell it{{.seed = seed}};
        auto lost = it.dispatcher_of("s0");
        it.kill(lost);
        auto took = it.run_until(
            [&] {
                auto next = it.dispatcher_of("s0");
                return !next.empty() && next != lost && it.unserved().empty();
            },
            recovery_limit);
        BOOST_TEST(took.has_value(), "seed " << seed);
        it.run_for(1s);
        check_serves(it, 0s);
    }
}

// Guards against an instance that continues to send after a pause in which other members took over
// its leases.
BOOST_AUTO_TEST_CASE(by_a_pause_in_the_middle_of_a_send)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        running_cell it{{.seed = seed}};
        it.pause_in_send(it.dispatcher_of("s1"), 3s);
        it.run_for(4s);
        check_serves(it, 2s);
    }
}

// Guards against a restarted member that votes without the registers of its cell: a transfer that
// only it and the failed dispatcher had stored would be lost.
BOOST_AUTO_TEST_CASE(and_restarts_with_an_unfinished_transfer)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        running_cell it{{.seed = seed}};
        it.set_log(true, false, 300ms);
        it.kill_server("s0");
        it.run_for(950ms);
        auto first = it.dispatcher_of("s0");
        it.kill(first);
        it.restart(first);
        it.run_for(4s);
        it.heal();
        check_serves(it, 4s);
    }
}

// Guards against a cell that does not recover after the loss of a majority, and against the reuse
// of epochs that were only in the lost registers.
BOOST_AUTO_TEST_CASE(together_with_a_second_one)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        running_cell it{{.seed = seed}};
        it.kill_server("s0");
        it.run_for(950ms);
        it.kill("i0");
        it.kill("i1");
        it.run_for(2s);
        it.restart("i0");
        it.restart("i1");
        it.restart_server("s0");
        check_serves(it, 4s);
        BOOST_TEST(it.run_until([&] { return it.all_synced(); }, 2s).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_fails)

// Guards against a slow transfer of the slots of a lost server.
BOOST_AUTO_TEST_CASE(and_its_slots_are_granted_within_a_second)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        running_cell it{{.seed = seed}};
        it.kill_server("s0");
        auto took = it.run_until([&] { return it.unserved().empty(); }, recovery_limit);
        BOOST_TEST(took.has_value(), "seed " << seed);
        check_serves(it, 0s);
    }
}

// Guards against a server that freezes and then serves slots that were transferred in the meantime.
BOOST_AUTO_TEST_CASE(by_freezing_and_returns)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        running_cell it{{.seed = seed}};
        it.pause("s1", 300ms + seed * 100ms);
        it.run_for(3s);
        check_serves(it, 2s);
    }
}

// Guards against slots that stay unserved when a restarted server has lost its grants.
BOOST_AUTO_TEST_CASE(and_restarts_at_once)
{
    running_cell it{{.seed = 5}};
    it.restart_server("s2");
    check_serves(it, 1s);
}

// Guards against transfers that cannot complete while the log is down.
BOOST_AUTO_TEST_CASE(while_the_log_is_down)
{
    running_cell it{{.seed = 6}};
    it.set_log(false, false, 5ms);
    it.kill_server("s0");
    BOOST_TEST(it.run_until([&] { return it.unserved().empty(); }, recovery_limit).has_value());
    auto epoch = it.served_epoch(0);
    BOOST_TEST(it.log_state().slot(service, slot_index{0}).epoch.minor == 0U);
    it.heal();
    it.run_for(3s);
    // The transfer is recorded in the log, and then the registers are dropped.
    BOOST_TEST(it.log_state().slot(service, slot_index{0}).epoch.minor > 0U);
    BOOST_TEST(it.served_epoch(0) >= epoch);
    BOOST_TEST(it.agent("i0").status({}).registers == 0U);
    check_serves(it, 0s);
}

// Guards against a transfer that is lost or made twice when its dispatcher dies during the
// transfer.
BOOST_AUTO_TEST_CASE(and_its_dispatcher_too)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        running_cell it{{.seed = seed}};
        auto dispatcher = it.dispatcher_of("s0");
        it.kill_server("s0");
        it.run_for(600ms + seed * 10ms);
        it.kill(dispatcher);
        check_serves(it, 3s);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_slot_moves)

// Guards against a slot that is served by two cells, or by none, after a move to another cell.
BOOST_AUTO_TEST_CASE(to_another_cell)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        running_cell it{{.seed = seed, .cells = 2}};
        it.move_slot(0, "s5");
        BOOST_TEST(it.run_until([&] { return it.owner_of(0) == "s5"; }, 5s).has_value());
        check_serves(it, 1s);
    }
}

// Guards against a release that is lost, or a released slot that is granted again, when the
// dispatcher dies.
BOOST_AUTO_TEST_CASE(while_its_dispatcher_dies)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        running_cell it{{.seed = seed, .cells = 2}};
        auto dispatcher = it.dispatcher_of("s0");
        it.set_log(true, seed % 2 == 0, 50ms);
        it.move_slot(0, "s5");
        it.run_for(seed * 15ms);
        it.kill(dispatcher);
        it.run_for(1s);
        it.heal();
        BOOST_TEST(it.run_until([&] { return it.owner_of(0) == "s5"; }, 6s).has_value());
        check_serves(it, 1s);
    }
}

// Guards against two owners of a key that gets its own slot while its owner is draining.
BOOST_AUTO_TEST_CASE(and_is_split_while_its_owner_drains)
{
    running_cell it{{.seed = 4, .cells = 2}};
    it.move_slot(0, "s5", true);
    it.move_slot(4, "s6");
    BOOST_TEST(it.run_until([&] { return it.owner_of(0) == "s5"; }, 6s).has_value());
    BOOST_TEST(it.run_until([&] { return it.owner_of(12) == "s5"; }, 2s).has_value());
    check_serves(it, 2s);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_zone_is_partitioned)

// Guards against an outage of a zone that only cannot reach the log.
BOOST_AUTO_TEST_CASE(from_the_log)
{
    running_cell it{{.seed = 7}};
    for (const auto* name : {"i0", "i1", "i2"}) {
        it.cut_both(name, "log");
    }
    it.run_for(5s);
    BOOST_TEST(it.unserved().empty());
    it.kill_server("s3");
    check_serves(it, recovery_limit);
}

// Guards against a partitioned zone that still serves after `yield_after`, when its slots may be
// taken over.
BOOST_AUTO_TEST_CASE(from_the_log_beyond_yield_after)
{
    running_cell it{{.seed = 8, .yield_after = 3s}};
    for (const auto* name : {"i0", "i1", "i2"}) {
        it.cut_both(name, "log");
    }
    it.run_for(2s);
    BOOST_TEST(it.unserved().empty());
    it.run_for(2s);
    BOOST_TEST(it.unserved().size() == 12U);
    it.heal();
    check_serves(it, 2s);
}

// Guards against reads of the log that let a claimed cell serve longer: a cell that can read the
// log but cannot object must stop in time.
BOOST_AUTO_TEST_CASE(and_claimed_while_it_cannot_append)
{
    running_cell it{{.seed = 9, .yield_after = 3s}};
    for (const auto* name : {"i0", "i1", "i2"}) {
        it.cut(name, "log");
    }
    it.append(claim_record{cell_id{0}, it.log_state().find_cell(cell_id{0})->current.epoch});
    it.run_for(4s);
    BOOST_TEST(it.unserved().size() == 12U);
    it.heal();
    check_serves(it, 2s);
    BOOST_TEST(!it.log_state().find_cell(cell_id{0})->claim.has_value());
}

// Guards against two lease holders in a partitioned cell, also when links fail in one direction
// only.
BOOST_AUTO_TEST_CASE(within_itself)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        running_cell it{{.seed = seed, .members = 5}};
        it.cut("i0", "i1");
        it.cut("i2", "i0");
        it.cut("i0", "s1");
        if (seed % 2 == 0) {
            it.isolate({"i3"});
        }
        it.run_for(3s);
        it.heal();
        check_serves(it, 3s);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(membership_changes)

// Guards against two holders of a lease: one by the votes of a partitioned pair of the old
// membership, one by a majority of the new membership.
BOOST_AUTO_TEST_CASE(while_two_members_are_cut_off)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        running_cell it{{.seed = seed}};
        it.start_instance("i3");
        it.start_instance("i4");
        it.run_for(200ms);
        // The pair can still reach the servers; only the other members read the new memberships.
        for (const auto* name : {"i0", "i1"}) {
            it.cut_both(name, "log");
            for (const auto* other : {"i2", "i3", "i4"}) {
                it.cut_both(name, other);
            }
        }
        it.set_members(0, {"i0", "i1", "i2", "i3"});
        it.run_for(2s);
        it.set_members(0, {"i0", "i1", "i2", "i3", "i4"});
        it.run_for(4s);
        it.heal();
        check_serves(it, 5s);
        BOOST_TEST(it.run_until([&] { return it.all_synced(); }, 3s).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(servers_that_check_no_grants)

// Guards against a takeover that sends requests while those of the earlier dispatcher may be
// running.
BOOST_AUTO_TEST_CASE(keep_one_owner)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        running_cell it{{.seed = seed, .checks_grants = false}};
        it.kill(it.dispatcher_of("s0"));
        it.run_for(1s);
        it.kill_server("s1");
        check_serves(it, 4s);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelswitch::test
