#include "adapters/zstd/text_codec.h"
#include "core/random.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

constexpr std::size_t max_text_bytes = 1024 * 1024;

/// About 200 KB of text with few repetitions.
auto large_text() -> std::string
{
    random_engine random{1};
    std::string out;
    for (int n = 0; n < 12'000; ++n) {
        out += std::to_string(random()).substr(0, 16) + "\n";
    }
    return out;
}

BOOST_AUTO_TEST_SUITE(compressed_text)

// Guards against a text that changes between compression and decompression, with and without a
// base.
BOOST_AUTO_TEST_CASE(is_decompressed_with_the_same_base)
{
    for (const std::string& base : {std::string{}, large_text()}) {
        auto text = large_text();
        text.replace(100'000, 5, "other");
        auto bytes = compress_text(text, base).value();
        BOOST_TEST(decompress_text(bytes, base, max_text_bytes).value() == text);
    }
}

// Guards against a match window that is too small for the common parts of a large base.
BOOST_AUTO_TEST_CASE(is_small_when_most_of_it_is_in_the_base)
{
    auto base = large_text();
    auto text = base;
    text.replace(100'000, 5, "other");
    BOOST_TEST(compress_text(text, base).value().size() < 1000U);
}

// Guards against a wrong text when sender and receiver use different bases.
BOOST_AUTO_TEST_CASE(is_an_error_with_another_base)
{
    auto base = large_text();
    auto text = base;
    text.replace(100'000, 5, "other");
    auto bytes = compress_text(text, base).value();
    auto other = base;
    other.replace(50'000, 5, "wrong");
    BOOST_TEST(decompress_text(bytes, other, max_text_bytes).has_error());
    BOOST_TEST(decompress_text(bytes, {}, max_text_bytes).has_error());
}

// Guards against a peer that sends a few bytes that decompress to more than the instance's memory.
BOOST_AUTO_TEST_CASE(is_rejected_above_the_size_limit)
{
    auto bytes = compress_text(std::string(max_text_bytes + 1, 'a'), {}).value();
    BOOST_TEST(bytes.size() < 1000U);
    auto read = decompress_text(bytes, {}, max_text_bytes);
    BOOST_REQUIRE(read.has_error());
    BOOST_TEST((read.error().code == error_code::too_large));
}

// Guards against damaged bytes that decompress to another text.
BOOST_AUTO_TEST_CASE(is_an_error_when_bytes_are_missing_or_changed)
{
    auto text = large_text();
    auto bytes = compress_text(text, {}).value();
    random_engine random{3};
    for (int n = 0; n < 300; ++n) {
        auto broken = bytes;
        if (n % 2 == 0) {
            broken.resize(uniform_below(random, broken.size()));
        } else {
            broken[uniform_below(random, broken.size())] ^= static_cast<char>(1 + n % 255);
        }
        auto read = decompress_text(broken, {}, max_text_bytes);
        BOOST_TEST((read.has_error() || read.value() == text));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
