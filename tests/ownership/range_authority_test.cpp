#include "tests/ownership/lease_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {
namespace {

BOOST_AUTO_TEST_SUITE(a_range_authority)

BOOST_AUTO_TEST_SUITE(with_reachable_servers)

BOOST_AUTO_TEST_CASE(keeps_a_lease_by_renewing_it)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.run(*authority, seconds{20});
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "a");
    BOOST_TEST(fixture.servers.at(server_id{"a"}).holds(5000));
    // 20 renewals, the first grant, and room for rounding.
    BOOST_TEST(fixture.grants <= 23);
}

BOOST_AUTO_TEST_CASE(moves_part_of_a_range_without_two_holders)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    authority->move({1000, 1999}, server_id{"b"}, fixture.time.now());
    fixture.run(*authority, milliseconds{100});
    BOOST_TEST(owner_of(*authority, 1000, fixture) == "b");
    BOOST_TEST(owner_of(*authority, 999, fixture) == "a");
    BOOST_TEST(owner_of(*authority, 2000, fixture) == "a");
    fixture.run(*authority, seconds{6});
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against ranges that stay with a server after the answer to the renewal of another of its
// ranges has shown that its process has ended.
BOOST_AUTO_TEST_CASE(frees_all_ranges_of_a_server_whose_address_another_server_uses)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    authority->move({1000, 1999}, server_id{"b"}, fixture.time.now());
    authority->move({5000, 5999}, server_id{"b"}, fixture.time.now());
    fixture.run(*authority, milliseconds{100});
    fixture.replaced.insert(server_id{"b"});
    fixture.run(*authority, milliseconds{1100});
    BOOST_TEST((authority->find(1000, fixture.time.now()).phase == range_phase::unowned));
    BOOST_TEST((authority->find(5000, fixture.time.now()).phase == range_phase::unowned));
}

// Guards against a second grant of keys whose lease still runs: a renewal of the whole range is
// refused because the release of a part overtook it, and the rest is then treated as lost.
BOOST_AUTO_TEST_CASE(ignores_a_renewal_that_a_partial_release_overtook)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    // The renewal is in flight when a part of the range is moved.
    fixture.time.advance(seconds{1});
    authority->confirm(fixture.time.now());
    authority->tick(fixture.time.now());
    auto renewal = std::move(fixture.pending);
    fixture.pending.clear();
    authority->move({1000, 1999}, server_id{"b"}, fixture.time.now());
    for (auto& call : renewal) {
        call();
    }
    fixture.run(*authority, seconds{5});
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "a");
    BOOST_TEST(owner_of(*authority, 1000, fixture) == "b");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against a renewal that reaches a server after it has released the keys and restarted.
BOOST_AUTO_TEST_CASE(releases_no_keys_while_a_renewal_of_them_is_in_flight)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.time.advance(seconds{1});
    authority->confirm(fixture.time.now());
    authority->tick(fixture.time.now());
    auto renewal = std::move(fixture.pending);
    fixture.pending.clear();
    authority->move({1000, 1999}, server_id{"b"}, fixture.time.now());
    fixture.run(*authority, milliseconds{300});
    BOOST_TEST(fixture.releases == 0);
    for (auto& call : renewal) {
        call();
    }
    fixture.run(*authority, milliseconds{100});
    BOOST_TEST(fixture.releases == 1);
    BOOST_TEST(owner_of(*authority, 1000, fixture) == "b");
}

// Guards against two holders: the store may name the target of a move that was dropped, so a
// successor may complete the move while the owner's lease is renewed.
BOOST_AUTO_TEST_CASE(renews_no_lease_until_a_dropped_move_is_recorded)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.is_store_writable = false;
    authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    authority->set_servers({{server_id{"a"}, 1}, {server_id{"c"}, 1}}, fixture.time.now());
    auto grants = fixture.grants;
    fixture.run(*authority, seconds{3});
    BOOST_TEST(fixture.grants == grants);
    fixture.is_store_writable = true;
    fixture.run(*authority, milliseconds{100});
    BOOST_TEST(fixture.grants > grants);
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "a");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_unreachable_owner)

BOOST_AUTO_TEST_CASE(waits_until_the_lease_has_certainly_expired)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.unreachable.insert(server_id{"a"});
    authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*authority, seconds{3});
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "");
    // The planner repeats the move until the keys are free.
    for (int n = 0; n < 30; ++n) {
        authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
        fixture.run(*authority, milliseconds{100});
    }
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "b");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against callers that are told to return, or kept waiting, long before the keys can be
// served: the lease of a server that does not answer ends only with its time.
BOOST_AUTO_TEST_CASE(expects_the_keys_when_the_lease_ends)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.unreachable.insert(server_id{"a"});
    authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*authority, milliseconds{50});
    auto found = authority->find(5000, fixture.time.now());
    BOOST_TEST((found.phase == range_phase::releasing));
    BOOST_TEST((found.free_at > fixture.time.now() + seconds{3}));
}

// Guards against the refusal of requests whose keys are moving: a server that answers releases its
// keys when their requests have ended, long before its lease does.
BOOST_AUTO_TEST_CASE(expects_a_release_after_the_mean_time_of_earlier_ones)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    authority->tick(fixture.time.now());
    authority->on_recorded(authority->revision(), fixture.time.now());
    auto found = authority->find(5000, fixture.time.now());
    BOOST_TEST((found.phase == range_phase::releasing));
    BOOST_TEST((found.free_at > fixture.time.now()));
    BOOST_TEST((found.free_at < fixture.time.now() + milliseconds{500}));
}

// Guards against a successor that renews the lease of a server which never received the release.
BOOST_AUTO_TEST_CASE(grants_again_only_after_the_record_no_longer_names_the_server)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.is_store_writable = false;
    fixture.unreachable.insert(server_id{"a"});
    authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    for (int n = 0; n < 80; ++n) {
        fixture.run(*authority, milliseconds{100});
        authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    }
    BOOST_TEST(authority->needs_record());
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "");

    // The coordinator stops, the server is reachable again, and a successor starts from the old
    // record.
    authority->stop();
    fixture.unreachable.clear();
    auto next = fixture.make_successor(fixture.stored, 1000, false);
    fixture.run(*next, seconds{1});
    BOOST_TEST(owner_of(*next, 5000, fixture) == "a");
    BOOST_TEST(fixture.max_holders == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_owner_that_restarts)

// Guards against two holders after a restart: the new process may have accepted a grant before the
// restart was known, so its keys must not be treated as free.
BOOST_AUTO_TEST_CASE(leaves_the_keys_with_the_new_process_under_a_higher_token)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.servers.at(server_id{"a"}).restart();
    // A renewal reaches the new process before service discovery reports the restart.
    fixture.run(*authority, milliseconds{1500});
    auto highest = *fixture.tokens.rbegin();
    authority->set_servers({{server_id{"a"}, 2}, {server_id{"b"}, 1}, {server_id{"c"}, 1}},
                           fixture.time.now());
    authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*authority, seconds{5});
    BOOST_TEST(fixture.max_holders == 1);
    BOOST_TEST(highest < *fixture.tokens.rbegin());
}

BOOST_AUTO_TEST_CASE(moves_the_keys_at_once_when_another_server_uses_the_address)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.servers.at(server_id{"a"}).restart();
    authority->on_server_ended(server_id{"a"}, 1, fixture.time.now());
    authority->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*authority, milliseconds{100});
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_takes_over)

BOOST_AUTO_TEST_CASE(renews_the_recorded_leases_at_once)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    first->stop();
    auto next = fixture.make_successor(fixture.stored, 1000);
    fixture.run(*next, milliseconds{100});
    BOOST_TEST(owner_of(*next, 5000, fixture) == "a");
}

// Guards against two coordinators of which one takes keys from a server and the other one renews
// its lease.
BOOST_AUTO_TEST_CASE(moves_nothing_while_a_predecessor_may_renew)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    auto next = fixture.make_successor(fixture.stored, 1000);
    fixture.run(*next, milliseconds{300});
    next->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*next, seconds{2});
    BOOST_TEST(owner_of(*next, 5000, fixture) == "a");
    BOOST_TEST(!fixture.servers.at(server_id{"b"}).holds(5000));
    next->set_earlier_terms_end(fixture.ended());
    next->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*next, milliseconds{100});
    BOOST_TEST(owner_of(*next, 5000, fixture) == "b");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against two holders after a move that the predecessor had recorded and goes on with.
BOOST_AUTO_TEST_CASE(completes_a_move_that_its_predecessor_recorded)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    first->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    auto recorded = fixture.run_until_move_is_recorded(*first);
    fixture.run(*first, milliseconds{100});
    BOOST_TEST(fixture.servers.at(server_id{"b"}).holds(5000));

    auto next = fixture.make_successor(recorded, 1000);
    fixture.run(*next, milliseconds{300});
    BOOST_TEST(owner_of(*next, 5000, fixture) == "b");
    // The predecessor continues without contact to the store for as long as it is allowed to.
    for (int n = 0; n < 200; ++n) {
        next->move({0, 65'535}, server_id{"c"}, fixture.time.now());
        fixture.run(*next, milliseconds{50});
        first->tick(fixture.time.now());
    }
    BOOST_TEST(owner_of(*next, 5000, fixture) == "c");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against two holders after a move that the predecessor had recorded but not begun.
BOOST_AUTO_TEST_CASE(completes_a_move_that_its_predecessor_did_not_begin)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    first->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    auto recorded = fixture.stored;
    recorded.ranges = first->ranges_to_record();
    fixture.is_store_writable = false;
    // The response to the append is lost, so the predecessor neither moves nor renews the range.
    auto next = fixture.make_successor(recorded, 1000);
    for (int n = 0; n < 40; ++n) {
        fixture.run(*next, milliseconds{50});
        first->tick(fixture.time.now());
    }
    BOOST_TEST(owner_of(*next, 5000, fixture) == "b");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against two holders when the target of a recorded move has left service discovery: it may
// have been granted the range already and still hold it.
BOOST_AUTO_TEST_CASE(waits_for_a_target_that_its_predecessor_may_have_granted)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    first->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    auto recorded = fixture.run_until_move_is_recorded(*first);
    fixture.run(*first, milliseconds{100});
    first->stop();

    auto next = fixture.make_successor(recorded, 1000, false);
    next->set_servers({{server_id{"a"}, 1}, {server_id{"c"}, 1}}, fixture.time.now());
    for (int n = 0; n < 120; ++n) {
        next->move({0, 65'535}, server_id{"c"}, fixture.time.now());
        fixture.run(*next, milliseconds{50});
    }
    BOOST_TEST(owner_of(*next, 5000, fixture) == "c");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against two holders: another server answers at the recorded address, but a predecessor may
// have granted the keys to a later process of the owner at another address.
BOOST_AUTO_TEST_CASE(does_not_take_a_reused_address_for_the_end_of_every_process_of_the_owner)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    first->stop();
    auto next = fixture.make_successor(fixture.stored, 1000, false);
    next->on_server_ended(server_id{"a"}, 1, fixture.time.now());
    for (int n = 0; n < 30; ++n) {
        next->move({0, 65'535}, server_id{"b"}, fixture.time.now());
        fixture.run(*next, milliseconds{100});
    }
    BOOST_TEST(owner_of(*next, 5000, fixture) == "");
    for (int n = 0; n < 30; ++n) {
        next->move({0, 65'535}, server_id{"b"}, fixture.time.now());
        fixture.run(*next, milliseconds{100});
    }
    BOOST_TEST(owner_of(*next, 5000, fixture) == "b");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against keys that are not served for the duration of a lease after a change from a version
// that moved ranges before it recorded the moves.
BOOST_AUTO_TEST_CASE(keeps_unrecorded_owners_that_its_predecessor_reports)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    auto recorded = fixture.stored;
    recorded.names_all_holders = false;
    first->move({1000, 1999}, server_id{"b"}, fixture.time.now());
    fixture.run(*first, milliseconds{100});
    // The release of this range is pending when the coordinator stops.
    first->move({5000, 5999}, server_id{"c"}, fixture.time.now());
    first->stop();

    auto next = fixture.make_successor(recorded, 1000);
    fixture.run(*next, milliseconds{50});
    BOOST_TEST(!next->knows_all_holders());
    next->set_earlier_terms_end(fixture.ended());
    next->accept_transfer(first->transfer(fixture.time.now()), fixture.time.now());
    BOOST_TEST(next->knows_all_holders());
    BOOST_TEST(owner_of(*next, 1000, fixture) == "b");
    fixture.run(*next, milliseconds{50});
    BOOST_TEST(owner_of(*next, 1000, fixture) == "b");
    BOOST_TEST(owner_of(*next, 5000, fixture) == "a");
    BOOST_TEST(owner_of(*next, 40'000, fixture) == "a");
    fixture.run(*next, seconds{10});
    BOOST_TEST(fixture.servers.at(server_id{"b"}).holds(1000));
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against two holders after a change from such a version without a report.
BOOST_AUTO_TEST_CASE(grants_nothing_while_an_unrecorded_owner_may_hold_the_keys)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    auto recorded = fixture.stored;
    recorded.names_all_holders = false;
    first->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*first, milliseconds{100});

    auto next = fixture.make_successor(recorded, 1000);
    // The predecessor continues without contact to the store for as long as it is allowed to.
    for (int n = 0; n < 200; ++n) {
        next->move({0, 65'535}, server_id{"c"}, fixture.time.now());
        fixture.run(*next, milliseconds{50});
        first->tick(fixture.time.now());
    }
    for (int n = 0; n < 100; ++n) {
        next->move({0, 65'535}, server_id{"c"}, fixture.time.now());
        fixture.run(*next, milliseconds{50});
    }
    BOOST_TEST(owner_of(*next, 5000, fixture) == "c");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against ignoring the predecessor's report because it comes late.
BOOST_AUTO_TEST_CASE(accepts_a_late_report_of_its_predecessor)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    auto recorded = fixture.stored;
    recorded.names_all_holders = false;
    first->move({1000, 1999}, server_id{"b"}, fixture.time.now());
    fixture.run(*first, milliseconds{100});
    first->stop();

    auto next = fixture.make_successor(recorded, 1000);
    fixture.run(*next, milliseconds{400});
    BOOST_TEST(owner_of(*next, 1000, fixture) == "");
    next->set_earlier_terms_end(fixture.ended());
    next->accept_transfer(first->transfer(fixture.time.now()), fixture.time.now());
    fixture.run(*next, milliseconds{50});
    BOOST_TEST(owner_of(*next, 1000, fixture) == "b");
    fixture.run(*next, seconds{10});
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against a predecessor that was paused and reports a lease as expired that the successor
// has renewed. A renewal without an answer may have taken effect.
BOOST_AUTO_TEST_CASE(ignores_a_report_of_a_free_range_after_it_sent_a_renewal)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    first->stop();
    fixture.time.advance(milliseconds{3500});

    auto next = fixture.make_successor(fixture.stored, 1000);
    fixture.drops_answers = true;
    fixture.run(*next, milliseconds{300});
    BOOST_TEST(fixture.servers.at(server_id{"a"}).holds(5000));
    fixture.drops_answers = false;
    fixture.unreachable.insert(server_id{"a"});
    next->set_earlier_terms_end(fixture.ended());
    next->accept_transfer({{{0, 65'535}, server_id{}, 1, {}, milliseconds{-100}}},
                          fixture.time.now());
    for (int n = 0; n < 20; ++n) {
        next->move({0, 65'535}, server_id{"b"}, fixture.time.now());
        fixture.run(*next, milliseconds{100});
    }
    BOOST_TEST(owner_of(*next, 5000, fixture) != "b");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against two holders after two changes of coordinator: the second coordinator renews a
// lease, then the first one, still running, moves the range, and the second one reports the old
// owner to its successor as certain.
BOOST_AUTO_TEST_CASE(is_not_overtaken_by_a_move_of_its_cut_off_predecessor)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    auto second = fixture.make_successor(fixture.stored, 1000);
    fixture.run(*second, milliseconds{300});
    BOOST_TEST(owner_of(*second, 5000, fixture) == "a");
    auto recorded = fixture.stored;
    fixture.is_store_writable = false;
    first->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*first, milliseconds{50});
    BOOST_TEST(!fixture.servers.at(server_id{"b"}).holds(5000));
    second->stop();

    fixture.is_store_writable = true;
    auto third = fixture.make_successor(recorded, 2000);
    third->set_earlier_terms_end(fixture.ended());
    third->accept_transfer(second->transfer(fixture.time.now()), fixture.time.now());
    fixture.run(*third, seconds{2});
    BOOST_TEST(owner_of(*third, 5000, fixture) == "a");
    BOOST_TEST(fixture.max_holders == 1);
}

// Guards against a superseded coordinator that answers a server's refusal with a higher token,
// which a later process of the server would accept.
BOOST_AUTO_TEST_CASE(grants_nothing_after_a_refusal_until_its_role_is_confirmed)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    auto next = fixture.make_successor(fixture.stored, 1000);
    fixture.run(*next, milliseconds{300});
    next->stop();
    fixture.run(*first, seconds{2}, false);
    fixture.servers.at(server_id{"a"}).restart();
    fixture.run(*first, seconds{1}, false);
    BOOST_TEST(!fixture.servers.at(server_id{"a"}).holds(5000));
    fixture.run(*first, seconds{1});
    BOOST_TEST(fixture.servers.at(server_id{"a"}).holds(5000));
}

// Guards against a late report that reverts moves which the successor has made meanwhile.
BOOST_AUTO_TEST_CASE(keeps_its_own_grants_when_its_predecessor_reports_late)
{
    lease_fixture fixture;
    auto first = fixture.make_started_authority();
    auto transferred = first->transfer(fixture.time.now());
    first->stop();

    auto next = fixture.make_successor(fixture.stored, 1000, false);
    fixture.run(*next, milliseconds{300});
    next->move({0, 65'535}, server_id{"b"}, fixture.time.now());
    fixture.run(*next, milliseconds{100});
    next->accept_transfer(transferred, fixture.time.now());
    fixture.run(*next, seconds{5});
    BOOST_TEST(owner_of(*next, 5000, fixture) == "b");
    BOOST_TEST(fixture.max_holders == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_the_store)

BOOST_AUTO_TEST_CASE(renews_for_a_bounded_time_and_moves_nothing)
{
    lease_fixture fixture;
    auto authority = fixture.make_started_authority();
    fixture.run(*authority, milliseconds{3100}, false);
    BOOST_TEST(!authority->may_plan(fixture.time.now()));
    fixture.run(*authority, seconds{3}, false);
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "a");
    fixture.run(*authority, seconds{6}, false);
    BOOST_TEST(!fixture.servers.at(server_id{"a"}).holds(5000));
    BOOST_TEST(owner_of(*authority, 5000, fixture) == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(records_are_equal_after_encoding_and_decoding)
{
    coordinator_record record;
    record.coordinator = instance_id{"i1"};
    record.boot = boot_id{7};
    record.address = {"127.0.0.1", 7200};
    record.term = lease_term{3};
    record.token_limit = fencing_token{99};
    record.has_no_live_predecessor = true;
    record.ranges = {{{0, 99}, server_id{"a"}, 5, fencing_token{12}, {}},
                     {{100, 199}, server_id{"b"}, 7, fencing_token{98}, server_id{"c"}},
                     {{300, 65'535}, server_id{"a"}, 5, fencing_token{40}, {}}};
    BOOST_TEST((decode_coordinator_record(encode_coordinator_record(record)).value() == record));
    // Earlier versions wrote no targets.
    auto earlier = record;
    earlier.names_all_holders = false;
    earlier.ranges[1].target.reset();
    BOOST_TEST((decode_coordinator_record(encode_coordinator_record(earlier)).value() == earlier));
    BOOST_TEST(decode_coordinator_record("{}").has_error());
    BOOST_TEST(decode_coordinator_record("not json").has_error());
    auto text = encode_coordinator_record(record);
    text.replace(text.find("[0,99"), 1, "[7,");
    BOOST_TEST(decode_coordinator_record(text).has_error());
}

// Guards against records that saturate a link of 10 Mbit/s, because each instance reads every
// record.
BOOST_AUTO_TEST_CASE(records_of_many_ranges_stay_small)
{
    coordinator_record record;
    record.coordinator = instance_id{"edge-taichung-a-1"};
    record.token_limit = fencing_token{57'671'681};
    constexpr std::uint32_t ranges = 2000;
    for (std::uint32_t n = 0; n < ranges; ++n) {
        auto first = static_cast<std::uint16_t>(n * 32);
        record.ranges.push_back({{first, static_cast<std::uint16_t>(first + 31)},
                                 server_id{"i-bf3f7bd" + std::to_string(100 + n % 300)},
                                 1'783'893'642'015,
                                 fencing_token{57'000'000 + n},
                                 {}});
    }
    auto text = encode_coordinator_record(record);
    // The transfer of one record takes at most 50 ms on such a link.
    BOOST_TEST(text.size() < 62'500U);
    BOOST_TEST((decode_coordinator_record(text).value() == record));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
