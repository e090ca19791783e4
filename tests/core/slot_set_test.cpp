#include "core/slot_set.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

BOOST_AUTO_TEST_SUITE(a_slot_set)

BOOST_AUTO_TEST_SUITE(when_slots_are_added_one_by_one)

// Guards against overlapping or unmerged ranges, which would make a grant list a slot twice.
BOOST_AUTO_TEST_CASE(joins_neighbours_into_one_range)
{
    slot_set slots;
    for (auto n : {5U, 3U, 4U, 9U, 4U}) {
        slots.insert(slot_index{n});
    }
    BOOST_TEST(slots.to_text() == "3-5,9");
    BOOST_TEST(slots.size() == 4U);
    slots.erase(slot_index{4});
    BOOST_TEST(slots.to_text() == "3,5,9");
    BOOST_TEST(!slots.contains(slot_index{4}));
    BOOST_TEST(slots.contains(slot_index{9}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_it_is_read_from_text)

// Guards against a malformed grant message that is accepted as a different set of slots.
BOOST_AUTO_TEST_CASE(accepts_only_sorted_ranges)
{
    BOOST_TEST(slot_set::parse("0-99,105").value().size() == 101U);
    BOOST_TEST(slot_set::parse("").value().empty());
    for (const auto* text : {"5-3", "1,1", "a", "1-", ",", "1,", "4294967296", "-1", "2,1"}) {
        BOOST_TEST(slot_set::parse(text).has_error(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
