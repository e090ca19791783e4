#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace cornelswitch {

enum class connection_action : std::uint8_t {
    none,
    /// Send a ping. HTTP/1.1 has none; there, send a health check request on a new connection.
    ping,
    /// Close the connection. Its requests have failed with `connection_lost`.
    replace,
};

/// Detects a connection on which nothing is received while requests are outstanding. Without
/// outstanding requests a lack of received data is normal and no ping is sent.
class connection_monitor {
public:
    /// Silence after which a ping is sent. Most responses arrive within 9 ms, so healthy peers get
    /// few pings.
    static constexpr duration ping_after = std::chrono::milliseconds{100};
    /// Time without a response to the ping after which the connection is replaced. It is far above
    /// a round trip between zones (1.4 ms), and its sum with `ping_after` is within half the
    /// duration of a lease.
    static constexpr duration ping_timeout = std::chrono::milliseconds{200};

    auto on_request(time_point now) -> void;
    /// A request ended, with or without a response.
    auto on_request_ended() -> void;
    /// Any bytes arrived, including a ping acknowledgement.
    auto on_received(time_point now) -> void;

    /// Returns what to do now: `ping` once per period without received data, `replace` until the
    /// connection is closed.
    auto check(time_point now) -> connection_action;
    auto next_wakeup() const -> std::optional<time_point>;

private:
    std::uint32_t outstanding_{0};
    time_point waiting_since_;
    std::optional<time_point> pinged_at_;
};

} // namespace cornelswitch
