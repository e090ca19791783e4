#pragma once

#include "adapters/h2o/event_loop.h"
#include "core/logger.h"
#include "daemon/control_network.h"
#include "daemon/log_driver.h"
#include "ownership/cell_messages.h"
#include "ownership/planner.h"

#include <functional>
#include <map>
#include <vector>

namespace cornelswitch {

/// Runs the planner and executes its actions: appends records to the log, and sends release
/// requests and membership queries over the control network.
class planner_driver {
public:
    struct hooks {
        /// Passes a release request to the local agent of the cell, if there is one.
        std::function<void(cell_id, const release_request&)> release_locally;
        /// Epoch of the membership that is active on the local agent of the cell; 0 for none.
        std::function<std::uint64_t(cell_id)> local_active_membership;
    };
    struct input {
        const configuration& config;
        config_version version;
        const std::vector<instance_info>& instances;
        const ownership_state& state;
    };

    planner_driver(event_loop& loop, instance_id self, log_driver& log, control_network& network,
                   logger& diagnostics, hooks handlers);

    /// Plans from the given state. To be called after changes and at least every 500 ms, and only
    /// while the log is reachable.
    auto plan(const input& in) -> void;
    /// Whether this instance currently plans for the deployment. The leader also writes the
    /// snapshots.
    auto is_leader() const -> bool { return is_leader_; }

private:
    auto run(const ownership_state& state, const propose_record& action) -> void;
    auto run(const ownership_state& state, const request_release& action) -> void;
    /// Queries the members of all cells whose newest membership is not known to be active.
    auto query_active_memberships(const ownership_state& state) -> void;
    auto record_active_membership(cell_id id, std::uint64_t epoch) -> void;

    event_loop& loop_;
    instance_id self_;
    log_driver& log_;
    control_network& network_;
    logger& diagnostics_;
    hooks hooks_;
    planner planner_;
    bool is_leader_{false};
    /// Highest membership epoch that is known to be active, by cell.
    std::map<cell_id, std::uint64_t> active_epochs_;
    time_point next_query_at_;
};

/// Path of the query for the active membership of a cell; the answer is its epoch as a decimal
/// number, or 0.
inline constexpr std::string_view active_membership_path = "/active-membership";

} // namespace cornelswitch
