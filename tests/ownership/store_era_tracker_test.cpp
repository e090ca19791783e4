#include "ownership/store_era_tracker.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {
namespace {

struct tracker_fixture {
    auto see(std::uint64_t era) -> era_class
    {
        return tracker.on_response(std::optional{store_era{era}}, "store:1", now);
    }
    auto see_none() -> era_class
    {
        return tracker.on_response(std::optional<store_era>{}, "store:1", now);
    }

    store_era_tracker tracker;
    time_point now{std::chrono::seconds{5}};
};

BOOST_FIXTURE_TEST_SUITE(the_eras_of_a_store, tracker_fixture)

// Guards against any effect on a store that sends no header.
BOOST_AUTO_TEST_CASE(do_not_exist_without_the_header)
{
    BOOST_TEST((see_none() == era_class::current));
    BOOST_TEST((see_none() == era_class::current));
    BOOST_TEST(tracker.era().value() == 0U);
    BOOST_TEST(tracker.stale_responses() == 0U);
}

// Guards against a restore that is processed twice or not at all.
BOOST_AUTO_TEST_CASE(are_new_once)
{
    BOOST_TEST((see(1) == era_class::new_era));
    BOOST_TEST((see(1) == era_class::current));
    now += std::chrono::seconds{1};
    BOOST_TEST((see(2) == era_class::new_era));
    BOOST_TEST((tracker.seen_at() == now));
    BOOST_TEST(tracker.seen_from() == "store:1");
    BOOST_TEST((see(2) == era_class::current));
    // Two restores of which the first was not seen.
    BOOST_TEST((see(4) == era_class::new_era));
    BOOST_TEST((see(4) == era_class::current));
}

// Guards against the use of a late response from before a restore, and of one whose era is unknown.
BOOST_AUTO_TEST_CASE(make_earlier_and_malformed_responses_stale)
{
    see(3);
    BOOST_TEST((see(2) == era_class::stale));
    BOOST_TEST((see_none() == era_class::stale));
    error malformed{error_code::invalid_message, "store-era", {}, ""};
    BOOST_TEST((tracker.on_response(malformed, "store:1", now) == era_class::stale));
    BOOST_TEST(tracker.stale_responses() == 3U);
    BOOST_TEST(tracker.era().value() == 3U);
    BOOST_TEST((see(3) == era_class::current));
}

// Guards against older news of a peer that replaces newer.
BOOST_AUTO_TEST_CASE(are_learned_from_peers)
{
    see(3);
    BOOST_TEST(!tracker.on_peer_era(store_era{2}, "i2", now));
    BOOST_TEST(!tracker.on_peer_era(store_era{3}, "i2", now));
    BOOST_TEST(tracker.on_peer_era(store_era{4}, "i2", now));
    BOOST_TEST(tracker.seen_from() == "i2");
    BOOST_TEST((see(3) == era_class::stale));
    BOOST_TEST((see(4) == era_class::current));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
