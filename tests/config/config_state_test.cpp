#include "config/config_state.h"

#include "core/random.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

auto change(std::uint64_t sequence, std::uint64_t replaces, std::string text) -> std::string
{
    auto header = record_header{instance_id{"i1"}, boot_id{1}, writer_sequence{sequence}};
    return encode_config_record({header, config_change{config_version{replaces}, std::move(text)}});
}

auto repeat(const config_snapshot& snapshot) -> std::string
{
    return encode_config_record({{instance_id{"i2"}, boot_id{2}, writer_sequence{1}}, snapshot});
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_config_state)

// Guards against a later operator silently overwriting the change that was accepted first.
BOOST_AUTO_TEST_CASE(lets_the_first_replacement_of_a_version_win)
{
    config_state state;
    BOOST_TEST(state.apply(log_offset{0}, change(1, 0, "a")).status == apply_status::accepted);
    BOOST_TEST(state.apply(log_offset{1}, change(2, 1, "b")).status == apply_status::accepted);
    auto lost = state.apply(log_offset{2}, change(3, 1, "c"));
    BOOST_TEST(lost.reason == drop_reason::stale_epoch);
    BOOST_TEST(lost.winning_epoch == 2U);
    BOOST_TEST(state.apply(log_offset{3}, change(2, 1, "b")).status == apply_status::duplicate);
    BOOST_TEST(state.apply(log_offset{4}, "junk").reason == drop_reason::malformed);
    BOOST_TEST(state.apply(log_offset{4}, change(4, 2, "d")).reason == drop_reason::out_of_order);
    BOOST_TEST(state.text() == "b");
    BOOST_TEST(state.version().value() == 2U);
}

// Guards R6: neither a repeated older text nor a start from a snapshot may bring a version back.
BOOST_AUTO_TEST_CASE(never_reverts)
{
    config_state state;
    state.apply(log_offset{0}, change(1, 0, "a"));
    auto snapshot = state.snapshot();
    state.apply(log_offset{1}, change(2, 1, "b"));
    state.apply(log_offset{2}, repeat(snapshot));
    BOOST_TEST(state.text() == "b");

    auto decoded = decode_config_record(repeat(snapshot)).value();
    config_state late{std::get<config_snapshot>(decoded.body)};
    BOOST_TEST(late.version().value() == 1U);
    BOOST_TEST((late.end() == log_offset{1}));
    late.apply(log_offset{1}, change(2, 1, "b"));
    late.apply(log_offset{2}, change(1, 0, "a"));
    BOOST_TEST(late.text() == "b");
    BOOST_TEST(late.version().value() == 2U);
}

// Guards against crashes and exceptions on damaged or hostile bytes.
BOOST_AUTO_TEST_CASE(survives_mutated_bytes)
{
    random_engine engine{11};
    auto original = change(1, 0, "services: []");
    for (int n = 0; n < 10'000; ++n) {
        auto bytes = original;
        bytes[uniform_below(engine, bytes.size())] = static_cast<char>(engine());
        bytes.resize(uniform_below(engine, bytes.size() + 1));
        config_state state;
        state.apply(log_offset{0}, bytes);
        BOOST_TEST((state.end() == log_offset{1}));
    }
    auto large = change(1, 0, std::string(max_config_bytes + 8192, 'x'));
    BOOST_TEST(decode_config_record(large).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
