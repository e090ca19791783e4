#pragma once

#include "config/configuration.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace cornelswitch {

/// Time in milliseconds since 1970 at which a server process started; 0 means unknown.
using server_incarnation = strong_id<struct server_incarnation_tag, std::int64_t>;

/// A backend server's newest heartbeat in service discovery.
struct backend_entry {
    server_id id;
    service_id service;
    endpoint address;
    zone_id zone;
    std::uint32_t slots{1};
    bool is_draining{false};
    /// Remaining time for which the server was cold when it wrote the entry.
    duration cold_left{0};
    std::uint64_t sequence{0};
    server_incarnation incarnation;

    friend auto operator==(const backend_entry&, const backend_entry&) -> bool = default;
};

} // namespace cornelswitch
