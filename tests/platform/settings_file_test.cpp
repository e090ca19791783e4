#include "platform/settings_file.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string good = "Node=edge-z1-1\n"
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

auto without(std::string text, const std::string& line_start) -> std::string
{
    auto at = text.find(line_start);
    return text.erase(at, text.find('\n', at) - at + 1);
}

BOOST_AUTO_TEST_SUITE(the_settings_file)

BOOST_AUTO_TEST_CASE(is_read_into_typed_settings)
{
    auto read = decode_settings(good);
    BOOST_REQUIRE(read.has_value());
    const auto& it = read.value();
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

BOOST_AUTO_TEST_CASE(names_a_required_field_that_is_missing)
{
    for (const auto* field :
         {"Node", "Zone", "Ip", "PortRange", "Listen.Front", "Listen.Ready", "Platform.Addr"}) {
        auto read = decode_settings(without(good, std::string{field} + "="));
        BOOST_REQUIRE(read.has_error());
        BOOST_TEST(read.error().message.find(field) != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(names_a_required_field_of_another_type)
{
    auto read = decode_settings(without(good, "Listen.Front") + "Listen.Front=127.0.0.1\n");
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST(read.error().message.find("Listen.Front") != std::string::npos);
    BOOST_TEST(decode_settings(without(good, "PortRange") + "PortRange=x,y\n").has_error());
}

BOOST_AUTO_TEST_CASE(keeps_the_default_of_an_optional_field_that_cannot_be_read)
{
    auto read = decode_settings(without(good, "Bounds.Grace") + "Bounds.Grace=soon\n");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value().shutdown_grace == node_settings{}.shutdown_grace));
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_is_an_error)
{
    BOOST_TEST(decode_settings("\x01\x02 no lines").has_error());
    BOOST_TEST((read_node_settings("/nonexistent").error().code == error_code::not_found));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
