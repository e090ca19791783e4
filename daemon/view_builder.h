#pragma once

#include "config/configuration.h"
#include "ownership/instance_list.h"
#include "ownership/ownership_state.h"
#include "routing/routing_view.h"

#include <map>
#include <memory>
#include <tuple>
#include <unordered_map>

namespace cornelswitch {

/// A slot that its cell transferred to another owner. Routing uses it while `epoch` is newer than
/// the epoch of the slot in the applied ownership state.
struct moved_slot {
    service_id service;
    slot_index slot;
    slot_epoch epoch;
    /// Empty when no server may serve the slot.
    server_id server;
};

/// Inputs of a routing view. The references are used only during the call.
struct view_input {
    const configuration& config;
    config_version version;
    const ownership_state& ownership;
    const std::map<instance_id, instance_info>& instances;
    /// Dispatchers that are known from the cells of this instance.
    const std::map<server_id, instance_id>& dispatchers;
    /// Transfers that the log may not have recorded yet.
    const std::vector<moved_slot>& moved;
    bool ready{false};
};

/// Builds the routing view of an instance. A pure function, which may be called from any thread.
auto build_view(const view_input& in) -> std::shared_ptr<const routing_view>;

/// Whether `instance` may get new requests and leases: it is live, and neither the instance nor its
/// zone is out of service in `config`.
auto accepts_work(const instance_info& instance, const configuration& config) -> bool;

} // namespace cornelswitch
