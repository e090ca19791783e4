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

/// A slot whose owner the cell changed under the log epoch that is still applied.
struct moved_slot {
    service_id service;
    slot_index slot;
    slot_epoch epoch;
    /// Empty when no server may serve the slot now.
    server_id server;
};

/// What a routing view is made of. The references are used only during the call.
struct view_input {
    const configuration& config;
    config_version version;
    const ownership_state& ownership;
    const std::map<instance_id, instance_info>& instances;
    /// Dispatchers that the cells of this instance know.
    const std::map<server_id, instance_id>& dispatchers;
    /// Transfers that the log may not record yet.
    const std::vector<moved_slot>& moved;
    bool ready{false};
};

/// Makes the routing view of an instance. It is pure and may be called from any thread.
auto build_view(const view_input& in) -> std::shared_ptr<const routing_view>;

/// Whether `instance` may be given new work under `config`.
auto accepts_work(const instance_info& instance, const configuration& config) -> bool;

} // namespace cornelswitch
