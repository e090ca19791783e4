#include "adapters/keyed_digest.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

BOOST_AUTO_TEST_SUITE(a_keyed_digest)

BOOST_AUTO_TEST_CASE(depends_on_the_text_and_on_the_secret)
{
    auto first = keyed_digest::create();
    auto second = keyed_digest::create();
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    const auto& digest = *first.value();
    BOOST_TEST(keyed_digest::equals(digest.of("a key"), digest.of("a key")));
    BOOST_TEST(!keyed_digest::equals(digest.of("a key"), digest.of("a kez")));
    // Guards against digests that callers could compute themselves.
    BOOST_TEST(!keyed_digest::equals(digest.of("a key"), second.value()->of("a key")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
