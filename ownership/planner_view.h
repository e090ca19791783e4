#pragma once

#include "config/configuration.h"
#include "core/clock.h"
#include "core/slot_set.h"
#include "ownership/instance_list.h"
#include "ownership/ownership_state.h"
#include "ownership/records.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace cornelswitch {

/// Input of the planner.
struct planner_view {
    const configuration& config;
    config_version version;
    /// Live and leaving instances; may be out of date.
    const std::vector<instance_info>& instances;
    const ownership_state& state;
    /// Epoch of the newest membership that a member of the cell has reported as active.
    const std::map<cell_id, std::uint64_t>& active;
    time_point now;
};

/// Longest `yield_after` of the keyed services that the servers belong to, in milliseconds; 0 if
/// one of these services has none.
auto configured_yield_ms(const configuration& config, const std::vector<server_id>& servers)
    -> std::uint64_t;

/// Requests that the record is appended. Call `planner::on_settled` when its outcome is known.
struct propose_record {
    record_body body;
};

/// Requests that the dispatchers of the cell drain these slots and append their release.
struct request_release {
    cell_id cell;
    server_id server;
    service_id service;
    slot_set slots;
};

using planner_action = std::variant<propose_record, request_release>;
using planner_actions = std::vector<planner_action>;

/// Delays and timeouts of the planner. Exclusive ownership does not depend on them.
struct planner_settings {
    /// Time without a plan after which earlier observations are discarded.
    duration max_plan_interval{std::chrono::seconds{5}};
    /// Time for which the instances of a zone must be unchanged before its first cells are created,
    /// so that instances that start together share the servers.
    duration stable_time{std::chrono::seconds{3}};
    /// Time after which a member that is missing in the instance list is replaced; longer than a
    /// restart.
    duration member_replacement_delay{std::chrono::seconds{10}};
    /// Time after which a cell without a live majority in the instance list counts as unresponsive.
    duration unresponsive_delay{std::chrono::seconds{10}};
    /// Time for a cell to object to a claim when its zone is declared as stopped but the cell still
    /// runs.
    duration objection_time{std::chrono::seconds{3}};
    /// Delay before a cell that objected is claimed again.
    duration claim_backoff{std::chrono::seconds{10}};
    /// Time after which a membership that no member can report as active counts as active, so that
    /// a cell that lost all members can be rebuilt.
    duration assumed_active_after{std::chrono::seconds{30}};
    /// Interval at which an unanswered release request is repeated.
    duration release_retry_interval{std::chrono::milliseconds{500}};
    /// Time after which a pending release no longer counts towards `concurrent_moves`.
    duration release_timeout{std::chrono::seconds{10}};
    /// Delay before further slots of a server are requested after a release timed out.
    duration release_backoff{std::chrono::seconds{30}};
};

} // namespace cornelswitch
