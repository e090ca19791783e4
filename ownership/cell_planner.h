#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/planner_view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Plans which instances and servers form cells. A cell has 3 to 5 members of its own zone. In a
/// zone with fewer than 3 instances, instances of other zones join as witnesses.
class cell_planner {
public:
    static constexpr std::size_t min_members = 3;
    static constexpr std::size_t max_members = 5;

    explicit cell_planner(const planner_settings& options) : options_{options} {}

    auto plan(const planner_view& view, planner_actions& out) -> void;

private:
    /// Instances and servers of one zone.
    struct zone_view {
        zone_id id;
        /// Live instances that are not out of service, sorted by id.
        std::vector<const instance_info*> instances;
        std::vector<cell_id> cells;
        /// Configured servers that belong to no cell, of all services.
        std::vector<server_id> new_servers;
        std::size_t servers{0};
    };
    /// Members of a cell by their state.
    struct member_view {
        std::vector<cell_member> home;
        std::vector<cell_member> witnesses;
        /// Members that should be replaced.
        std::vector<cell_member> to_remove;
        /// Number of members that are missing, but not for long enough to be replaced.
        std::size_t missing{0};
        /// A member that runs with another boot id than the membership lists.
        std::optional<cell_member> restarted;
    };

    auto collect_zones(const planner_view& view) const -> std::vector<zone_view>;
    auto add_servers(const planner_view& view, std::vector<zone_view>& zones) const -> void;
    auto collect_usable(const planner_view& view) -> void;
    /// Whether the zone's instances have not changed for `stable_time`.
    auto is_stable(const zone_view& zone, time_point now) -> bool;
    auto plan_zone(const planner_view& view, const zone_view& zone, planner_actions& out) -> void;
    auto create_cells(const planner_view& view, const zone_view& zone, std::size_t count,
                      planner_actions& out) -> void;
    auto change_cell(const planner_view& view, const zone_view& zone, cell_id id,
                     const std::vector<server_id>& added, planner_actions& out) -> void;
    /// Members after the next change of a single member; none when no change is needed.
    auto next_members(const planner_view& view, const zone_view& zone, const cell_state& cell)
        -> std::optional<std::vector<cell_member>>;
    auto classify(const planner_view& view, const cell_state& cell) -> member_view;
    auto is_lost(const planner_view& view, const cell_member& member) -> bool;
    /// Whether a member has reported the newest membership as active.
    static auto is_reported(const planner_view& view, cell_id id, const cell_state& cell) -> bool;
    /// Whether the newest membership is reported as active, or has to be assumed active because no
    /// majority of the previous one is left to report.
    auto is_active(const planner_view& view, cell_id id, const cell_state& cell) -> bool;
    auto free_instance(const zone_view& zone) const -> std::optional<cell_member>;
    auto witness_for(const planner_view& view, const zone_id& zone,
                     const std::vector<cell_member>& members) const -> std::optional<cell_member>;
    auto find_usable(const instance_id& id) const -> const instance_info*;

    planner_settings options_;
    std::map<instance_id, const instance_info*> usable_;
    /// Number of cells that an instance is a member of, including changes in this plan.
    std::map<instance_id, std::size_t> memberships_;
    /// Instances that are members of a cell of their own zone.
    std::set<instance_id> home_members_;
    std::map<instance_id, time_point> missing_since_;
    /// Text of each zone's instances, and the time since which it is unchanged.
    std::map<zone_id, std::pair<std::string, time_point>> stable_since_;
    /// Newest membership epoch of each cell, and when this planner first saw it.
    std::map<cell_id, std::pair<std::uint64_t, time_point>> newest_epochs_;
    std::uint32_t next_cell_{1};
};

} // namespace cornelswitch
