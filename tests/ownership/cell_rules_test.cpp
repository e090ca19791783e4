#include "tests/ownership/running_cell.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {

using namespace std::chrono_literals;

namespace {

using scenario = std::function<void(cell_harness&)>;

// Runs a scenario with several seeds until an invariant check fails.
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

// The check fails without the rule, and holds with it in the same runs.
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

// Two members that share the leases of s0 lose sight of each other, and both still see the third.
auto split_holders(cell_harness& it) -> void
{
    auto holder = it.dispatcher_of("s0");
    it.cut_both(holder, members_except(holder).front());
    it.run_for(2s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_rules_suite)

BOOST_AUTO_TEST_SUITE(leases)

// Guards against a check that does not notice voters who give a lease away twice.
BOOST_AUTO_TEST_CASE(are_not_given_away_while_they_run)
{
    check_rule({}, &safety_rules::voter_respects_lease, [](auto& it) {
        split_holders(it);
        it.pause(it.dispatcher_of("s1"), 550ms);
        it.run_for(2s);
    });
}

// Guards against a check that does not notice a term that is used twice.
BOOST_AUTO_TEST_CASE(have_rising_terms)
{
    check_rule({.members = 5}, &safety_rules::voter_respects_term, [](auto& it) {
        auto first = it.dispatcher_of("s0");
        auto unaware = std::string{first == "i0" ? "i1" : "i0"};
        it.isolate({unaware});
        it.kill(first);
        it.run_for(2s);
        // Every lease lapses, so that no refusal tells the unaware member the newest term.
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

// Guards against a check that does not notice a holder who counts its lease from the answers.
BOOST_AUTO_TEST_CASE(count_from_the_send_time)
{
    check_rule({}, &safety_rules::lease_from_send_time, [](auto& it) {
        // Answers of voters arrive up to 1.5 s late at a holder that others no longer hear.
        auto holder = it.dispatcher_of("s0");
        it.set_loss(0, 50);
        it.run_for(800ms);
        for (const auto& name : members_except(holder)) {
            it.cut(holder, name);
        }
        it.run_for(2s);
    });
}

// Guards against a check that does not notice a restarted voter who forgets the votes of its
// earlier process. The rules of memberships, which also prevent this, are out of the way.
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

// The pair i0, i1 keeps s0 to s3 in reach of it while i2, i3 and i4 form a majority of a cell of 5.
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

// Guards against a check that does not notice trap 1: a pair of the old membership and a majority
// of the new one that both grant leases.
BOOST_AUTO_TEST_CASE(wait_for_a_majority_of_their_predecessor)
{
    // The new members cannot copy registers from the pair either; only the wait is under test.
    harness_options options;
    options.rules.copy_registers_before_vote = false;
    check_rule(options, &safety_rules::activation_waits, cut_off_a_pair);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(transfers)

// Guards against a check that does not notice a transfer while the old owner still serves.
BOOST_AUTO_TEST_CASE(wait_until_the_grants_have_lapsed)
{
    check_rule({}, &safety_rules::transfer_waits_for_expiry, [](auto& it) {
        auto holder = it.dispatcher_of("s0");
        it.cut("s0", holder);
        it.run_for(2s);
    });
}

// Guards against a check that does not notice requests of two owners on servers that check no
// grants.
BOOST_AUTO_TEST_CASE(wait_for_requests_on_servers_that_check_no_grants)
{
    check_rule({.checks_grants = false}, &safety_rules::transfer_waits_for_expiry, [](auto& it) {
        it.cut("s0", it.dispatcher_of("s0"));
        it.run_for(2s);
    });
}

// A transfer that reaches only the dispatcher and its target, whose process then dies.
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

// Guards against a check that does not notice a transfer that a later dispatcher cannot find.
BOOST_AUTO_TEST_CASE(need_a_majority)
{
    check_rule({.servers = 6, .slots = 24}, &safety_rules::transfer_needs_majority,
               interrupt_transfer);
}

// s0 is lost, its slots are transferred, and its dispatcher dies before the log knows.
auto lose_server_and_dispatcher(cell_harness& it) -> void
{
    it.block_appends(true);
    auto holder = it.dispatcher_of("s0");
    // One of the others misses the transfer.
    it.cut(holder, members_except(holder).back());
    it.kill_server("s0");
    it.run_for(1000ms);
    it.kill(holder);
    it.restart_server("s0");
    it.run_for(2500ms);
}

// Guards against a check that does not notice a new dispatcher who grants what was transferred.
BOOST_AUTO_TEST_CASE(are_read_by_the_next_dispatcher)
{
    check_rule({}, &safety_rules::read_registers_at_takeover, lose_server_and_dispatcher);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests)

// Guards against a check that does not notice a request that runs twice.
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

// Guards against a check that does not notice trap 2: a restarted member that votes without the
// registers of its cell.
BOOST_AUTO_TEST_CASE(copy_the_registers_before_they_vote)
{
    check_rule({}, &safety_rules::copy_registers_before_vote, [](auto& it) {
        auto holder = it.dispatcher_of("s0");
        auto others = members_except(holder);
        // Only others[0] learns of the transfer besides its writer. It restarts and forgets.
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

// Guards against a check that does not notice trap 3: a slot that moves to another cell before its
// own cell has released it.
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
    options.fold.require_release = false;
    BOOST_TEST(finds_violation(options, run));
}

// Guards against a check that does not notice a release record without the release of a majority:
// the next dispatcher grants the slot again while the log gives it to another cell.
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

// Guards against a check that does not notice a silent cell that serves beyond `yield_after`.
BOOST_AUTO_TEST_CASE(wait_until_a_silent_cell_has_yielded)
{
    check_rule({.cells = 2, .yield_after = 2s}, &safety_rules::yield_without_log, [](auto& it) {
        for (const auto* name : {"i0", "i1", "i2"}) {
            it.cut_both(name, "log");
        }
        auto epoch = it.log_state().find_cell(cell_id{0})->current.epoch;
        auto claim = it.log_state().end().value() + 1;
        it.append(claim_record{cell_id{0}, epoch});
        // yield_after, the lapse of the last grants, and drift.
        it.run_for(2s + 2s);
        it.append(takeover_record{cell_id{0}, epoch, claim, {}});
        it.move_slot(0, "s5");
        it.run_for(1s);
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelswitch::test
