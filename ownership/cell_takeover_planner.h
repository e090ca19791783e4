#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/planner_view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cornelswitch {

/// Detects cells that are not responding and proposes to take over their slots. A cell is claimed
/// first and taken over if it does not object: after `objection_time` when an operator has stated
/// that the zone has stopped, otherwise after the time for which its membership lets it serve
/// without reading the log.
class cell_takeover_planner {
public:
    explicit cell_takeover_planner(const planner_settings& options) : options_{options} {}

    auto plan(const planner_view& view, planner_actions& out) -> void;

    /// Whether the cell has had no live majority for `unresponsive_delay`, or an operator has
    /// stated that its zone has stopped.
    auto is_unresponsive(cell_id id) const -> bool { return unresponsive_.contains(id); }

private:
    auto update_unresponsive(const planner_view& view) -> void;
    auto forget_closed_claims(const planner_view& view) -> void;
    /// Claims the cell, or takes it over when the claim has been open for `wait`.
    auto plan_claim(const planner_view& view, cell_id id, const cell_state& cell, duration wait,
                    config_version stopped_by, planner_actions& out) -> void;
    /// Time after which the cell has stopped serving; none when it keeps its slots even if it
    /// cannot read the log.
    static auto yield_time(const planner_view& view, const cell_state& cell)
        -> std::optional<duration>;

    planner_settings options_;
    std::map<cell_id, time_point> no_majority_since_;
    std::set<cell_id> unresponsive_;
    /// Epoch of each open claim, and when this planner first saw it, which is after its append.
    std::map<cell_id, std::pair<std::uint64_t, time_point>> open_claims_;
    /// Claimed cells, and the time before which they are not claimed again if they object.
    std::map<cell_id, time_point> next_claim_at_;
};

} // namespace cornelswitch
