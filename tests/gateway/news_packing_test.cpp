#include "gateway/news_packing.h"

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

auto news_of(const std::string& value) -> topic_news
{
    topic_news out;
    out.topic = shared_topic::operators;
    out.records = {{"config", value}, {"evacuate/z1", "{}"}};
    return out;
}

/// The message as a receiver gets it.
auto transfer(const topic_news& news, std::size_t& size) -> topic_news
{
    std::string bytes;
    encode_peer_message(bytes, news);
    size = bytes.size();
    return std::get<topic_news>(decode_peer_messages(bytes).value().at(0));
}

BOOST_AUTO_TEST_SUITE(packed_news)

// The pattern is a storm of changes to a configuration with many routes: each instance gets each
// version, over links of 10 Mbit/s that carry responses too.
BOOST_AUTO_TEST_CASE(of_a_large_configuration_cost_what_has_changed)
{
    auto before = large_configuration(1);
    auto after = large_configuration(2);
    auto news = news_of(after);
    pack_news(news, lookup_in(before));
    std::size_t size = 0;
    auto got = transfer(news, size);
    BOOST_TEST(before.size() > 50'000U);
    BOOST_TEST(size < 1000U);

    BOOST_TEST_CONTEXT("a receiver with the version before reads them")
    {
        BOOST_REQUIRE(unpack_news(got, lookup_in(before)).has_value());
        BOOST_TEST((got.records == news.records));
    }
    BOOST_TEST_CONTEXT("a receiver with another version does not")
    {
        auto other = large_configuration(9);
        auto again = transfer(news, size);
        auto read = unpack_news(again, lookup_in(other));
        BOOST_REQUIRE(read.has_error());
        BOOST_TEST((read.error().code == error_code::not_found));
    }
}

BOOST_AUTO_TEST_CASE(are_read_without_an_earlier_version_when_they_were_packed_so)
{
    auto news = news_of(large_configuration(2));
    pack_news(news, {});
    std::size_t size = 0;
    auto got = transfer(news, size);
    BOOST_TEST(size < large_configuration(2).size() / 3);
    BOOST_REQUIRE(unpack_news(got, {}).has_value());
    BOOST_TEST((got.records == news.records));
}

BOOST_AUTO_TEST_CASE(are_left_as_they_are_when_they_are_small)
{
    auto news = news_of("{}");
    pack_news(news, {});
    BOOST_TEST(news.packed.bytes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
