#include "ownership/planner.h"

#include "tests/ownership/planner_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

// Creates a deployment whose slots are all assigned.
auto settled_world(int zones, int servers, std::uint32_t slots, int instances) -> planner_fixture
{
    auto names = std::vector<std::string>{"a", "b", "c", "d"};
    names.resize(static_cast<std::size_t>(zones));
    planner_fixture world{make_configuration(names, servers, slots), instances};
    BOOST_TEST_REQUIRE(world.run_until_idle());
    BOOST_TEST_REQUIRE(world.unreleased_in_all_zones() == slots);
    world.assigned = 0;
    return world;
}

// Isolates zone c: its instances keep running, but reach neither the log nor the instance list.
auto isolate_zone_c(planner_fixture& world) -> void
{
    world.unresponsive_zones.insert(zone_id{"c"});
    for (const auto* it : {"c-i0", "c-i1", "c-i2"}) {
        world.remove_instance(it);
    }
}

auto count_members_elsewhere(const planner_fixture& world, const cell_state& cell) -> long
{
    return std::count_if(
        cell.current.members.begin(), cell.current.members.end(), [&](const auto& member) {
            return std::any_of(world.instances.begin(), world.instances.end(), [&](const auto& it) {
                return it.id == member.instance && it.zone != cell.zone;
            });
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_planner)

BOOST_AUTO_TEST_SUITE(when_the_log_is_empty)

// Guards against a deployment that never starts to serve, or never stops moving slots.
BOOST_AUTO_TEST_CASE(creates_cells_and_assigns_every_slot_once)
{
    planner_fixture world{make_configuration({"a", "b", "c"}, 4, 1000), 3};
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased_in_all_zones() == 1000U);
    BOOST_TEST(world.assigned == 1000U);
    BOOST_TEST(world.spread() <= 1U);
    BOOST_TEST(world.dropped == 0);
    BOOST_TEST(world.log.state.cells().size() == 3U);
    for (const auto& [id, cell] : world.log.state.cells()) {
        BOOST_TEST(cell.current.members.size() == 3U);
        BOOST_TEST(cell.servers.size() == 4U);
    }
}

// Guards against assigning all slots to the zones that start first and then moving them to the
// other zones, which moves most keys (90 of 150) although nothing has failed.
BOOST_AUTO_TEST_CASE(waits_for_the_cells_of_zones_that_start_later)
{
    planner_fixture world{make_configuration({"a", "b"}, 4, 1000), 3};
    auto late_instances = world.instances;
    std::erase_if(late_instances, [](const auto& it) { return it.zone.value() != "b"; });
    for (const auto& it : late_instances) {
        world.remove_instance(it.id.value());
    }
    for (int n = 0; n < 5; ++n) {
        world.step();
    }
    for (const auto& it : late_instances) {
        world.instances.push_back(it);
    }
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased_in_zone("b") == 500U);
    BOOST_TEST(world.assigned == 1000U);
}

// Guards against cells that are too large for a round of quorum messages, and cells with too few
// members.
BOOST_AUTO_TEST_CASE(divides_a_large_zone_into_cells)
{
    planner_fixture world{make_configuration({"a"}, 40, 4096), 23};
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.log.state.cells().size() == 5U);
    std::size_t members = 0;
    for (const auto& [id, cell] : world.log.state.cells()) {
        members += cell.current.members.size();
        BOOST_TEST(cell.servers.size() == 8U);
    }
    BOOST_TEST(members == 23U);
}

// Guards against a small zone that cannot lose an instance.
BOOST_AUTO_TEST_CASE(adds_witnesses_to_small_zones)
{
    planner_fixture world{make_configuration({"a", "b"}, 2, 64), 2};
    world.add_instance("b-i9", "b");
    BOOST_TEST(world.run_until_idle());
    for (const auto& [id, cell] : world.log.state.cells()) {
        BOOST_TEST(cell.current.members.size() == 3U);
        BOOST_TEST(count_members_elsewhere(world, cell) == (cell.zone == zone_id{"a"} ? 1 : 0));
    }
    world.add_instance("a-i9", "a");
    BOOST_TEST(world.run_until_idle());
    for (const auto& [id, cell] : world.log.state.cells()) {
        BOOST_TEST(count_members_elsewhere(world, cell) == 0);
    }
}

// Guards against a server that gets slots beyond its concurrency.
BOOST_AUTO_TEST_CASE(weights_servers_by_concurrency)
{
    auto config = make_configuration({"a"}, 3, 800);
    config.services[0].servers[0].concurrency = 6;
    planner_fixture world{config, 3};
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased(server_id{"a-s0"}) == 600U);
    BOOST_TEST(world.unreleased(server_id{"a-s1"}) == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_zone_is_taken_out_and_returns)

// Guards against slots that stay in a zone that is taken out (R7 in docs/design.md) and against
// unnecessary moves: every slot leaves the zone once, and only as many return as the balance
// requires.
BOOST_AUTO_TEST_CASE(moves_the_minimum_number_of_slots)
{
    auto world = settled_world(4, 5, 1024, 3);
    auto leaving = world.unreleased_in_zone("b");
    world.config.out_of_service.zones.insert(zone_id{"b"});
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased_in_zone("b") == 0U);
    BOOST_TEST(world.unreleased_in_all_zones() == 1024U);
    BOOST_TEST(world.assigned == leaving);
    BOOST_TEST(world.max_requested_slots <= world.config.profiles[0].concurrent_moves);

    world.assigned = 0;
    world.config.out_of_service.zones.clear();
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased_in_all_zones() == 1024U);
    // At most the zone's fair share returns; the move price keeps some of the slots where they are.
    BOOST_TEST(world.assigned <= 256U);
    BOOST_TEST(world.assigned >= 256U * 85 / 100);
    auto mean = 1024U / 20;
    BOOST_TEST(world.spread() <= mean * world.config.profiles[0].move_price_percent / 100 + 2);
    BOOST_TEST(world.dropped == 0);
    BOOST_TEST(world.violation == "");
}

// Guards against a planner that makes no other moves while it waits for the releases of an
// unresponsive cell.
BOOST_AUTO_TEST_CASE(continues_when_one_cell_does_not_release)
{
    auto world = settled_world(4, 2, 256, 3);
    world.config.out_of_service.zones = {zone_id{"a"}, zone_id{"b"}};
    world.unresponsive_zones.insert(zone_id{"a"});
    for (int n = 0; n < 600; ++n) {
        world.step();
    }
    BOOST_TEST(world.unreleased_in_zone("a") == 64U);
    BOOST_TEST(world.unreleased_in_zone("b") == 0U);
    world.unresponsive_zones.clear();
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased_in_zone("a") == 0U);
    BOOST_TEST(world.violation == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_instances_change)

// Guards against a cell that loses its majority while members are replaced.
BOOST_AUTO_TEST_CASE(replaces_members_one_at_a_time)
{
    auto world = settled_world(1, 3, 64, 5);
    world.remove_instance("a-i1");
    world.add_instance("a-i7", "a");
    auto first = world.log.records.size();
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.log.records.size() == first + 2);
    const auto& cell = world.log.state.cells().begin()->second;
    BOOST_TEST(cell.current.members.size() == 5U);
    BOOST_TEST(cell.current.contains(instance_id{"a-i7"}));
    BOOST_TEST(!cell.current.contains(instance_id{"a-i1"}));
    BOOST_TEST(cell.previous.members.size() == 6U);
    BOOST_TEST(world.assigned == 0U);
}

// Guards against a restarted member whose cell rejects its new boot id.
BOOST_AUTO_TEST_CASE(records_the_boot_id_of_a_restarted_member)
{
    auto world = settled_world(1, 3, 64, 3);
    world.instances[1].boot = boot_id{77};
    BOOST_TEST(world.run_until_idle());
    const auto& cell = world.log.state.cells().begin()->second;
    auto named = [](const auto& it) { return it.boot == boot_id{77}; };
    BOOST_TEST(std::count_if(cell.current.members.begin(), cell.current.members.end(), named) == 1);
}

// Guards against membership changes that overlap.
BOOST_AUTO_TEST_CASE(waits_until_the_last_change_is_active)
{
    auto world = settled_world(1, 3, 64, 5);
    world.instances[1].boot = boot_id{77};
    BOOST_TEST(world.run_until_idle());
    world.remove_instance("a-i2");
    world.add_instance("a-i7", "a");
    auto view = world.make_view();
    const auto& cell = world.log.state.cells().begin()->second;
    std::map<cell_id, std::uint64_t> stale{{cell_id{1}, cell.current.epoch - 1}};
    planner_view waiting{view.config, view.version, view.instances, view.state, stale, view.now};
    auto leader = planner{world.leader()};
    for (int n = 0; n < 200; ++n) {
        waiting.now += std::chrono::milliseconds{500};
        BOOST_TEST(leader.plan(waiting).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_servers_change)

// Guards against slots that stay on a server that drains or is no longer configured.
BOOST_AUTO_TEST_CASE(moves_all_slots_off_leaving_servers)
{
    auto world = settled_world(2, 4, 400, 3);
    world.config.out_of_service.servers.insert(server_id{"a-s0"});
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased(server_id{"a-s0"}) == 0U);
    BOOST_TEST(world.assigned == 50U);
    auto& servers = world.config.services[0].servers;
    std::erase_if(servers, [](const auto& it) { return it.id.value() == "b-s1"; });
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(!world.log.state.cell_of(server_id{"b-s1"}).has_value());
    BOOST_TEST(world.unreleased_in_all_zones() == 400U);
    BOOST_TEST(world.violation == "");
}

// Guards against slots that are assigned to a server that does not answer: when a server is killed,
// the cell releases its slots, and the planner could assign them to it again, in an endless loop.
BOOST_AUTO_TEST_CASE(assigns_no_slots_to_a_lost_server)
{
    auto world = settled_world(1, 4, 400, 3);
    auto lost = server_id{"a-s0"};
    auto cell = *world.log.state.cell_of(lost);
    world.log.add(server_state_record{cell, lost, true});
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased(lost) == 0U);
    BOOST_TEST(world.unreleased_in_all_zones() == 400U);
    world.log.add(server_state_record{cell, lost, false});
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased(lost) >= 90U);
    BOOST_TEST(world.violation == "");
}

// Guards against a new server that gets no slots, or more than its share.
BOOST_AUTO_TEST_CASE(assigns_new_servers_their_share)
{
    auto world = settled_world(1, 4, 500, 3);
    auto added = world.config.services[0].servers[0];
    added.id = server_id{"a-new"};
    world.config.services[0].servers.push_back(added);
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased(added.id) <= 100U);
    BOOST_TEST(world.unreleased(added.id) >= 90U);
    BOOST_TEST(world.assigned == world.unreleased(added.id));
}

// Guards against state of removed services that is never deleted.
BOOST_AUTO_TEST_CASE(removes_state_of_removed_services)
{
    auto world = settled_world(1, 2, 100, 3);
    world.config.services.clear();
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.log.state.services().empty());
    BOOST_TEST(world.log.state.cells().begin()->second.servers.empty());
}

// Guards against moves that improve the balance by less than `move_price_percent`.
BOOST_AUTO_TEST_CASE(makes_only_moves_that_gain_more_than_their_price)
{
    for (auto price : {10U, 400U}) {
        auto world = settled_world(1, 4, 400, 3);
        world.config.profiles[0].move_price_percent = price;
        world.config.services[0].servers[0].concurrency = 3;
        BOOST_TEST(world.run_until_idle());
        if (price == 400U) {
            BOOST_TEST(world.assigned == 0U);
        } else {
            // The fair share of the stronger server is 200 of 400 slots.
            BOOST_TEST(world.assigned > 85U);
            BOOST_TEST(world.assigned <= 100U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_key_is_hot)

// Guards against a hot key that cannot be moved alone, and against slots that are never merged
// back.
BOOST_AUTO_TEST_CASE(splits_it_off_and_merges_it_back)
{
    auto world = settled_world(2, 3, 64, 3);
    auto key = key_hash{64 * 77 + 9};
    world.planners[0].change_key(world.log.service, key, key_changes::kind::split, world.now);
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST((world.table().slot_of(key) == slot_index{64}));
    BOOST_TEST(world.unreleased_in_all_zones() == 65U);
    BOOST_TEST(world.assigned == 2U);
    world.planners[0].change_key(world.log.service, key, key_changes::kind::merge, world.now);
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST((world.table().slot_of(key) == slot_index{9}));
    BOOST_TEST(world.unreleased_in_all_zones() == 64U);
    BOOST_TEST(world.dropped == 0);
    BOOST_TEST(world.violation == "");
}

// Guards against requests that block slots indefinitely when a cell does not answer.
BOOST_AUTO_TEST_CASE(gives_up_when_the_cell_does_not_release)
{
    auto world = settled_world(1, 3, 64, 3);
    world.unresponsive_zones.insert(zone_id{"a"});
    world.planners[0].change_key(world.log.service, key_hash{9}, key_changes::kind::split,
                                 world.now);
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.table().overrides().empty());
    BOOST_TEST(world.unreleased_in_all_zones() == 64U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_zone_is_unresponsive)

// Guards against keys that stay unserved although an operator declares their zone as stopped.
BOOST_AUTO_TEST_CASE(takes_over_a_stopped_zone)
{
    auto world = settled_world(3, 2, 300, 3);
    world.unresponsive_zones.insert(zone_id{"c"});
    world.config.out_of_service.stopped_zones.insert(zone_id{"c"});
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased_in_zone("c") == 0U);
    BOOST_TEST(world.unreleased_in_all_zones() == 300U);
    BOOST_TEST(world.assigned == 100U);
}

// Guards against two owners (R1 in docs/design.md) after a wrong declaration by an operator: a cell
// that still runs objects and keeps its slots, and the log is not filled with claims.
BOOST_AUTO_TEST_CASE(does_not_take_over_a_zone_that_objects)
{
    auto world = settled_world(3, 2, 300, 3);
    world.config.out_of_service.stopped_zones.insert(zone_id{"c"});
    auto id = *world.log.state.cell_of(server_id{"c-s0"});
    auto first = world.log.records.size();
    for (int n = 0; n < 400; ++n) {
        world.step();
        const auto* cell = world.log.state.find_cell(id);
        if (cell->claim) {
            world.log.add(objection_record{id, cell->claim->epoch});
        }
    }
    BOOST_TEST(world.unreleased_in_zone("c") == 100U);
    BOOST_TEST(world.log.records.size() <= first + 2 * 20);
}

// Guards against planning from outdated observations, made before another instance was the leader
// or before the process was paused.
BOOST_AUTO_TEST_CASE(discards_observations_made_before_another_instance_planned)
{
    for (auto paused : {false, true}) {
        auto world = settled_world(3, 2, 300, 3);
        world.config.profiles[0].yield_after = std::chrono::seconds{60};
        BOOST_TEST(world.run_until_idle());
        auto all = world.instances;
        isolate_zone_c(world);
        auto id = world.leader();
        planner subject{id};
        for (int n = 0; n < 10; ++n, world.now += std::chrono::seconds{1}) {
            subject.plan(world.make_view());
        }
        world.instances = all;
        world.now += paused ? std::chrono::hours{1} : std::chrono::seconds{4};
        if (!paused) {
            world.config.out_of_service.instances.insert(id);
            subject.plan(world.make_view());
            world.config.out_of_service.instances.clear();
            world.now += std::chrono::seconds{4};
        }
        isolate_zone_c(world);
        for (const auto& it : subject.plan(world.make_view())) {
            const auto* proposal = std::get_if<propose_record>(&it);
            BOOST_TEST(
                (proposal == nullptr || !std::holds_alternative<claim_record>(proposal->body)));
        }
    }
}

// Guards against two owners (R1 in docs/design.md): the slots of an unresponsive zone must not be
// taken over before its yield time has passed, and never if its cell did not learn of a yield time
// before it became unresponsive.
BOOST_AUTO_TEST_CASE(claims_slots_only_after_the_yield_time)
{
    using std::chrono::seconds;
    struct scenario {
        std::optional<duration> before;
        std::optional<duration> after;
        std::optional<duration> taken_after;
    };
    for (const auto& it : {scenario{std::nullopt, std::nullopt, std::nullopt},
                           scenario{std::nullopt, seconds{60}, std::nullopt},
                           scenario{seconds{60}, seconds{60}, seconds{60}},
                           scenario{seconds{60}, seconds{10}, seconds{60}},
                           scenario{seconds{60}, std::nullopt, std::nullopt}}) {
        auto world = settled_world(3, 2, 300, 3);
        world.config.profiles[0].yield_after = it.before;
        BOOST_TEST(world.run_until_idle());
        isolate_zone_c(world);
        world.config.profiles[0].yield_after = it.after;
        auto claimed_at = time_point{};
        auto taken_at = time_point{};
        auto id = *world.log.state.cell_of(server_id{"c-s0"});
        for (int n = 0; n < 400; ++n) {
            world.step();
            auto claimed = world.log.state.find_cell(id)->claim.has_value();
            claimed_at = claimed && claimed_at == time_point{} ? world.now : claimed_at;
            auto taken = world.unreleased_in_zone("c") == 0;
            taken_at = taken && taken_at == time_point{} ? world.now : taken_at;
        }
        BOOST_TEST((taken_at != time_point{}) == it.taken_after.has_value());
        BOOST_TEST((!it.taken_after || taken_at - claimed_at > *it.taken_after));
        BOOST_TEST(world.unreleased_in_all_zones() == 300U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_two_of_them_race)

// Guards against two owners (R1 in docs/design.md) and against plans that never settle when
// instances disagree about which one should plan.
BOOST_AUTO_TEST_CASE(keeps_one_owner_and_converges)
{
    planner_fixture world{make_configuration({"a", "b", "c"}, 3, 512), 3};
    // Planners that have just started with the same view propose the same changes.
    world.planners.assign(3, planner{world.leader()});
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.dropped > 0);
    BOOST_TEST(world.unreleased_in_all_zones() == 512U);
    BOOST_TEST(world.assigned == 512U);
    world.config.out_of_service.zones.insert(zone_id{"a"});
    BOOST_TEST(world.run_until_idle());
    BOOST_TEST(world.unreleased_in_zone("a") == 0U);
    BOOST_TEST(world.unreleased_in_all_zones() == 512U);
    BOOST_TEST(world.violation == "");
    for (const auto& [id, cell] : world.log.state.cells()) {
        BOOST_TEST(cell.current.members.size() == 3U);
    }
}

// Verifies that the check works: the state rejects the record of a faulty planner that does not
// wait for the release, and the check detects the violation when the release rule is disabled.
BOOST_AUTO_TEST_CASE(cannot_bypass_the_release_rule_of_the_state)
{
    for (auto rule : {true, false}) {
        auto world = settled_world(2, 2, 64, 3);
        log_builder log{{.require_release = rule}};
        for (const auto& it : world.log.records) {
            log.add_bytes(it.data);
        }
        single_owner_check check;
        check.observe(log.state);
        auto epoch = log.state.slot(log.service, slot_index{5}).epoch.major;
        auto to = server_id{log.owner(5) == "a-s0" ? "b-s1" : "a-s0"};
        auto body = assignment_record{{}, {{log.service, slots("5"), to, epoch}}, {}, {}};
        auto faulty = record_header{instance_id{"faulty"}, boot_id{1}, writer_sequence{1}};
        log.add_bytes(encode_record({faulty, body}));
        BOOST_TEST(check.observe(log.state).empty() == rule);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
