#include "core/intervals.h"
#include "ownership/grant_table.h"
#include "ownership/grant_tracker.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {

using namespace std::chrono_literals;

namespace {

const service_id service{"svc"};
constexpr time_point start{100s};
constexpr time_point far_future{1000s};

auto key(std::uint32_t slot) -> slot_key
{
    return {service, slot_index{slot}};
}

// A server and its dispatcher's tracker, with the same clock.
struct granted_server {
    grant_table table{boot_id{7}};
    grant_tracker tracker{service, lease_term{5}, true, start};

    auto exchange(time_point now) -> grant_tracker::event
    {
        auto out = tracker.next(now, far_future);
        BOOST_REQUIRE(out.has_value());
        return tracker.on_reply(out->ticket, table.apply(out->message, now), now);
    }

    explicit granted_server()
    {
        tracker.set_slots({{slot_index{1}, {3, 0}}, {slot_index{2}, {3, 0}}});
        exchange(start);
        exchange(start);
    }

    auto check(std::uint32_t slot, slot_epoch epoch, std::uint64_t term, time_point now)
        -> grant_table::refusal
    {
        return table.check({key(slot), epoch, lease_term{term}}, now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(grant_suite)

BOOST_AUTO_TEST_SUITE(a_server)

// Guards against requests that run without a grant, or with another epoch or an older term.
BOOST_AUTO_TEST_CASE(serves_only_what_it_was_granted)
{
    granted_server it;
    using refusal = grant_table::refusal;
    BOOST_TEST((it.check(1, {3, 0}, 5, start) == refusal::none));
    BOOST_TEST((it.check(9, {3, 0}, 5, start) == refusal::no_grant));
    BOOST_TEST((it.check(1, {3, 1}, 5, start) == refusal::wrong_epoch));
    BOOST_TEST((it.check(1, {3, 0}, 4, start) == refusal::older_term));
    BOOST_TEST((it.check(1, {3, 0}, 5, start + grant_ttl) == refusal::no_grant));
}

// Guards against a server that was frozen and renews its expired grants from old messages in its
// socket.
BOOST_AUTO_TEST_CASE(ignores_messages_that_were_sent_before_the_expiry)
{
    granted_server it;
    auto late = it.tracker.next(start + 200ms, far_future);
    BOOST_REQUIRE(late.has_value());
    auto resumed_at = start + 5s;
    it.table.apply(late->message, resumed_at);
    BOOST_TEST(it.table.held(resumed_at).empty());
    BOOST_TEST((it.check(1, {3, 0}, 5, resumed_at) == grant_table::refusal::no_grant));
}

// Guards against a message that arrives late, but before the grants expire, and extends them beyond
// the time that its sender assumes.
BOOST_AUTO_TEST_CASE(counts_from_the_version_that_a_message_repeats)
{
    granted_server it;
    auto late = it.tracker.next(start + 200ms, far_future);
    it.table.apply(late->message, start + 590ms);
    BOOST_TEST(it.table.held(start + 600ms).empty());
    BOOST_TEST((it.tracker.grants_expired_at() >= start + 600ms));
}

// Guards against a server that accepts grants of a dispatcher that has lost its lease.
BOOST_AUTO_TEST_CASE(refuses_an_older_dispatcher)
{
    granted_server it;
    it.table.apply({lease_term{6}, it.table.version(), grant_ttl, true, {}, {}}, start + 10ms);
    auto event = it.exchange(start + 200ms);
    BOOST_TEST((event.superseded_by == lease_term{6}));
    BOOST_TEST(it.table.held(start + 200ms).empty());
}

// Guards against a server that returns to an older epoch of a slot.
BOOST_AUTO_TEST_CASE(refuses_an_older_epoch)
{
    granted_server it;
    slot_set slots;
    slots.insert(slot_index{1});
    grant_message older{lease_term{6}, it.table.version(),         grant_ttl,
                        true,          {{service, slots, {2, 9}}}, {}};
    it.table.apply(older, start);
    BOOST_TEST((it.check(1, {2, 9}, 6, start) == grant_table::refusal::no_grant));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_grant_tracker)

// Guards against an expiry that is assumed too early, while the server may still serve, or so late
// that the slots of a lost server stay unserved for more than one second.
BOOST_AUTO_TEST_CASE(counts_the_expiry_from_the_last_answer)
{
    granted_server it;
    it.exchange(start + 200ms);
    auto expiry = start + 200ms + lengthened_by_drift(grant_ttl);
    BOOST_TEST((it.tracker.grants_expired_at() == expiry));
    BOOST_TEST(it.tracker.next(start + 400ms, far_future).has_value());
    it.tracker.on_request_sent(start + 400ms, start + 30s);
    BOOST_TEST((it.tracker.grants_expired_at() == expiry));
}

// Guards against a transfer right after a takeover, while grants of the earlier dispatcher are
// valid.
BOOST_AUTO_TEST_CASE(includes_grants_of_an_earlier_dispatcher)
{
    grant_tracker it{service, lease_term{5}, true, start};
    BOOST_TEST((it.grants_expired_at() == start + lengthened_by_drift(grant_ttl)));
}

// Guards against a full list in every message, and against changes that are never sent.
BOOST_AUTO_TEST_CASE(sends_deltas_and_full_lists_after_a_restart)
{
    granted_server it;
    it.tracker.set_slots({{slot_index{2}, {3, 0}}, {slot_index{3}, {4, 0}}});
    auto out = it.tracker.next(start + 10ms, far_future);
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(!out->message.full);
    BOOST_TEST(out->message.grants.size() == 1U);
    BOOST_TEST(out->message.revoke.size() == 1U);
    BOOST_TEST(!it.tracker.is_revoked(slot_index{1}, start + 10ms));
    it.tracker.on_reply(out->ticket, it.table.apply(out->message, start + 10ms), start + 10ms);
    BOOST_TEST(it.tracker.is_revoked(slot_index{1}, start + 10ms));

    it.table = grant_table{boot_id{8}};
    BOOST_TEST(it.exchange(start + 210ms).restarted);
    BOOST_TEST(!it.tracker.may_send({slot_index{2}, {3, 0}}, start + 210ms, far_future));
    BOOST_TEST(it.exchange(start + 210ms).renewed);
    BOOST_TEST(it.tracker.may_send({slot_index{2}, {3, 0}}, start + 210ms, far_future));
}

// Guards against a late answer to a failed message that confirms changes which were not applied.
BOOST_AUTO_TEST_CASE(ignores_answers_to_earlier_messages)
{
    granted_server it;
    auto first = it.tracker.next(start + 200ms, far_future);
    auto reply = it.table.apply(first->message, start + 200ms);
    it.tracker.set_slots({{slot_index{2}, {3, 0}}});
    it.tracker.on_failure(first->ticket, start + 200ms);
    auto second = it.tracker.next(start + 320ms, far_future);
    BOOST_REQUIRE(second.has_value());
    it.tracker.on_reply(first->ticket, reply, start + 330ms);
    BOOST_TEST(!it.tracker.is_revoked(slot_index{1}, start + 330ms));
}

// Guards against requests after the end of the lease to servers that cannot refuse them.
BOOST_AUTO_TEST_CASE(covers_requests_on_servers_that_check_no_grants)
{
    grant_tracker it{service, lease_term{5}, false, start};
    slot_grant slot{slot_index{1}, {3, 0}};
    it.set_slots({slot});
    BOOST_TEST(!it.next(start, far_future).has_value());
    BOOST_TEST(it.may_send(slot, start, start + 1ms));
    BOOST_TEST(!it.may_send(slot, start + 1ms, start + 1ms));
    it.on_request_sent(start, start + 30s);
    BOOST_TEST((it.grants_expired_at() == start + 30s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelswitch::test
