#include "ownership/ownership_state.h"

#include "core/random.h"
#include "ownership/snapshot_codec.h"
#include "tests/ownership/log_builder.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

// Generates random records for a small number of cells, servers and slots, so that many of them
// conflict.
auto random_body(random_engine& engine, const log_builder& log) -> record_body
{
    auto random_below = [&engine](std::uint64_t n) {
        return static_cast<int>(uniform_below(engine, n));
    };
    auto first = random_below(16);
    auto range = std::to_string(first) + "-" + std::to_string(first + random_below(4));
    auto current_epoch =
        log.state.slot(log.service, slot_index{static_cast<std::uint32_t>(first)}).epoch;
    auto epoch =
        random_below(4) == 0 ? uniform_below(engine, log.epoch() + 1) : current_epoch.major;
    auto cell = cell_id{1U + static_cast<std::uint32_t>(random_below(2))};
    switch (random_below(8)) {
    case 0:
        return release_record{cell, {{log.service, slots(range), {epoch, current_epoch.minor}}}};
    case 1:
        return transfer_record{
            cell, {{log.service, slots(range), {epoch, current_epoch.minor + 1}, server(2)}}};
    case 2:
        return claim_record{cell, log.state.find_cell(cell)->current.epoch};
    case 3:
        return takeover_record{cell, log.state.find_cell(cell)->current.epoch,
                               uniform_below(engine, log.epoch() + 1), config_version{0}};
    default:
        return assignment_record{
            {}, {{log.service, slots(range), server(1 + random_below(3)), epoch}}, {}, {}};
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_ownership_state)

BOOST_AUTO_TEST_SUITE(when_slots_are_assigned)

// Guards against a wrong owner or epoch after an assignment.
BOOST_AUTO_TEST_CASE(sets_their_epoch_to_that_of_the_record)
{
    log_builder log;
    auto epoch = log.add_two_cells();
    BOOST_TEST(log.owner(3) == "s1");
    BOOST_TEST(log.state.slot(log.service, slot_index{3}).epoch == (slot_epoch{epoch, 0}));
    BOOST_TEST(log.state.unreleased_slots(server(1)) == 16U);
    BOOST_TEST(log.state.slots_of(server(1)).size() == 16U);
    BOOST_TEST((log.state.cell_of(server(3)) == cell_id{2}));
}

// Guards against two owners: a record that does not wait for the cell's release must be dropped.
BOOST_AUTO_TEST_CASE(refuses_to_move_a_slot_before_its_release)
{
    log_builder log;
    auto epoch = log.add_two_cells();
    BOOST_TEST(log.assign("0-3", 3, epoch).reason == drop_reason::not_released);
    BOOST_TEST(log.release(1, "0-1", {epoch, 0}).accepted_items == 2U);
    auto moved = log.assign("0-3", 3, epoch);
    BOOST_TEST(moved.status == apply_status::accepted);
    BOOST_TEST(moved.accepted_items == 2U);
    BOOST_TEST(moved.dropped_items == 2U);
    BOOST_TEST(log.owner(1) == "s3");
    BOOST_TEST(log.owner(2) == "s1");
}

// Guards against two concurrent writers of which the second overwrites the assignment of the first.
BOOST_AUTO_TEST_CASE(lets_the_first_of_two_writers_win)
{
    log_builder log;
    auto epoch = log.add_two_cells();
    log.release(1, "0", {epoch, 0});
    BOOST_TEST(log.assign("0", 3, epoch).status == apply_status::accepted);
    auto winner = log.epoch();
    auto lost = log.assign("0", 2, epoch);
    BOOST_TEST(lost.status == apply_status::dropped);
    BOOST_TEST(lost.reason == drop_reason::stale_epoch);
    BOOST_TEST(lost.current_epoch == winner);
    BOOST_TEST(log.owner(0) == "s3");
}

// Guards against assignments of unknown services, slots or servers, which no cell could release.
BOOST_AUTO_TEST_CASE(drops_unknown_services_slots_and_servers)
{
    log_builder log;
    log.add_two_cells();
    auto other = service_id{"other"};
    auto unknown = log.add(assignment_record{{}, {{other, slots("0"), server(1), 0}}, {}, {}});
    BOOST_TEST(unknown.reason == drop_reason::unknown_service);
    BOOST_TEST(log.assign("16", 1, 0).reason == drop_reason::unknown_slot);
    BOOST_TEST(log.assign("0", 9, 0).reason == drop_reason::unknown_server);
    auto again = log.add(assignment_record{{{log.service, 32}}, {}, {}, {}});
    BOOST_TEST(again.status == apply_status::dropped);
    BOOST_TEST(log.state.find_table(log.service)->hash_slots() == 16U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_cells_change)

// Guards against memberships whose majorities need not overlap, and against lost updates.
BOOST_AUTO_TEST_CASE(accepts_one_member_at_a_time)
{
    log_builder log;
    log.add_two_cells();
    auto change = [&log](std::uint64_t replaces, const std::vector<int>& who, const char* zone) {
        return log.add(
            cell_record{cell_id{1}, replaces, zone_id{zone}, members(who), servers({1, 2})});
    };
    BOOST_TEST(change(1, {1, 2, 3, 7, 8}, "a").reason == drop_reason::membership_change);
    BOOST_TEST(change(1, {1, 2, 7}, "a").reason == drop_reason::membership_change);
    BOOST_TEST(change(1, {1, 2, 2}, "a").reason == drop_reason::membership_change);
    BOOST_TEST(change(1, {1, 2, 3, 7}, "b").reason == drop_reason::zone_change);
    BOOST_TEST(change(1, {1, 2, 3, 7}, "a").status == apply_status::accepted);
    auto epoch = log.epoch();
    auto stale = change(1, {2, 3}, "a");
    BOOST_TEST(stale.reason == drop_reason::stale_epoch);
    BOOST_TEST(stale.current_epoch == epoch);
    const auto* cell = log.state.find_cell(cell_id{1});
    BOOST_TEST(cell->previous.epoch == 1U);
    BOOST_TEST(cell->previous.members.size() == 3U);
    auto restarted = members({1, 2, 3, 7});
    restarted[0].boot = boot_id{999};
    auto reboot = cell_record{cell_id{1}, epoch, zone_id{"a"}, restarted, servers({1, 2})};
    BOOST_TEST(log.add(reboot).status == apply_status::accepted);
    auto unknown = cell_record{cell_id{9}, 5, zone_id{"a"}, members({1}), {}};
    BOOST_TEST(log.add(unknown).reason == drop_reason::unknown_cell);
}

// Guards against a server that is in two cells, or in no cell while it holds slots.
BOOST_AUTO_TEST_CASE(keeps_each_server_in_one_cell)
{
    log_builder log;
    auto epoch = log.add_two_cells();
    auto wrong_cell = cell_record{cell_id{2}, 2, zone_id{"b"}, members({4, 5, 6}), servers({1, 3})};
    BOOST_TEST(log.add(wrong_cell).reason == drop_reason::server_in_other_cell);
    auto without_server =
        cell_record{cell_id{1}, 1, zone_id{"a"}, members({1, 2, 3}), servers({2})};
    BOOST_TEST(log.add(without_server).reason == drop_reason::in_use);
    BOOST_TEST(log.add(removal_record{servers({1}), {}}).reason == drop_reason::in_use);
    BOOST_TEST(log.add(removal_record{{}, {log.service}}).reason == drop_reason::in_use);
    log.release(1, "0-15", {epoch, 0});
    BOOST_TEST(log.add(removal_record{servers({1}), {}}).status == apply_status::accepted);
    BOOST_TEST(log.add(removal_record{servers({1}), {}}).reason == drop_reason::unknown_server);
    BOOST_TEST(log.owner(0) == "s1");
    BOOST_TEST(log.add(removal_record{{}, {log.service}}).status == apply_status::accepted);
    BOOST_TEST(log.add(removal_record{{}, {log.service}}).reason == drop_reason::unknown_service);
    BOOST_TEST(log.state.servers().find(server(1)) == server_table::none);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_cell_releases_and_transfers)

// Guards against a release by a cell that does not serve the slot, or for an older grant.
BOOST_AUTO_TEST_CASE(accepts_only_the_newest_epoch_of_the_serving_cell)
{
    log_builder log;
    auto epoch = log.add_two_cells();
    BOOST_TEST(log.release(2, "0", {epoch, 0}).reason == drop_reason::not_in_cell);
    BOOST_TEST(log.release(1, "0", {epoch - 1, 0}).reason == drop_reason::stale_epoch);
    BOOST_TEST(log.transfer(1, "0", {epoch, 1}, 3).reason == drop_reason::not_in_cell);
    BOOST_TEST(log.transfer(2, "0", {epoch, 1}, 3).reason == drop_reason::not_in_cell);
    BOOST_TEST(log.transfer(1, "0", {epoch, 2}, 2).status == apply_status::accepted);
    BOOST_TEST(log.owner(0) == "s2");
    BOOST_TEST(log.transfer(1, "0", {epoch, 1}, 1).reason == drop_reason::stale_epoch);
    BOOST_TEST(log.release(1, "0", {epoch, 1}).reason == drop_reason::stale_epoch);
    BOOST_TEST(log.release(1, "0", {epoch, 3}).status == apply_status::accepted);
    BOOST_TEST(log.release(1, "0", {epoch, 3}).reason == drop_reason::already_released);
    BOOST_TEST(log.transfer(1, "0", {epoch, 4}, 1).reason == drop_reason::already_released);
    BOOST_TEST(log.state.slot(log.service, slot_index{0}).epoch == (slot_epoch{epoch, 3}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_server_is_reported_lost)

// Guards against a cell that reports a server of another cell as lost, and against a report that
// persists after the server has left the cell.
BOOST_AUTO_TEST_CASE(accepts_reports_of_its_own_cell_only)
{
    log_builder log;
    log.add(cell_record{cell_id{1}, 0, zone_id{"a"}, members({1, 2, 3}), servers({1, 2})});
    log.add(cell_record{cell_id{2}, 0, zone_id{"b"}, members({4, 5, 6}), servers({3})});
    auto foreign = log.add(server_state_record{cell_id{2}, server(1), true});
    BOOST_TEST(foreign.reason == drop_reason::not_in_cell);
    BOOST_TEST(!log.state.is_lost(server(1)));
    log.add(server_state_record{cell_id{1}, server(1), true});
    BOOST_TEST(log.state.is_lost(server(1)));
    auto epoch = log.state.find_cell(cell_id{1})->current.epoch;
    log.add(cell_record{cell_id{1}, epoch, zone_id{"a"}, members({1, 2, 3}), servers({2})});
    epoch = log.state.find_cell(cell_id{1})->current.epoch;
    log.add(cell_record{cell_id{1}, epoch, zone_id{"a"}, members({1, 2, 3}), servers({1, 2})});
    BOOST_TEST(!log.state.is_lost(server(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_hot_key_is_split_off)

// Guards against a key with two owners: that of its own slot and that of the parent slot.
BOOST_AUTO_TEST_CASE(requires_the_parents_release_and_assignment)
{
    log_builder log;
    auto epoch = log.add_two_cells();
    auto key = key_hash{16 * 1000 + 5};
    auto split = [&](slot_index parent) {
        return log.add(assignment_record{{},
                                         {{log.service, slots("5"), server(1), epoch}},
                                         {{log.service, key, parent, server(3), epoch}},
                                         {}});
    };
    BOOST_TEST(split(slot_index{5}).reason == drop_reason::not_released);
    BOOST_TEST(log.state.find_table(log.service)->overrides().empty());
    log.release(1, "5", {epoch, 0});
    BOOST_TEST(split(slot_index{4}).reason == drop_reason::wrong_key);
    epoch = log.epoch();
    log.release(1, "5", {epoch, 0});
    BOOST_TEST(split(slot_index{5}).accepted_items == 2U);
    BOOST_TEST((log.state.find_table(log.service)->slot_of(key) == slot_index{16}));
    BOOST_TEST(log.owner(16) == "s3");
    auto own = log.epoch();
    BOOST_TEST(log.add(assignment_record{{}, {}, {}, {{log.service, key, own}}}).reason ==
               drop_reason::not_released);
    log.release(2, "16", {own, 0});
    BOOST_TEST(log.add(assignment_record{{}, {}, {}, {{log.service, key, own}}}).reason ==
               drop_reason::parent_not_assigned);
    log.release(1, "5", {own, 0});
    auto merged = log.add(assignment_record{
        {}, {{log.service, slots("5"), server(2), own}}, {}, {{log.service, key, own}}});
    BOOST_TEST(merged.accepted_items == 2U);
    BOOST_TEST((log.state.find_table(log.service)->slot_of(key) == slot_index{5}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_cell_is_unresponsive)

// Guards against taking keys from a cell that has objected, or whose membership has changed.
BOOST_AUTO_TEST_CASE(allows_a_takeover_only_without_objection)
{
    log_builder log;
    log.add_two_cells();
    auto take_over = [&log](std::uint64_t claim) {
        return log.add(takeover_record{cell_id{1}, 1, claim, config_version{0}});
    };
    BOOST_TEST(log.add(claim_record{cell_id{1}, 7}).reason == drop_reason::stale_epoch);
    BOOST_TEST(take_over(0).reason == drop_reason::no_claim);
    BOOST_TEST(log.add(claim_record{cell_id{1}, 1}).status == apply_status::accepted);
    auto claim = log.epoch();
    BOOST_TEST(log.add(claim_record{cell_id{1}, 1}).reason == drop_reason::claim_open);
    BOOST_TEST(log.add(objection_record{cell_id{1}, claim + 1}).reason == drop_reason::no_claim);
    BOOST_TEST(log.add(objection_record{cell_id{1}, claim}).status == apply_status::accepted);
    BOOST_TEST(take_over(claim).reason == drop_reason::no_claim);
    log.add(claim_record{cell_id{1}, 1});
    BOOST_TEST(take_over(log.epoch()).accepted_items == 16U);
    BOOST_TEST(log.state.slot(log.service, slot_index{0}).released);
    BOOST_TEST(log.assign("0-15", 3, 3).accepted_items == 16U);
}

// Guards against two owners (R1 in docs/design.md): a cell that may continue without log contact
// under its current or previous membership must not be claimed, however short the yield time is
// that was configured meanwhile.
BOOST_AUTO_TEST_CASE(refuses_claims_on_a_cell_that_never_yields)
{
    log_builder log;
    log.add_two_cells();
    auto change = [&log](std::uint64_t replaces, std::uint64_t yield_ms, bool active = true) {
        return log.add(cell_record{cell_id{1}, replaces, zone_id{"a"}, members({1, 2, 3}),
                                   servers({1, 2}), yield_ms, active});
    };
    auto claim = [&log] { return log.add(claim_record{cell_id{1}, log.epoch()}).reason; };
    change(1, 0);
    BOOST_TEST(claim() == drop_reason::never_yields);
    auto epoch = log.epoch() - 1;
    log.add(claim_record{cell_id{1}, epoch, config_version{5}});
    auto undeclared = takeover_record{cell_id{1}, epoch, log.epoch(), config_version{0}};
    BOOST_TEST(log.add(undeclared).reason == drop_reason::never_yields);
    change(epoch, 0);
    claim();
    change(log.epoch() - 1, 500);
    BOOST_TEST(claim() == drop_reason::never_yields);
    change(log.epoch() - 1, 500, false);
    BOOST_TEST(claim() == drop_reason::never_yields);
    change(log.epoch() - 1, 500);
    BOOST_TEST(claim() == drop_reason::none);
    change(log.epoch() - 1, 100, false);
    change(log.epoch(), 100, false);
    BOOST_TEST(log.state.find_cell(cell_id{1})->longest_yield_ms() == 500U);
}

// Guards against ignoring an operator's declaration that the zone has stopped.
BOOST_AUTO_TEST_CASE(allows_a_takeover_of_a_zone_declared_stopped)
{
    log_builder log;
    log.add_two_cells();
    auto wrong = takeover_record{cell_id{1}, 2, 0, config_version{5}};
    BOOST_TEST(log.add(wrong).reason == drop_reason::stale_epoch);
    auto unknown_claim = takeover_record{cell_id{1}, 1, 4, config_version{5}};
    BOOST_TEST(log.add(unknown_claim).reason == drop_reason::no_claim);
    auto declared = takeover_record{cell_id{1}, 1, 0, config_version{5}};
    BOOST_TEST(log.add(declared).accepted_items == 16U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_records_are_repeated_or_malformed)

// Guards against a record that takes effect twice after a lost append answer.
BOOST_AUTO_TEST_CASE(drops_duplicates_in_any_order)
{
    log_builder log;
    log.add_two_cells();
    auto bytes = [](std::uint64_t sequence) {
        return encode_record(
            {{instance(2), boot_id{5}, writer_sequence{sequence}}, claim_record{cell_id{1}, 1}});
    };
    BOOST_TEST(log.add_bytes(bytes(9)).status == apply_status::accepted);
    BOOST_TEST(log.add_bytes(bytes(9)).status == apply_status::duplicate);
    BOOST_TEST(log.add_bytes(bytes(7)).reason == drop_reason::claim_open);
    BOOST_TEST(log.add_bytes(bytes(7)).status == apply_status::duplicate);
    BOOST_TEST(log.add_bytes(bytes(200)).reason == drop_reason::claim_open);
    BOOST_TEST(log.add_bytes(bytes(8)).status == apply_status::duplicate);
    BOOST_TEST(log.add_bytes("junk").reason == drop_reason::malformed);
    BOOST_TEST(log.state.apply(log.records[0]).reason == drop_reason::out_of_order);
    BOOST_TEST(log.state.end().value() == log.records.size());
}

// Guards against unbounded memory for writers that will never return.
BOOST_AUTO_TEST_CASE(discards_the_oldest_writers)
{
    writer_window window;
    for (std::uint64_t n = 0; n < writer_window::max_writers + 10; ++n) {
        window.insert({instance(static_cast<int>(n)), boot_id{n}, writer_sequence{1}},
                      log_offset{n});
    }
    BOOST_TEST(window.entries().size() == writer_window::max_writers);
    BOOST_TEST(!window.contains({instance(9), boot_id{9}, writer_sequence{1}}));
    BOOST_TEST(window.contains({instance(10), boot_id{10}, writer_sequence{1}}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_many_writers_race)

// Guards against two owners (R1 in docs/design.md) and against instances with different states: no
// slot is taken from an owner before its release, and applying the same log always gives the same
// bytes, even when it starts from a snapshot.
BOOST_AUTO_TEST_CASE(keeps_one_owner_and_equal_states)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_engine engine{seed};
        log_builder log;
        log.add_two_cells();
        single_owner_check check;
        ownership_state copy;
        for (int n = 0; n < 400; ++n) {
            log.add(random_body(engine, log));
            BOOST_REQUIRE_EQUAL(check.observe(log.state), "");
            if (n == 200) {
                copy = snapshot_codec::decode(snapshot_codec::encode(log.state)).value();
            }
        }
        for (auto n = copy.end().value(); n < log.records.size(); ++n) {
            copy.apply(log.records[n]);
        }
        BOOST_TEST(snapshot_codec::encode(copy) == snapshot_codec::encode(log.state));
    }
}

// Verifies that the check works: without the release rule, the same records must give a slot two
// owners.
BOOST_AUTO_TEST_CASE(has_two_owners_without_a_safety_rule)
{
    auto violations = [](const apply_rules& rules) {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            random_engine engine{seed};
            log_builder log{rules};
            log.add_two_cells();
            single_owner_check check;
            for (int n = 0; n < 400; ++n) {
                log.add(random_body(engine, log));
                found += check.observe(log.state).empty() ? 0 : 1;
            }
        }
        return found;
    };
    BOOST_TEST(violations({}) == 0);
    BOOST_TEST(violations({.require_release = false}) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
