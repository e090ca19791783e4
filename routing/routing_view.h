#pragma once

#include "config/configuration.h"
#include "core/epoch.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Owner of one slot. `server` is an index into `service_view::config.servers`.
struct slot_route {
    static constexpr std::uint32_t no_server = UINT32_MAX;

    std::uint32_t server{no_server};
    slot_epoch epoch;
    friend auto operator==(const slot_route&, const slot_route&) -> bool = default;
};

/// Configuration and slot owners that an entry needs to route requests of one service.
struct service_view {
    service_config config;
    profile policy;
    /// Hash slots first, then split-off hot keys. Empty for services that are not keyed.
    std::vector<slot_route> slots;
    /// Keys that have a slot of their own.
    std::unordered_map<key_hash, slot_index> overrides;

    /// Slot of a key. Requires a keyed service with at least one hash slot.
    auto slot_of(key_hash key) const -> slot_index;
};

/// Another instance as entries see it.
struct instance_view {
    instance_id id;
    zone_id zone;
    endpoint data_endpoint;
    /// False for instances that are out of service, leaving or not live.
    bool accepts_work{true};
    friend auto operator==(const instance_view&, const instance_view&) -> bool = default;
};

/// Immutable snapshot of configuration and ownership, made by the agent and read by entries.
struct routing_view {
    config_version version;
    /// First offset of the ownership stream that is not applied yet.
    log_offset ownership_end;
    std::map<service_id, std::shared_ptr<const service_view>> services;
    std::map<instance_id, instance_view> instances;
    /// Presumed dispatcher of each backend server. This is a hint; an instance that is not the
    /// dispatcher rejects the request as `wrong_dispatcher`.
    std::unordered_map<server_id, instance_id> dispatchers;
    /// Members of each server's cell, in the order in which they are tried if the hint fails.
    std::unordered_map<server_id, std::vector<instance_id>> candidates;
    out_of_service_parts out_of_service;
    /// False until the instance has configuration and ownership state. Requests are refused until
    /// then.
    bool ready{false};
};

} // namespace cornelswitch
