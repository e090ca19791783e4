#include "core/random.h"
#include "ownership/cell_messages.h"
#include "ownership/lease_voter.h"
#include "ownership/slot_registers.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {

using namespace std::chrono_literals;

namespace {

const server_id s0{"s0"};
const server_id s1{"s1"};

auto entry(std::uint32_t slot, slot_epoch epoch, bool committed, std::uint64_t term)
    -> register_entry
{
    return {{service_id{"svc"}, slot_index{slot}}, {epoch, s1, committed, s0, lease_term{term}}};
}

auto samples() -> std::vector<cell_message>
{
    auto released = entry(9, {7, 2}, true, 65537);
    released.value.target.reset();
    std::vector<register_entry> entries{entry(1, {7, 1}, false, 65537),
                                        entry(2, {7, 1}, false, 65537), released};
    return {
        heartbeat{3, 100, 101, 0xfedcba98, 70'000, true, true},
        heartbeat_reply{3, 100, 101, renewal_status::mismatch, true},
        lease_list{4, 100, 101, {{s0, lease_term{65537}, false, true}}},
        lease_votes{4, 100, 100, 5, {{true, lease_term{65536}, true, 0}, {false, {}, false, 9}}},
        lease_release{5, {{s0, lease_term{65537}, true, true}}},
        register_read{6},
        register_copy{6, 100, 101, true, entries},
        register_write{7, 100, 101, s0, lease_term{65537}, entries},
        register_written{7, 100, 101, true},
        membership_ack{101, 100},
        dispatcher_query{s0},
        dispatcher_answer{s0, instance_id{"i1"}, lease_term{65537}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_messages_suite)

BOOST_AUTO_TEST_SUITE(the_codec)

// Guards against fields that are not encoded or decoded.
BOOST_AUTO_TEST_CASE(returns_every_message_unchanged)
{
    for (const auto& it : samples()) {
        auto decoded = decode_cell_message(encode_cell_message(it));
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((decoded.value() == it), "kind " << it.index());
    }
}

// Guards against heartbeats that exceed the budget of 3 KB/s: 4 peers, 5 heartbeats per second,
// both directions, each with an answer and 42 bytes of HTTP/2 frames and indexed header fields.
BOOST_AUTO_TEST_CASE(keeps_heartbeats_within_the_budget)
{
    constexpr std::size_t framing = 42;
    constexpr std::size_t exchanges = 4 * 5 * 2;
    heartbeat request{UINT16_MAX, 0xfffffffe, 0xffffffff, UINT32_MAX, 0xffffffff, true, true};
    heartbeat_reply reply{UINT16_MAX, 0xfffffffe, 0xffffffff, renewal_status::refused, true};
    auto bytes = encode_cell_message(request).size() + encode_cell_message(reply).size() + framing;
    BOOST_TEST(bytes * exchanges <= 3072U);
}

// Guards against one encoded entry for each slot when a server with many slots is lost.
BOOST_AUTO_TEST_CASE(keeps_a_transfer_of_many_slots_short)
{
    register_write it{1, 1, 1, s0, lease_term{1}, {}};
    for (std::uint32_t slot = 0; slot < 3000; ++slot) {
        it.entries.push_back(entry(slot, {7, 1}, false, 1));
    }
    BOOST_TEST(encode_cell_message(it).size() < 100U);
}

// Guards against crashes, hangs and exceptions on bytes from a faulty peer.
BOOST_AUTO_TEST_CASE(rejects_malformed_bytes)
{
    BOOST_TEST(!decode_cell_message("").has_value());
    BOOST_TEST(!decode_cell_message("\x7f").has_value());
    random_engine random{1};
    for (const auto& it : samples()) {
        auto bytes = encode_cell_message(it);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            auto cut = decode_cell_message(std::string_view{bytes}.substr(0, n));
            BOOST_TEST(!cut.has_value());
            BOOST_TEST((cut.error().code == error_code::invalid_message));
        }
        for (int n = 0; n < 500; ++n) {
            auto changed = bytes;
            changed[uniform_below(random, bytes.size())] = static_cast<char>(random());
            auto decoded = decode_cell_message(changed);
            BOOST_TEST((decoded || decoded.error().code == error_code::invalid_message));
        }
        BOOST_TEST(!decode_cell_message(bytes + "x").has_value());
    }
}

// Guards against a short message that decodes into billions of slots.
BOOST_AUTO_TEST_CASE(rejects_slots_out_of_range)
{
    register_copy it{1, 1, 1, true, {entry(4'000'000'000U, {1, 1}, true, 1)}};
    BOOST_TEST(!decode_cell_message(encode_cell_message(it)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_voter)

struct voter_fixture {
    time_point now{10s};
    lease_voter voter{now - 10s, {}};
    cell_member a{instance_id{"a"}, boot_id{1}};
    cell_member b{instance_id{"b"}, boot_id{2}};

    auto vote(const cell_member& from, std::uint32_t sequence, std::uint64_t term,
              bool held = false) -> lease_vote
    {
        return voter.vote(from, {sequence, 1, 1, {{s0, lease_term{term}, true, held}}}, now).at(0);
    }
};

// Guards against a voter that votes while votes of its earlier process are still valid.
BOOST_AUTO_TEST_CASE(abstains_for_one_lease_time)
{
    lease_voter voter{time_point{1s}, {}};
    BOOST_TEST(voter.abstains(time_point{1600ms}));
    BOOST_TEST(!voter.abstains(time_point{1607ms}));
}

// Guards against two holders, and against a term that is granted twice.
BOOST_FIXTURE_TEST_CASE(grants_to_one_holder_with_rising_terms, voter_fixture)
{
    BOOST_TEST(vote(a, 1, 5).granted);
    BOOST_TEST(!vote(b, 1, 6).granted);
    now += 605ms;
    BOOST_TEST(!vote(b, 2, 6).granted);
    now += 2ms;
    BOOST_TEST(!vote(b, 3, 5).granted);
    BOOST_TEST(vote(b, 4, 6).granted);
    BOOST_TEST(!vote(a, 2, 5, true).granted);
}

// Guards against a delayed list that cancels a newer request.
BOOST_FIXTURE_TEST_CASE(ignores_older_lists, voter_fixture)
{
    BOOST_TEST(vote(a, 2, 5).granted);
    BOOST_TEST(voter.vote(a, {1, 1, 1, {}}, now).empty());
    BOOST_TEST(!voter.is_free(s0, now));
}

// Guards against register writes of a dispatcher that has been replaced.
BOOST_FIXTURE_TEST_CASE(refuses_writes_with_older_terms, voter_fixture)
{
    BOOST_TEST(vote(a, 1, 5).granted);
    BOOST_TEST(voter.promise(s0, lease_term{5}));
    BOOST_TEST(!voter.promise(s0, lease_term{4}));
    BOOST_TEST(voter.promise(s0, lease_term{6}));
    BOOST_TEST(!voter.promise(s0, lease_term{5}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(registers)

// Guards against a committed transfer that is replaced by an older, competing or delayed write.
BOOST_AUTO_TEST_CASE(keep_the_highest_epoch_and_committed_values)
{
    ownership_state log;
    slot_registers it;
    slot_key key{service_id{"svc"}, slot_index{1}};
    it.write({entry(1, {7, 1}, false, 5)}, log);
    it.write({entry(1, {7, 1}, false, 4)}, log);
    BOOST_TEST((it.find(key)->term == lease_term{5}));
    it.write({entry(1, {7, 1}, true, 5)}, log);
    it.write({entry(1, {7, 1}, false, 9)}, log);
    BOOST_TEST(it.find(key)->committed);
    BOOST_TEST((it.owner_of(key, log).server == s1));
    it.write({entry(1, {7, 2}, false, 6)}, log);
    BOOST_TEST(!it.owner_of(key, log).server.has_value());
    it.write({entry(1, {7, 1}, true, 5)}, log);
    BOOST_TEST((it.find(key)->epoch == slot_epoch{7, 2}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelswitch::test
