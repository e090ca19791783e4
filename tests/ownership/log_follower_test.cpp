#include "ownership/log_follower.h"

#include "core/hash.h"
#include "core/random.h"
#include "ownership/snapshot_codec.h"
#include "ownership/state_copy.h"
#include "tests/ownership/fake_log.h"
#include "tests/ownership/log_builder.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;
using namespace cornelswitch::test;
using fault = fake_log::append_fault;

namespace {

auto fill_ownership(fake_log& log) -> log_builder
{
    log_builder built;
    built.add_two_cells();
    for (const auto& it : built.records) {
        log.streams[log_stream::ownership].records.push_back(it.data);
    }
    return built;
}

auto count_settled(const follower_node& node, append_outcome outcome) -> long
{
    return std::count_if(node.settled.begin(), node.settled.end(),
                         [outcome](const auto& it) { return it.outcome == outcome; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_log_follower)

BOOST_AUTO_TEST_SUITE(when_it_starts)

// Guards against serving before the state is known, and against a `caught_up_at` that is later than
// the start of the last read.
BOOST_AUTO_TEST_CASE(is_ready_after_reading_to_the_end)
{
    fake_log log;
    auto built = fill_ownership(log);
    follower_node node{log, 1};
    node.step();
    auto started = node.now;
    BOOST_TEST(!node.follower.ready());
    BOOST_TEST(!node.follower.copy_state().has_value());
    node.step();
    BOOST_TEST(node.follower.ready());
    BOOST_TEST((node.follower.caught_up_at() == started));
    BOOST_TEST((node.follower.ownership().end() == built.state.end()));
    log.down = true;
    node.run(30);
    BOOST_TEST(node.follower.ready());
    BOOST_TEST((*node.follower.caught_up_at() <= started + std::chrono::milliseconds{100}));
}

// Guards against an instance that stays unready during a log outage although peers have the state.
BOOST_AUTO_TEST_CASE(copies_a_peers_state_while_the_log_is_down)
{
    fake_log log;
    fill_ownership(log);
    follower_node peer{log, 1};
    peer.run(3);
    log.down = true;
    follower_node node{log, 2};
    node.run(30);
    BOOST_TEST(!node.follower.ready());
    node.peer = &peer;
    node.run(30);
    BOOST_TEST(node.follower.ready());
    BOOST_TEST(!node.follower.caught_up_at().has_value());
    BOOST_TEST((node.follower.ownership().end() == peer.follower.ownership().end()));
}

// Guards against an older peer that reverts an accepted configuration (R6 in docs/design.md).
BOOST_AUTO_TEST_CASE(never_installs_an_older_copy)
{
    fake_log log;
    follower_node old{log, 1};
    old.publish(0, "first");
    old.run(10);
    follower_node node{log, 2};
    node.run(3);
    auto copy = *old.follower.copy_state();
    log.streams[log_stream::config].records.push_back(encode_config_record(
        {{instance(9), boot_id{9}, writer_sequence{1}}, config_change{config_version{1}, "next"}}));
    node.run(20);
    BOOST_TEST(node.follower.config().text() == "next");
    log.streams[log_stream::config].first = 2;
    log.down = true;
    node.run(60);
    node.follower.on_state_copy(copy, node.now);
    BOOST_TEST(node.follower.config().text() == "next");
    config_stream stream;
    BOOST_TEST(stream.install_copy({log_offset{5}, config_version{4}, "new"}));
    BOOST_TEST(!stream.install_copy({log_offset{6}, config_version{3}, "old"}));
    BOOST_TEST(!stream.install_copy({log_offset{4}, config_version{4}, "new"}));
    BOOST_TEST(stream.state().text() == "new");
}

// Guards against crashes on damaged copies from peers.
BOOST_AUTO_TEST_CASE(ignores_malformed_copies)
{
    fake_log log;
    fill_ownership(log);
    follower_node peer{log, 1};
    peer.run(3);
    auto copy = *peer.follower.copy_state();
    log.down = true;
    random_engine engine{3};
    for (int n = 0; n < 3000; ++n) {
        auto bytes = copy;
        bytes[uniform_below(engine, bytes.size())] = static_cast<char>(engine());
        bytes.resize(bytes.size() - uniform_below(engine, 4));
        follower_node node{log, 2};
        node.run(2);
        node.follower.on_state_copy(bytes, node.now);
        const auto& state = node.follower.ownership();
        BOOST_TEST(snapshot_codec::decode(snapshot_codec::encode(state)).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_append_answers_are_lost)

// Guards against a record that is applied twice or reported wrongly when its first append takes
// effect without an answer, and against one that is lost because its append never took effect.
BOOST_AUTO_TEST_CASE(finds_the_record_by_reading_back_or_appends_it_again)
{
    for (auto injected : {fault::lose_answer, fault::fail}) {
        fake_log log;
        follower_node node{log, 1};
        node.run(3);
        log.next_append = injected;
        auto sequence = node.publish(0, "text");
        node.run(50);
        BOOST_TEST_REQUIRE(node.outcomes(sequence).size() == 1U);
        BOOST_TEST(node.outcomes(sequence)[0].outcome == append_outcome::accepted);
        BOOST_TEST(log.end(log_stream::config) == 1U);
    }
}

// Guards against applying a record twice when its first append takes effect after the second one.
BOOST_AUTO_TEST_CASE(applies_a_record_once_when_its_first_append_is_late)
{
    fake_log log;
    follower_node node{log, 1};
    follower_node other{log, 2};
    node.run(3);
    log.next_append = fault::append_late;
    auto sequence = node.publish(0, "text");
    node.run(50);
    log.append_delayed_records();
    node.run(50);
    other.run(5);
    BOOST_TEST(log.end(log_stream::config) == 2U);
    BOOST_TEST(node.outcomes(sequence).size() == 1U);
    BOOST_TEST(other.follower.config().version().value() == 1U);
    BOOST_TEST(other.follower.config().text() == "text");
}

// Guards against reporting success or failure while the outcome is unknown, and against not
// reporting the outcome when the record appears later.
BOOST_AUTO_TEST_CASE(reports_unknown_and_later_the_outcome)
{
    fake_log log;
    follower_node node{log, 1};
    node.run(3);
    log.next_append = fault::append_late;
    auto sequence = node.publish(0, "text");
    node.step();
    log.down = true;
    node.run(250);
    BOOST_TEST_REQUIRE(node.outcomes(sequence).size() == 1U);
    BOOST_TEST(node.outcomes(sequence)[0].outcome == append_outcome::unknown);
    log.down = false;
    log.append_delayed_records();
    node.run(50);
    BOOST_TEST_REQUIRE(node.outcomes(sequence).size() == 2U);
    BOOST_TEST(node.outcomes(sequence)[1].outcome == append_outcome::accepted);
}

// Guards against two operators whose changes conflict and who are both told that their change is in
// force.
BOOST_AUTO_TEST_CASE(reports_the_current_version_to_the_losing_writer)
{
    fake_log log;
    follower_node one{log, 1};
    follower_node two{log, 2};
    one.run(3);
    two.run(3);
    one.publish(0, "one");
    auto lost = two.publish(0, "two");
    one.run(20);
    two.run(20);
    BOOST_TEST_REQUIRE(two.outcomes(lost).size() == 1U);
    BOOST_TEST(two.outcomes(lost)[0].outcome == append_outcome::dropped);
    BOOST_TEST(two.outcomes(lost)[0].result.current_epoch == 1U);
    BOOST_TEST(two.follower.config().text() == "one");
}

// Guards against losing or repeating records under random append faults.
BOOST_AUTO_TEST_CASE(settles_every_record_once_under_random_faults)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        random_engine engine{seed};
        fake_log log;
        fill_ownership(log);
        follower_node node{log, 1};
        node.run(3);
        for (int n = 0; n < 300; ++n) {
            log.next_append = static_cast<fault>(uniform_below(engine, 4));
            if (n < 40) {
                // Each claim is dropped because its cell does not exist.
                auto body = claim_record{cell_id{9}, 0};
                node.follower.submit(body, node.now + std::chrono::hours{1}).value();
            }
            if (uniform_below(engine, 10) == 0) {
                log.append_delayed_records();
            }
            node.step();
        }
        log.next_append = fault::none;
        node.run(400);
        BOOST_TEST(count_settled(node, append_outcome::dropped) == 40);
        BOOST_TEST(node.settled.size() == 40U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_retention_drops_records)

// Guards against a lost or different state after its first records are dropped.
BOOST_AUTO_TEST_CASE(starts_from_the_newest_complete_snapshot)
{
    fake_log log;
    auto built = fill_ownership(log);
    log_follower::settings options;
    options.snapshots.interval = std::chrono::seconds{5};
    follower_node writer{log, 1, options};
    writer.follower.set_snapshot_writer(true);
    writer.publish(0, "text");
    writer.run(120);
    auto& data = log.streams[log_stream::ownership];
    data.records.push_back(encode_record(
        {{instance(8), boot_id{8}, writer_sequence{1}}, claim_record{cell_id{1}, 1}}));
    writer.run(20);
    data.first = 3;
    log.streams[log_stream::config].first = 1;
    follower_node node{log, 2};
    node.run(20);
    BOOST_TEST(node.follower.ready());
    BOOST_TEST(node.follower.config().text() == "text");
    BOOST_TEST(node.follower.config().version().value() == 1U);
    BOOST_TEST(snapshot_codec::encode(node.follower.ownership()) ==
               snapshot_codec::encode(writer.follower.ownership()));
}

// Guards against starting from an incomplete snapshot, and against an instance that never catches
// up after an absence.
BOOST_AUTO_TEST_CASE(waits_for_a_snapshot_or_a_copy)
{
    fake_log log;
    auto built = fill_ownership(log);
    follower_node absent{log, 3};
    absent.run(3);
    auto& data = log.streams[log_stream::ownership];
    auto add = [&](const record_body& body) {
        built.add(body);
        data.records.push_back(built.records.back().data);
    };
    add(claim_record{cell_id{1}, 1});
    auto bytes = snapshot_codec::encode(built.state);
    add(snapshot_chunk{built.state.end(), hash_bytes(bytes), 0, 2, bytes.substr(0, 50)});
    data.first = 4;
    follower_node node{log, 2};
    node.run(40);
    absent.run(40);
    BOOST_TEST(!node.follower.ready());
    BOOST_TEST(node.copies_requested > 1);
    BOOST_TEST(absent.follower.ready());
    BOOST_TEST((absent.follower.ownership().end() == log_offset{3}));
    // The same state in one chunk, as another version of the program might split it.
    for (const auto& it : snapshot_codec::to_chunks(bytes, log_offset{4})) {
        add(it);
    }
    node.run(40);
    absent.run(40);
    BOOST_TEST(node.follower.ready());
    BOOST_TEST(node.follower.ownership().find_cell(cell_id{1})->claim.has_value());
    BOOST_TEST(snapshot_codec::encode(node.follower.ownership()) ==
               snapshot_codec::encode(absent.follower.ownership()));
}

// Guards against snapshots that are written too late for a log with a short retention, or too
// often.
BOOST_AUTO_TEST_CASE(writes_snapshots_before_retention_drops_the_state)
{
    fake_log log;
    auto built = fill_ownership(log);
    follower_node writer{log, 1};
    writer.follower.set_snapshot_writer(true);
    writer.publish(0, "text");
    std::uint64_t appended = 0;
    for (int n = 0; n < 3000; ++n) {
        if (n % 10 == 0) {
            writer.follower.submit(claim_record{cell_id{9}, 0}, writer.deadline()).value();
            ++appended;
        }
        for (auto name : {log_stream::config, log_stream::ownership}) {
            auto& data = log.streams[name];
            data.first = data.records.size() - std::min<std::size_t>(data.records.size(), 200);
        }
        writer.step();
        if (n % 100 == 99) {
            follower_node node{log, 2};
            node.run(20);
            BOOST_TEST(node.follower.ready());
            BOOST_TEST(node.follower.config().text() == "text");
        }
    }
    BOOST_TEST(log.end(log_stream::ownership) < built.records.size() + appended + 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
