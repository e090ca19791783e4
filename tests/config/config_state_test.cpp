#include "config/config_state.h"

#include "core/random.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

auto change_record(std::uint64_t sequence, std::uint64_t replaces, std::string text) -> std::string
{
    auto header = record_header{instance_id{"i1"}, boot_id{1}, writer_sequence{sequence}};
    return encode_config_record({header, config_change{config_version{replaces}, std::move(text)}});
}

auto snapshot_record(const config_snapshot& snapshot) -> std::string
{
    return encode_config_record({{instance_id{"i2"}, boot_id{2}, writer_sequence{1}}, snapshot});
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_config_state)

// Guards against lost updates: of two operators who replace the same version, the second one must
// not silently overwrite the change of the first one.
BOOST_AUTO_TEST_CASE(accepts_only_the_first_replacement_of_a_version)
{
    config_state state;
    BOOST_TEST(state.apply(log_offset{0}, change_record(1, 0, "a")).status ==
               apply_status::accepted);
    BOOST_TEST(state.apply(log_offset{1}, change_record(2, 1, "b")).status ==
               apply_status::accepted);
    auto dropped = state.apply(log_offset{2}, change_record(3, 1, "c"));
    BOOST_TEST(dropped.reason == drop_reason::stale_epoch);
    BOOST_TEST(dropped.current_epoch == 2U);
    BOOST_TEST(state.apply(log_offset{3}, change_record(2, 1, "b")).status ==
               apply_status::duplicate);
    BOOST_TEST(state.apply(log_offset{4}, "junk").reason == drop_reason::malformed);
    BOOST_TEST(state.apply(log_offset{4}, change_record(4, 2, "d")).reason ==
               drop_reason::out_of_order);
    BOOST_TEST(state.text() == "b");
    BOOST_TEST(state.version().value() == 2U);
}

// Guards against a return to an older version (R6 in docs/design.md): neither a snapshot of an
// older version in the log nor a start from such a snapshot may lower the version.
BOOST_AUTO_TEST_CASE(never_returns_to_an_older_version)
{
    config_state state;
    state.apply(log_offset{0}, change_record(1, 0, "a"));
    auto snapshot = state.snapshot();
    state.apply(log_offset{1}, change_record(2, 1, "b"));
    state.apply(log_offset{2}, snapshot_record(snapshot));
    BOOST_TEST(state.text() == "b");

    auto decoded = decode_config_record(snapshot_record(snapshot)).value();
    config_state restored{std::get<config_snapshot>(decoded.body)};
    BOOST_TEST(restored.version().value() == 1U);
    BOOST_TEST((restored.end() == log_offset{1}));
    restored.apply(log_offset{1}, change_record(2, 1, "b"));
    restored.apply(log_offset{2}, change_record(1, 0, "a"));
    BOOST_TEST(restored.text() == "b");
    BOOST_TEST(restored.version().value() == 2U);
}

// Guards against crashes and exceptions when the bytes are damaged or malicious.
BOOST_AUTO_TEST_CASE(survives_mutated_bytes)
{
    random_engine engine{11};
    auto original = change_record(1, 0, "services: []");
    for (int n = 0; n < 10'000; ++n) {
        auto bytes = original;
        bytes[uniform_below(engine, bytes.size())] = static_cast<char>(engine());
        bytes.resize(uniform_below(engine, bytes.size() + 1));
        config_state state;
        state.apply(log_offset{0}, bytes);
        BOOST_TEST((state.end() == log_offset{1}));
    }
    auto large = change_record(1, 0, std::string(max_config_bytes + 8192, 'x'));
    BOOST_TEST(decode_config_record(large).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
