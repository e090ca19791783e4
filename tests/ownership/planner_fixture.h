#pragma once

#include "ownership/planner.h"
#include "tests/ownership/log_builder.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch::test {

/// Configuration with `servers` servers of one keyed service in each zone.
inline auto make_configuration(const std::vector<std::string>& zones, int servers,
                               std::uint32_t hash_slots) -> configuration
{
    configuration out;
    profile policy;
    policy.name = profile_id{"default"};
    out.profiles.push_back(policy);
    service_config service;
    service.name = service_id{"look"};
    service.profile = policy.name;
    service.hash_slots = hash_slots;
    for (const auto& zone : zones) {
        out.zones.emplace_back(zone);
        for (int n = 0; n < servers; ++n) {
            server_config it;
            it.id = server_id{zone + "-s" + std::to_string(n)};
            it.zone = zone_id{zone};
            service.servers.push_back(it);
        }
    }
    out.services.push_back(service);
    return out;
}

/// Simulated deployment: a log, an instance list, and cells that carry out the requests of
/// planners. One step advances the time by 500 ms.
class planner_fixture {
public:
    planner_fixture(configuration configured, int instances_per_zone)
        : config{std::move(configured)}
    {
        for (const auto& zone : config.zones) {
            for (int n = 0; n < instances_per_zone; ++n) {
                add_instance(zone.value() + "-i" + std::to_string(n), zone.value());
            }
        }
        planners.emplace_back(leader());
    }

    auto add_instance(const std::string& name, const std::string& zone) -> void
    {
        instances.push_back({instance_id{name}, boot_id{++boots_}, zone_id{zone}});
    }

    auto remove_instance(const std::string& name) -> void
    {
        std::erase_if(instances, [&](const auto& it) { return it.id.value() == name; });
    }

    auto leader() const -> instance_id
    {
        auto view = make_view();
        for (const auto& it : instances) {
            if (planner{it.id}.is_leader(view)) {
                return it.id;
            }
        }
        return {};
    }

    auto make_view() const -> planner_view
    {
        return {config, config_version{7}, instances, log.state, active, now};
    }

    auto step() -> void
    {
        now += std::chrono::milliseconds{500};
        for (const auto& [id, cell] : log.state.cells()) {
            if (!unresponsive_zones.contains(cell.zone)) {
                active[id] = cell.current.epoch;
            }
        }
        if (planners.size() == 1 && !planners[0].is_leader(make_view())) {
            planners[0] = planner{leader()};
        }
        std::vector<planner_actions> plans;
        for (auto& it : planners) {
            plans.push_back(it.plan(make_view()));
        }
        for (std::size_t n = 0; n < plans.size(); ++n) {
            for (const auto& action : plans[n]) {
                perform(action, planners[n]);
            }
        }
    }

    /// Steps until planners have returned no action for 70 steps. Returns false when that does not
    /// happen within `max_steps` steps.
    auto run_until_idle(int max_steps = 5000) -> bool
    {
        constexpr int quiet_steps = 70;
        for (int n = 0, quiet = 0; n < max_steps; ++n) {
            auto before = actions;
            step();
            quiet = actions == before ? quiet + 1 : 0;
            if (quiet == quiet_steps) {
                return true;
            }
        }
        return false;
    }

    auto table() const -> const slot_table& { return *log.state.find_table(log.service); }

    auto unreleased(const server_id& id) const -> std::uint32_t
    {
        return log.state.unreleased_slots(id);
    }

    auto unreleased_in_zone(const std::string& zone) const -> std::uint32_t
    {
        std::uint32_t n = 0;
        for (const auto& it : config.services[0].servers) {
            n += it.zone.value() == zone ? unreleased(it.id) : 0;
        }
        return n;
    }

    auto unreleased_in_all_zones() const -> std::uint32_t
    {
        std::uint32_t n = 0;
        for (const auto& it : config.zones) {
            n += unreleased_in_zone(it.value());
        }
        return n;
    }

    /// Difference between the largest and the smallest number of slots of the servers that are not
    /// taken out.
    auto spread() const -> std::uint32_t
    {
        std::vector<std::uint32_t> counts;
        for (const auto& it : config.services[0].servers) {
            if (!config.out_of_service.zones.contains(it.zone) &&
                !config.out_of_service.servers.contains(it.id)) {
                counts.push_back(unreleased(it.id));
            }
        }
        auto [low, high] = std::minmax_element(counts.begin(), counts.end());
        return *high - *low;
    }

    configuration config;
    std::vector<instance_info> instances;
    std::map<cell_id, std::uint64_t> active;
    log_builder log;
    std::vector<planner> planners;
    time_point now{std::chrono::seconds{1}};
    /// Zones whose cells do not respond.
    std::set<zone_id> unresponsive_zones;
    single_owner_check check;
    /// Whether `check` runs. It copies all slots for each record, which is too slow for benchmarks.
    bool is_check_enabled{true};
    std::string violation;
    int actions{0};
    int dropped{0};
    /// Number of accepted slot assignments, including the first one of each slot.
    std::uint32_t assigned{0};
    std::size_t max_requested_slots{0};

private:
    auto perform(const planner_action& action, planner& from) -> void
    {
        ++actions;
        if (const auto* proposal = std::get_if<propose_record>(&action)) {
            append(proposal->body);
            from.on_settled();
            return;
        }
        const auto& requested = std::get<request_release>(action);
        max_requested_slots = std::max(max_requested_slots, requested.slots.size());
        if (unresponsive_zones.contains(log.state.find_cell(requested.cell)->zone)) {
            return;
        }
        for (const auto& range : requested.slots.ranges()) {
            for (auto n = range.first; n <= range.last; ++n) {
                auto slot = log.state.slot(requested.service, slot_index{n});
                append(release_record{requested.cell,
                                      {{requested.service, slots(std::to_string(n)), slot.epoch}}});
            }
        }
    }

    auto append(const record_body& body) -> void
    {
        auto result = log.add(body);
        dropped += result.status == apply_status::accepted ? 0 : 1;
        if (std::holds_alternative<assignment_record>(body)) {
            assigned += result.accepted_items;
        }
        if (is_check_enabled) {
            auto found = check.observe(log.state);
            violation = violation.empty() ? found : violation;
        }
    }

    std::uint64_t boots_{0};
};

} // namespace cornelswitch::test
