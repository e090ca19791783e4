#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "routing/routing_view.h"

#include <cstdint>
#include <map>

namespace cornelswitch {

/// Records since when instances and backend servers have been out of service, as seen by one entry.
class out_of_service_tracker {
public:
    /// An instance that was taken out of service gets requests for its servers until their leases
    /// have moved, but no longer than this.
    static constexpr duration instance_grace = std::chrono::seconds{2};

    auto update(const routing_view& view, time_point now) -> void;

    /// Whether requests may be sent to the instance.
    auto accepts(const instance_id& instance, time_point now) const -> bool;
    auto is_out(const server_config& server) const -> bool;
    /// Server to which requests with this `Idempotency-Key` are sent in services that are not
    /// keyed, whatever its load, because only its dispatcher remembers the key. A server that is
    /// out of service is skipped once its dispatcher would have forgotten the key. Null if there is
    /// no server.
    auto idempotency_server(std::uint64_t idempotency_key, const service_config& service,
                            time_point now) const -> const server_config*;

private:
    std::map<instance_id, time_point> instances_out_since_;
    std::map<server_id, time_point> servers_out_since_;
};

} // namespace cornelswitch
