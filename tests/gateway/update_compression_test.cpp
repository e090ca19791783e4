#include "gateway/update_compression.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

/// A configuration with a thousand routes, of which one has changed in each version.
auto large_configuration(int version) -> std::string
{
    std::string out = "{\"version\":" + std::to_string(version);
    for (int n = 0; n < 1000; ++n) {
        auto number = std::to_string(n * 7919 % 104'729 + (n == 500 ? version : 0));
        out += ",{\"route\":\"r" + number + "\",\"host\":\"h" + number +
               ".example\",\"service\":\"s" + std::to_string(n % 7) + "\",\"timeout\":\"" + number +
               "ms\"}";
    }
    return out + "}";
}

auto lookup_in(const std::string& value) -> base_lookup
{
    return [&value](const std::string& key) { return key == "config" ? &value : nullptr; };
}

auto make_update(const std::string& value) -> topic_update
{
    topic_update out;
    out.topic = shared_topic::operators;
    out.records = {{"config", value}, {"evacuate/z1", "{}"}};
    return out;
}

/// Encodes and decodes the message; sets `size` to its encoded size.
auto encode_and_decode(const topic_update& update, std::size_t& size) -> topic_update
{
    std::string bytes;
    encode_peer_message(bytes, update);
    size = bytes.size();
    return std::get<topic_update>(decode_peer_messages(bytes).value().at(0));
}

BOOST_AUTO_TEST_SUITE(compressed_updates)

// A configuration with many routes may change often. Every instance gets every version over 10
// Mbit/s links that also carry responses.
BOOST_AUTO_TEST_CASE(of_a_large_configuration_are_about_as_large_as_the_change)
{
    auto before = large_configuration(1);
    auto after = large_configuration(2);
    auto update = make_update(after);
    compress_update(update, lookup_in(before));
    std::size_t size = 0;
    auto got = encode_and_decode(update, size);
    BOOST_TEST(before.size() > 50'000U);
    BOOST_TEST(size < 1000U);

    BOOST_TEST_CONTEXT("a receiver with the version before reads them")
    {
        BOOST_REQUIRE(decompress_update(got, lookup_in(before)).has_value());
        BOOST_TEST((got.records == update.records));
    }
    BOOST_TEST_CONTEXT("a receiver with another version does not")
    {
        auto other = large_configuration(9);
        auto again = encode_and_decode(update, size);
        auto read = decompress_update(again, lookup_in(other));
        BOOST_REQUIRE(read.has_error());
        BOOST_TEST((read.error().code == error_code::not_found));
    }
}

BOOST_AUTO_TEST_CASE(need_no_previous_version_when_they_were_compressed_without_one)
{
    auto update = make_update(large_configuration(2));
    compress_update(update, {});
    std::size_t size = 0;
    auto got = encode_and_decode(update, size);
    BOOST_TEST(size < large_configuration(2).size() / 3);
    BOOST_REQUIRE(decompress_update(got, {}).has_value());
    BOOST_TEST((got.records == update.records));
}

BOOST_AUTO_TEST_CASE(stay_uncompressed_when_they_are_small)
{
    auto update = make_update("{}");
    compress_update(update, {});
    BOOST_TEST(update.compressed.bytes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
