#pragma once

#include "ownership/cell_planner.h"
#include "ownership/cell_takeover_planner.h"
#include "ownership/planner_view.h"
#include "ownership/slot_planner.h"

#include <cstddef>

namespace cornelswitch {

/// Proposes records of stream `ownership` that bring cells and slots closer to the state that the
/// configuration and the instance list require. Concurrent planners are harmless: each record names
/// the epoch that it replaces, so only the first one takes effect, and no record moves a slot
/// before its release.
class planner {
public:
    explicit planner(instance_id self, const planner_settings& options = {})
        : self_{std::move(self)}, options_{options},
          takeover_planner_{options}, cells_{options}, slots_{options}
    {
    }

    /// Whether this instance should plan, that is, whether it has the highest rendezvous weight of
    /// the live instances. Advisory, because instance lists differ between instances.
    auto is_leader(const planner_view& view) const -> bool;

    /// Returns the next actions; none while proposals are unsettled or when another instance should
    /// plan. Call it after each change of the view and at least every 500 ms.
    auto plan(const planner_view& view) -> planner_actions;
    /// Requests that a hot key is split off into its own slot, or merged back. The planner of the
    /// leader carries out the request; requests that do not complete within
    /// `key_changes::timeout` are discarded.
    auto change_key(const service_id& service, key_hash key, key_changes::kind change_kind,
                    time_point now) -> void;
    /// Reports that the outcome of one proposal is known, or will never be known.
    auto on_settled() -> void;

private:
    auto reset() -> void;

    instance_id self_;
    planner_settings options_;
    cell_takeover_planner takeover_planner_;
    cell_planner cells_;
    slot_planner slots_;
    std::size_t unsettled_proposals_{0};
    time_point last_plan_at_;
};

} // namespace cornelswitch
