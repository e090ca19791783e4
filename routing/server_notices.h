#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace cornelswitch {

/// Notices that backend servers attached to their responses to this instance: that they are
/// shutting down, or that they want no requests for a time (hold-off).
///
/// Service discovery may lag by seconds or be unavailable, so an instance acts on the notices that
/// it received itself: a server that announced its shutdown gets no more requests, and a server
/// that asked to hold off gets none until that time has passed.
class server_notices {
public:
    /// Time for which a server that announced its shutdown still gets requests for keys that it
    /// owns, until they have moved to another server.
    static constexpr duration key_drain_time = std::chrono::milliseconds{900};
    /// Upper bound of a hold-off; longer ones are cut to it.
    static constexpr duration max_hold_off = std::chrono::minutes{10};
    /// Maximum number of stored notices of each kind. The one that is oldest, or ends first, is
    /// dropped to make room.
    static constexpr std::size_t max_servers = 4096;

    /// The process of `server` that started at `incarnation` announced its shutdown. Returns false
    /// if that was already known.
    auto on_shutdown_announced(const server_id& server, std::int64_t incarnation, time_point now)
        -> bool;
    /// The server rejected a request and asked for none during `hold_off`. Ignored if that is not
    /// positive.
    auto on_hold_off(const server_id& server, duration hold_off, time_point now) -> void;

    /// When the process announced its shutdown; none if it did not.
    auto leaving_since(const server_id& server, std::int64_t incarnation) const
        -> std::optional<time_point>;
    /// End of the server's hold-off; none if it has passed.
    auto held_off_until(const server_id& server, time_point now) const -> std::optional<time_point>;
    /// Whether a request may be sent to the server. `is_owner` says that it owns the request's key.
    auto may_send(const server_id& server, std::int64_t incarnation, bool is_owner,
                  time_point now) const -> bool;

private:
    struct shutdown_notice {
        std::int64_t incarnation{0};
        time_point since{};
    };

    std::map<server_id, shutdown_notice> leaving_;
    std::map<server_id, time_point> held_off_;
};

} // namespace cornelswitch
