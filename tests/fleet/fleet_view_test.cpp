#include "core/manual_clock.h"
#include "fleet/fleet_view.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace cornelswitch {
namespace {

using std::chrono::seconds;

auto make_candidate(const std::string& id, const std::string& zone, double cpu_share) -> candidate
{
    return {instance_id{id}, zone_id{zone}, {"127.0.0.1", 7200}, cpu_share};
}

struct fleet_view_fixture {
    explicit fleet_view_fixture(double cpu_share = 0.5)
        : view{make_candidate("z1-0", "z1", cpu_share), time.now()}
    {
    }

    /// Adds three large candidates in each of two zones.
    auto add_large() -> void
    {
        for (const auto* zone : {"z1", "z2"}) {
            for (int n = 0; n < 3; ++n) {
                view.add(make_candidate(std::string{zone} + "-" + std::to_string(n), zone, 0.5));
            }
        }
    }

    manual_clock time;
    fleet_view view;
};

BOOST_AUTO_TEST_SUITE(a_view_of_the_fleet)

BOOST_AUTO_TEST_SUITE(of_machines_of_different_sizes)

BOOST_AUTO_TEST_CASE(assigns_no_roles_to_small_candidates_while_a_large_one_is_reachable)
{
    fleet_view_fixture fixture;
    fixture.add_large();
    fixture.view.add(make_candidate("small", "z1", 0.1));
    BOOST_TEST(fixture.view.members().size() == 6U);
    BOOST_TEST(std::ranges::none_of(
        fixture.view.members(), [](const auto* member) { return member->id.value() == "small"; }));
}

// All large machines may fail at once.
BOOST_AUTO_TEST_CASE(assigns_roles_to_small_candidates_when_no_large_one_is_reachable)
{
    fleet_view_fixture fixture{0.1};
    fixture.add_large();
    fixture.view.add(make_candidate("z1-0", "z1", 0.1));
    fixture.view.add(make_candidate("small", "z2", 0.1));
    fixture.view.set_reachable(instance_id{"z2-1"}, true, fixture.time.now());
    BOOST_TEST(!fixture.view.is_member());
    fixture.view.set_reachable(instance_id{"z2-1"}, false, fixture.time.now());
    BOOST_TEST(fixture.view.is_member());
    BOOST_TEST(fixture.view.members().size() == 7U);
}

BOOST_AUTO_TEST_CASE(tells_a_large_instance_to_announce_itself)
{
    fleet_view_fixture fixture;
    BOOST_TEST(fixture.view.should_announce(fixture.time.now(), seconds{4}));
    fixture.view.add(fixture.view.self());
    BOOST_TEST(!fixture.view.should_announce(fixture.time.now(), seconds{4}));
}

BOOST_AUTO_TEST_CASE(
    tells_a_small_instance_to_announce_itself_only_after_no_member_was_reachable_for_long)
{
    fleet_view_fixture fixture{0.1};
    fixture.view.add(make_candidate("z2-1", "z2", 0.5));
    BOOST_TEST(!fixture.view.should_announce(fixture.time.now(), seconds{4}));
    fixture.time.advance(seconds{5});
    BOOST_TEST(fixture.view.should_announce(fixture.time.now(), seconds{4}));
    fixture.view.set_reachable(instance_id{"z2-1"}, true, fixture.time.now());
    BOOST_TEST(!fixture.view.should_announce(fixture.time.now(), seconds{4}));
    fixture.time.advance(seconds{60});
    fixture.view.set_reachable(instance_id{"z2-1"}, false, fixture.time.now());
    BOOST_TEST(!fixture.view.should_announce(fixture.time.now(), seconds{4}));
    fixture.time.advance(seconds{5});
    BOOST_TEST(fixture.view.should_announce(fixture.time.now(), seconds{4}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_ranks_members)

BOOST_AUTO_TEST_CASE(computes_the_same_order_on_each_instance)
{
    fleet_view_fixture fixture;
    fixture.add_large();
    fleet_view other{make_candidate("z2-2", "z2", 0.5), fixture.time.now()};
    auto members = fixture.view.members();
    std::ranges::reverse(members);
    for (const auto* member : members) {
        other.add(*member);
    }
    BOOST_TEST((fixture.view.ranking("reader") == other.ranking("reader")));
    BOOST_TEST(
        (fixture.view.zone_ranking(zone_id{"z2"}, 1) == other.zone_ranking(zone_id{"z2"}, 1)));
}

BOOST_AUTO_TEST_CASE(starts_with_the_members_of_the_zone_and_rotates_them)
{
    fleet_view_fixture fixture;
    fixture.add_large();
    std::map<instance_id, int> first_counts;
    for (std::size_t rotation = 0; rotation < 3; ++rotation) {
        auto order = fixture.view.zone_ranking(zone_id{"z2"}, rotation);
        BOOST_TEST(order.size() == 6U);
        for (std::size_t index = 0; index < 3; ++index) {
            BOOST_TEST(order[index].value().starts_with("z2"));
        }
        ++first_counts[order.front()];
    }
    BOOST_TEST(first_counts.size() == 3U);
}

// When a machine fails, only its own roles may move to other instances.
BOOST_AUTO_TEST_CASE(keeps_the_order_of_the_other_members_when_one_is_removed)
{
    fleet_view_fixture fixture;
    fixture.add_large();
    auto before = fixture.view.ranking("reader");
    auto removed = before[2];
    fixture.view.remove(removed);
    std::erase(before, removed);
    BOOST_TEST((fixture.view.ranking("reader") == before));
}

BOOST_AUTO_TEST_CASE(ranks_members_of_other_zones_for_a_zone_without_members)
{
    fleet_view_fixture fixture;
    fixture.add_large();
    BOOST_TEST(fixture.view.zone_ranking(zone_id{"z3"}, 0).size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(decodes_an_encoded_candidate_and_rejects_malformed_records)
{
    auto original = make_candidate("n", "z1", 0.5);
    BOOST_TEST((decode_candidate("n", encode_candidate(original)).value() == original));
    for (const auto* text : {"", "[]", "{}", R"({"zone":1})", "\xff"}) {
        BOOST_TEST(decode_candidate("n", text).has_error());
    }
    BOOST_TEST(decode_candidate("", encode_candidate(original)).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
