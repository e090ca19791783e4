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

/// Everything a plan is made from.
struct planner_view {
    const configuration& config;
    config_version version;
    /// Live and leaving instances; a hint that lags.
    const std::vector<instance_info>& instances;
    const ownership_state& state;
    /// Epoch of the newest membership that a member of the cell has reported as active.
    const std::map<cell_id, std::uint64_t>& active;
    time_point now;
};

/// Longest `yield_after` of the keyed services that the servers belong to, in milliseconds; 0 when
/// one of them has none.
auto configured_yield_ms(const configuration& config, const std::vector<server_id>& servers)
    -> std::uint64_t;

/// Append the record; when its outcome is known, call `planner::on_settled`.
struct propose_record {
    record_body body;
};

/// Ask the dispatchers of the cell to drain these slots and to append their release.
struct request_release {
    cell_id cell;
    server_id server;
    service_id service;
    slot_set slots;
};

using planner_action = std::variant<propose_record, request_release>;
using planner_actions = std::vector<planner_action>;

/// Waits of the planner. None of them is needed for safety.
struct planner_settings {
    /// After a longer time without a plan, what was seen before is forgotten.
    duration longest_pause{std::chrono::seconds{5}};
    /// Instances of a zone must be unchanged for this time before its first cells are created, so
    /// that instances that start together share the servers.
    duration settle_time{std::chrono::seconds{3}};
    /// A member that is missing in the list is replaced after this time; a restart is faster.
    duration loss_delay{std::chrono::seconds{10}};
    /// A cell without a live majority in the list counts as silent after this time.
    duration silence_delay{std::chrono::seconds{10}};
    /// Time that a cell of a zone that is stated as stopped has to object, in case it is not.
    duration objection_time{std::chrono::seconds{3}};
    /// Wait before a cell that objected is claimed again.
    duration claim_backoff{std::chrono::seconds{10}};
    /// A membership that nobody can report as active counts as active after this time, so that a
    /// cell whose members are all lost can be rebuilt.
    duration assumed_active_after{std::chrono::seconds{30}};
    duration release_repeat{std::chrono::milliseconds{500}};
    /// A release that takes longer makes place for others.
    duration release_timeout{std::chrono::seconds{10}};
    /// Wait before slots of a server are requested again after a release that timed out.
    duration release_backoff{std::chrono::seconds{30}};
};

} // namespace cornelswitch
