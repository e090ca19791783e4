#include "tests/ownership/running_cell.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {

using namespace std::chrono_literals;

namespace {

using scenario = std::function<void(cell_harness&)>;

// Runs a scenario with up to 20 seeds until an invariant is violated. Returns whether one was.
auto finds_violation(harness_options options, const scenario& run) -> bool
{
    for (options.seed = 1; options.seed <= 20; ++options.seed) {
        running_cell it{options};
        run(it);
        if (!it.violations().empty()) {
            BOOST_TEST_MESSAGE(it.violations().front());
            return true;
        }
    }
    return false;
}

// Verifies that the scenario violates an invariant without the rule, and never with it.
auto check_rule(harness_options options, bool safety_rules::*rule, const scenario& run) -> void
{
    BOOST_TEST(!finds_violation(options, run));
    options.rules.*rule = false;
    BOOST_TEST(finds_violation(options, run));
}

auto members_except(const std::string& name) -> std::vector<std::string>
{
    std::vector<std::string> out{"i0", "i1", "i2"};
    std::erase(out, name);
    return out;
}

// Cuts the link between the holder of s0's lease and one other member; both still reach the third.
auto split_holders(cell_harness& it) -> void
{
    auto holder = it.dispatcher_of("s0");
    it.cut_both(holder, members_except(holder).front());
    it.run_for(2s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_rules_suite)

BOOST_AUTO_TEST_SUITE(leases)

// Verifies that the checks detect voters that grant a lease to two holders at once.
BOOST_AUTO_TEST_CASE(are_not_given_away_while_they_run)
{
    check_rule({}, &safety_rules::voter_respects_lease, [](auto& it) {
        split_holders(it);
        it.pause(it.dispatcher_of("s1"), 550ms);
        it.run_for(2s);
    });
}

// Verifies that the checks detect a term that is used twice.
BOOST_AUTO_TEST_CASE(have_rising_terms)
{
    check_rule({.members = 5}, &safety_rules::voter_respects_term, [](auto& it) {
        auto first = it.dispatcher_of("s0");
        auto unaware = std::string{first == "i0" ? "i1" : "i0"};
        it.isolate({unaware});
        it.kill(first);
        it.run_for(2s);
        // All leases expire, so that no refusal tells the isolated member the newest term.
        for (const auto* name : {"i0", "i1", "i2", "i3", "i4"}) {
            if (name != unaware && name != first) {
                it.pause(name, 900ms);
            }
        }
        it.run_for(850ms);
        it.heal();
        it.run_for(2s);
    });
}

// Verifies that the checks detect a holder that counts its lease from the time of the answers.
BOOST_AUTO_TEST_CASE(count_from_the_send_time)
{
    check_rule({}, &safety_rules::lease_from_send_time, [](auto& it) {
        // The holder gets answers of voters up to 1.5 s late, and the voters no longer get its
        // messages.
        auto holder = it.dispatcher_of("s0");
        it.set_loss(0, 50);
        it.run_for(800ms);
        for (const auto& name : members_except(holder)) {
            it.cut(holder, name);
        }
        it.run_for(2s);
    });
}

// Verifies that the checks detect a restarted voter that votes although votes of its earlier
// process are still valid. The membership rules, which also prevent this, are switched off.
BOOST_AUTO_TEST_CASE(survive_the_restart_of_a_voter)
{
    harness_options options;
    options.rules.activation_waits = false;
    options.rules.copy_registers_before_vote = false;
    check_rule(options, &safety_rules::abstain_after_start, [](auto& it) {
        auto holder = it.dispatcher_of("s0");
        auto others = members_except(holder);
        it.cut_both(holder, others[1]);
        it.cut_both(holder, "log");
        it.run_for(300ms);
        it.cut(holder, others[0]);
        it.kill(others[0]);
        it.restart(others[0]);
        it.run_for(2s);
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(memberships)

// Partitions i0 and i1, which still reach all servers, while the membership grows to 5. The others,
// i2, i3 and i4, are a majority of it.
auto cut_off_a_pair(cell_harness& it) -> void
{
    it.start_instance("i3");
    it.start_instance("i4");
    it.run_for(900ms);
    for (const auto* name : {"i0", "i1"}) {
        it.cut_both(name, "log");
        for (const auto* other : {"i2", "i3", "i4"}) {
            it.cut_both(name, other);
        }
    }
    it.set_members(0, {"i0", "i1", "i2", "i3"});
    it.run_for(100ms);
    it.set_members(0, {"i0", "i1", "i2", "i3", "i4"});
    it.run_for(3s);
}

// Verifies that the checks detect two holders of a lease: one by the votes of a pair of the old
// membership, one by a majority of the new membership.
BOOST_AUTO_TEST_CASE(wait_for_a_majority_of_their_predecessor)
{
    // Copying registers is switched off because the new members cannot copy them from the pair.
    // Only the wait is under test.
    harness_options options;
    options.rules.copy_registers_before_vote = false;
    check_rule(options, &safety_rules::activation_waits, cut_off_a_pair);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(transfers)

// Verifies that the checks detect a transfer while the old owner still serves the slot.
BOOST_AUTO_TEST_CASE(wait_until_the_grants_have_expired)
{
    check_rule({}, &safety_rules::transfer_waits_for_expiry, [](auto& it) {
        auto holder = it.dispatcher_of("s0");
        it.cut("s0", holder);
        it.run_for(2s);
    });
}

// Verifies that the checks detect requests that run at two owners when servers do not check grants.
BOOST_AUTO_TEST_CASE(wait_for_requests_on_servers_that_check_no_grants)
{
    check_rule({.checks_grants = false}, &safety_rules::transfer_waits_for_expiry, [](auto& it) {
        it.cut("s0", it.dispatcher_of("s0"));
        it.run_for(2s);
    });
}

// Makes a transfer that only the dispatcher stores before it dies.
auto interrupt_transfer(cell_harness& it) -> void
{
    auto holder = it.dispatcher_of("s0");
    it.kill_server("s0");
    it.run_for(500ms);
    it.block_appends(true);
    for (const auto& name : members_except(holder)) {
        it.cut(holder, name);
    }
    it.run_for(450ms);
    it.kill(holder);
    it.heal();
    it.restart_server("s0");
    it.run_for(2s);
}

// Verifies that the checks detect a transfer that a later dispatcher cannot find in the registers.
BOOST_AUTO_TEST_CASE(need_a_majority)
{
    check_rule({.servers = 6, .slots = 24}, &safety_rules::transfer_needs_majority,
               interrupt_transfer);
}

// Kills s0 and, after its slots were transferred, its dispatcher, before the log records the
// transfer.
auto lose_server_and_dispatcher(cell_harness& it) -> void
{
    it.block_appends(true);
    auto holder = it.dispatcher_of("s0");
    // One of the other members does not get the transfer.
    it.cut(holder, members_except(holder).back());
    it.kill_server("s0");
    it.run_for(1000ms);
    it.kill(holder);
    it.restart_server("s0");
    it.run_for(2500ms);
}

// Verifies that the checks detect a new dispatcher that grants slots which were already
// transferred.
BOOST_AUTO_TEST_CASE(are_read_by_the_next_dispatcher)
{
    check_rule({}, &safety_rules::read_registers_at_takeover, lose_server_and_dispatcher);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests)

// Verifies that the checks detect a request that runs twice.
BOOST_AUTO_TEST_CASE(are_not_repeated_without_an_answer)
{
    auto run = [](cell_harness& it) {
        it.cut("s0", it.dispatcher_of("s0"));
        it.run_for(2s);
    };
    harness_options options;
    BOOST_TEST(!finds_violation(options, run));
    options.repeat_unanswered = true;
    BOOST_TEST(finds_violation(options, run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(new_members)

// Verifies that the checks detect a restarted member that votes without the registers of its cell.
BOOST_AUTO_TEST_CASE(copy_the_registers_before_they_vote)
{
    check_rule({}, &safety_rules::copy_registers_before_vote, [](auto& it) {
        auto holder = it.dispatcher_of("s0");
        auto others = members_except(holder);
        // Only the dispatcher and others[0] store the transfer. others[0] restarts and loses it.
        it.cut(holder, others[1]);
        it.block_appends(true);
        it.kill_server("s0");
        it.run_for(1100ms);
        it.kill(others[0]);
        it.restart(others[0]);
        it.run_for(1600ms);
        it.kill(holder);
        it.restart_server("s0");
        it.run_for(2500ms);
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(moves)

// Verifies that the checks detect a slot that is assigned to another cell before its own cell has
// released it.
BOOST_AUTO_TEST_CASE(need_the_release_of_the_own_cell)
{
    auto run = [](cell_harness& it) {
        assignment_record body;
        slot_set slots;
        slots.insert(slot_index{0});
        auto major = it.log_state().slot(service, slot_index{0}).epoch.major;
        body.entries.push_back({service, slots, server_id{"s5"}, major});
        it.append(body);
        it.run_for(2s);
    };
    harness_options options{.cells = 2};
    BOOST_TEST(!finds_violation(options, run));
    options.log_rules.require_release = false;
    BOOST_TEST(finds_violation(options, run));
}

// Verifies that the checks detect a release record that no majority of registers contains: the next
// dispatcher grants the slot again although the log assigns it to another cell.
BOOST_AUTO_TEST_CASE(need_a_majority_before_the_release_record)
{
    check_rule({.cells = 2}, &safety_rules::release_needs_register, [](auto& it) {
        auto holder = it.dispatcher_of("s0");
        for (const auto& name : members_except(holder)) {
            it.cut(holder, name);
            it.cut_both(name, "log");
        }
        it.move_slot(0, "s5");
        it.run_for(2s);
    });
}

// Verifies that the checks detect a partitioned cell that still serves after `yield_after`.
BOOST_AUTO_TEST_CASE(wait_until_a_partitioned_cell_has_yielded)
{
    check_rule({.cells = 2, .yield_after = 2s}, &safety_rules::yield_without_log, [](auto& it) {
        for (const auto* name : {"i0", "i1", "i2"}) {
            it.cut_both(name, "log");
        }
        auto epoch = it.log_state().find_cell(cell_id{0})->current.epoch;
        auto claim = it.log_state().end().value() + 1;
        it.append(claim_record{cell_id{0}, epoch});
        // `yield_after`, and 2 s for the expiry of the last grants and for clock drift.
        it.run_for(2s + 2s);
        it.append(takeover_record{cell_id{0}, epoch, claim, {}});
        it.move_slot(0, "s5");
        it.run_for(1s);
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelswitch::test
