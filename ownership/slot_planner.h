#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/cell_takeover_planner.h"
#include "ownership/key_changes.h"
#include "ownership/planner_view.h"
#include "ownership/slot_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Plans which server owns which slot. Slots without an owner are assigned at once. An owned slot
/// moves only if its owner must give it up, or if the move improves the balance by more than the
/// profile's `move_price_percent`. The number of moves in progress is limited by
/// `concurrent_moves`. In a move, the cell of the owner releases the slot first; the slot is
/// assigned once the release is in the log.
class slot_planner {
public:
    explicit slot_planner(const planner_settings& options) : options_{options} {}

    auto plan(const planner_view& view, const cell_takeover_planner& takeover_planner,
              planner_actions& out) -> void;
    auto keys() -> key_changes& { return keys_; }

private:
    /// A server of the service being planned.
    struct candidate {
        server_id id;
        std::optional<cell_id> cell;
        double weight{1};
        /// Whether slots may be assigned to the server.
        bool eligible{false};
        /// Whether the cell of the server answers, so that its slots can be released.
        bool reachable{false};
        std::vector<std::uint32_t> slots;
        /// Number of slots of the server after all moves in progress.
        std::uint32_t expected_slots{0};

        auto load(int change = 0) const -> double
        {
            return (static_cast<double>(expected_slots) + change) / weight;
        }
    };
    struct service_plan {
        const service_id& service;
        const slot_table& table;
        const profile& policy;
        std::vector<candidate> servers;
        /// Slots that were never assigned or have been released.
        std::vector<std::uint32_t> unowned;
        std::size_t moving{0};
        double total_weight{0};
        std::uint32_t total_slots{0};
    };
    struct move {
        std::uint64_t major{0};
        server_id from;
        time_point started;
        time_point requested_at;
    };
    using move_key = std::pair<service_id, std::uint32_t>;

    auto plan_service(const planner_view& view, const cell_takeover_planner& takeover_planner,
                      const service_config& service, planner_actions& out) -> void;
    auto collect(const planner_view& view, const cell_takeover_planner& takeover_planner,
                 const service_config& service, service_plan& plan) const -> void;
    auto add_candidates(const planner_view& view, const cell_takeover_planner& takeover_planner,
                        const service_config& service, service_plan& plan) const -> void;
    auto remove_finished(const planner_view& view) -> void;
    auto exclude_moving_slots(service_plan& plan) -> void;
    /// Whether a zone with live instances has servers of the service that are not yet in a cell.
    auto is_waiting_for_cells(const planner_view& view, const service_config& service) const
        -> bool;
    auto assign_unowned(const planner_view& view, const service_config& service, service_plan& plan,
                        planner_actions& out) const -> void;
    /// Entries that assign each server its quota of the unowned slots.
    static auto assign_quota(const service_plan& plan, std::vector<std::size_t> quota)
        -> std::vector<assignment_entry>;
    auto start_key_changes(const planner_view& view, service_plan& plan) -> void;
    auto start_required_moves(const planner_view& view, service_plan& plan) -> void;
    auto start_balancing_moves(const planner_view& view, service_plan& plan) -> void;
    auto start_move(const planner_view& view, service_plan& plan, candidate& from) -> bool;
    auto request_releases(const planner_view& view, planner_actions& out) -> void;
    auto plan_removals(const planner_view& view, const cell_takeover_planner& takeover_planner,
                       planner_actions& out) -> void;
    /// Requests the release of slots of a removed service. Returns true when none is unreleased.
    auto release_service_slots(const planner_view& view,
                               const cell_takeover_planner& takeover_planner,
                               const service_id& service) -> bool;

    planner_settings options_;
    /// Slots whose release is required and not yet in the log.
    std::map<move_key, move> moves_;
    key_changes keys_;
    /// Servers whose releases timed out, and the time until which no further release is requested.
    std::map<server_id, time_point> release_backoff_until_;
};

} // namespace cornelswitch
