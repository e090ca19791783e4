#include "ownership/snapshot_assembler.h"
#include "ownership/snapshot_codec.h"

#include "core/random.h"
#include "tests/ownership/log_builder.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

// Builds a state whose snapshot has several chunks.
auto large_log() -> log_builder
{
    log_builder log;
    log.add_two_cells();
    auto large = service_id{"large"};
    log.add(assignment_record{{{large, max_hash_slots}}, {}, {}, {}});
    slot_set even;
    slot_set odd;
    for (std::uint32_t n = 0; n < 20'000; ++n) {
        (n % 2 == 0 ? even : odd).insert(slot_index{n});
    }
    log.add(assignment_record{{}, {{large, even, server(1), 0}}, {}, {}});
    log.add(assignment_record{{}, {{large, odd, server(3), 0}}, {}, {}});
    return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_snapshot)

// Guards against a new instance that starts from a state other than that of the log.
BOOST_AUTO_TEST_CASE(restores_the_same_state_from_chunks_in_any_order)
{
    auto log = large_log();
    auto bytes = snapshot_codec::encode(log.state);
    auto chunks = snapshot_codec::to_chunks(bytes, log.state.end());
    BOOST_TEST_REQUIRE(chunks.size() > 1U);
    snapshot_assembler assembler;
    for (auto it = chunks.rbegin(); it != chunks.rend(); ++it) {
        assembler.add(*it);
        assembler.add(*it);
    }
    auto restored = assembler.take();
    BOOST_TEST_REQUIRE(restored.has_value());
    BOOST_TEST(snapshot_codec::encode(*restored) == bytes);
    BOOST_TEST(restored->unreleased_slots(server(1)) == log.state.unreleased_slots(server(1)));
    BOOST_TEST(!assembler.take().has_value());
}

// Guards against using an incomplete snapshot whose writer failed, and against such a snapshot
// hiding an older complete one.
BOOST_AUTO_TEST_CASE(is_ignored_while_incomplete_or_damaged)
{
    auto log = large_log();
    auto old_end = log.state.end();
    auto complete = snapshot_codec::to_chunks(snapshot_codec::encode(log.state), old_end);
    log.release(1, "0", {3, 0});
    auto broken = snapshot_codec::to_chunks(snapshot_codec::encode(log.state), log.state.end());
    snapshot_assembler assembler;
    for (const auto& it : complete) {
        assembler.add(it);
    }
    for (std::size_t n = 0; n + 1 < broken.size(); ++n) {
        assembler.add(broken[n]);
    }
    broken.back().bytes[0] = static_cast<char>(broken.back().bytes[0] ^ 1);
    assembler.add(broken.back());
    auto restored = assembler.take();
    BOOST_TEST_REQUIRE(restored.has_value());
    BOOST_TEST((restored->end() == old_end));
}

// Guards against unbounded memory for snapshots that are never completed.
BOOST_AUTO_TEST_CASE(discards_the_oldest_of_many_incomplete_ones)
{
    auto log = large_log();
    auto first = snapshot_codec::to_chunks(snapshot_codec::encode(log.state), log.state.end());
    snapshot_assembler assembler;
    assembler.add(first[0]);
    for (std::uint64_t n = 0; n < snapshot_assembler::max_partial; ++n) {
        assembler.add({log_offset{1000 + n}, n, 0, 2, "x"});
    }
    for (const auto& it : first) {
        assembler.add(it);
    }
    BOOST_TEST(!assembler.take().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_ownership_decoders)

// Guards against crashes, exceptions and unbounded allocation on damaged or malicious input.
BOOST_AUTO_TEST_CASE(survive_random_and_mutated_bytes)
{
    log_builder log;
    log.add_two_cells();
    log.release(1, "0-3", {3, 0});
    log.add(snapshot_chunk{log_offset{3}, 7, 0, 1, "bytes"});
    auto snapshot = snapshot_codec::encode(log.state);
    random_engine engine{7};
    std::size_t valid = 0;
    for (int n = 0; n < 20'000; ++n) {
        auto is_snapshot = uniform_below(engine, 5) == 0;
        auto pick = uniform_below(engine, log.records.size());
        auto bytes = is_snapshot ? snapshot : log.records[pick].data;
        for (auto changes = 1 + uniform_below(engine, 3); changes > 0; --changes) {
            bytes[uniform_below(engine, bytes.size())] = static_cast<char>(engine());
        }
        if (uniform_below(engine, 3) == 0) {
            bytes.resize(uniform_below(engine, bytes.size()));
        }
        valid += decode_record(bytes).has_value() ? 1 : 0;
        auto state = snapshot_codec::decode(bytes);
        BOOST_TEST((!state || snapshot_codec::encode(state.value()) == bytes));
        std::string noise(uniform_below(engine, 64), '\0');
        for (auto& it : noise) {
            it = static_cast<char>(engine());
        }
        BOOST_TEST(!decode_record(noise).has_value());
    }
    BOOST_TEST(valid < 20'000U);
    BOOST_TEST(!decode_record(std::string(max_record_bytes + 1, '\0')).has_value());
}

// Guards against records beyond the bounds of the state.
BOOST_AUTO_TEST_CASE(refuse_values_out_of_bounds)
{
    auto refused = [](record_body body) {
        return decode_record(encode_record({{}, std::move(body)})).has_error();
    };
    auto service = service_id{"look"};
    BOOST_TEST(refused(cell_record{cell_id{1}, 0, zone_id{"a"}, {}, {}}));
    BOOST_TEST(
        refused(cell_record{cell_id{1}, 0, zone_id{"a"}, members({1, 2, 3, 4, 5, 6, 7}), {}}));
    BOOST_TEST(refused(assignment_record{{{service, 0}}, {}, {}, {}}));
    BOOST_TEST(refused(assignment_record{{{service, max_hash_slots + 1}}, {}, {}, {}}));
    BOOST_TEST(
        refused(assignment_record{{}, {{service, slots("4294967295"), server(1), 0}}, {}, {}}));
    BOOST_TEST(
        refused(release_record{cell_id{1}, {{service, slots("0"), {1, max_minor_epoch + 1}}}}));
    BOOST_TEST(refused(snapshot_chunk{log_offset{1}, 0, 1, 1, "x"}));
    BOOST_TEST(!refused(claim_record{cell_id{1}, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
