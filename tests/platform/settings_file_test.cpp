#include "platform/settings_file.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string valid_settings = "Node=edge-z1-1\n"
                                   "Ip=127.0.0.1\n"
                                   "Zone=z1\n"
                                   "Listen.Front=127.0.0.1:8381\n"
                                   "Listen.Ready=127.0.0.1:8388\n"
                                   "PortRange=7200,7215\n"
                                   "Platform.Addr=127.0.0.2:8384\n"
                                   "Platform.parts=8\n"
                                   "Platform.MinTtl=1000ms\n"
                                   "Limits.CpuShare=0.2\n"
                                   "BeatInterval=870ms\n"
                                   "Bounds.Grace=6s\n"
                                   "Bounds.RetryBudgetRatio=0.2\n"
                                   "Bounds.ColdTolerance=1.5\n"
                                   "Something.New=1\n";

auto without_line(std::string text, const std::string& line_start) -> std::string
{
    auto position = text.find(line_start);
    return text.erase(position, text.find('\n', position) - position + 1);
}

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(is_decoded_into_its_fields)
{
    auto decoded = decode_settings(valid_settings);
    BOOST_REQUIRE(decoded.has_value());
    const auto& it = decoded.value();
    BOOST_TEST(it.node.value() == "edge-z1-1");
    BOOST_TEST(it.caller_address.to_text() == "127.0.0.1:8381");
    BOOST_TEST(it.peer_address.to_text() == "127.0.0.1:7200");
    BOOST_TEST(it.store_address.to_text() == "127.0.0.2:8384");
    BOOST_TEST((it.heartbeat_interval == milliseconds{870}));
    BOOST_TEST((it.shutdown_grace == seconds{6}));
    BOOST_TEST(it.retry_ratio == 0.2);
    BOOST_TEST(it.cold_tolerance == 1.5);
    BOOST_TEST(it.store_partitions == 8U);
}

BOOST_AUTO_TEST_CASE(names_the_exactness_of_quotas)
{
    auto usual = decode_settings(valid_settings).value().quota;
    BOOST_TEST((usual.window == seconds{5}));
    BOOST_TEST(usual.overrun == 0.1);
    BOOST_TEST(usual.slack == 20);
    auto named = decode_settings(valid_settings + "Bounds.QuotaWindow=2s\nBounds.QuotaOverrun=0.2\n"
                                                  "Bounds.QuotaSlack=7\n")
                     .value()
                     .quota;
    BOOST_TEST((named.window == seconds{2}));
    BOOST_TEST(named.overrun == 0.2);
    BOOST_TEST(named.slack == 7);
    // Guards against a window without a length, by which rates are divided.
    BOOST_TEST((decode_settings(valid_settings + "Bounds.QuotaWindow=0s\n").value().quota.window ==
                seconds{5}));
}

BOOST_AUTO_TEST_CASE(is_rejected_with_the_name_of_a_missing_required_field)
{
    for (const auto* field :
         {"Node", "Zone", "Ip", "PortRange", "Listen.Front", "Listen.Ready", "Platform.Addr"}) {
        auto decoded = decode_settings(without_line(valid_settings, std::string{field} + "="));
        BOOST_REQUIRE(decoded.has_error());
        BOOST_TEST(decoded.error().message.find(field) != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(is_rejected_with_the_name_of_a_malformed_required_field)
{
    auto decoded =
        decode_settings(without_line(valid_settings, "Listen.Front") + "Listen.Front=127.0.0.1\n");
    BOOST_REQUIRE(decoded.has_error());
    BOOST_TEST(decoded.error().message.find("Listen.Front") != std::string::npos);
    BOOST_TEST(
        decode_settings(without_line(valid_settings, "PortRange") + "PortRange=x,y\n").has_error());
}

BOOST_AUTO_TEST_CASE(keeps_the_default_of_a_malformed_optional_field)
{
    auto decoded =
        decode_settings(without_line(valid_settings, "Bounds.Grace") + "Bounds.Grace=soon\n");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value().shutdown_grace == node_settings{}.shutdown_grace));
}

// Guards against a limit that gives up every body because of a wrong value.
BOOST_AUTO_TEST_CASE(holds_the_limits_of_memory_descriptors_and_bodies)
{
    const node_settings defaults;
    auto decoded =
        decode_settings(valid_settings + "Limits.MemoryMb=120\nLimits.MaxFds=3075\n"
                                         "Bounds.BodyTimeout=20s\nBounds.BodyStall=0s\n");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().memory_mb == 120U);
    BOOST_TEST(decode_settings(valid_settings + "Limits.MemoryMb=0\n").value().memory_mb ==
               defaults.memory_mb);
    BOOST_TEST(decoded.value().max_descriptors == 3075U);
    BOOST_TEST((decoded.value().body_limits.timeout == seconds{20}));
    BOOST_TEST((decoded.value().body_limits.stall_timeout == defaults.body_limits.stall_timeout));
}

BOOST_AUTO_TEST_CASE(is_an_error_when_it_is_unreadable_or_does_not_exist)
{
    BOOST_TEST(decode_settings("\x01\x02 no lines").has_error());
    BOOST_TEST((read_node_settings("/nonexistent").error().code == error_code::not_found));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
