#pragma once

#include "adapters/h2o/event_loop.h"

#include <chrono>
#include <optional>

namespace cornelswitch {

/// Keeps the connection of a peer that is alive but does not read.
///
/// The kernel's time-out for unacknowledged bytes (TCP_USER_TIMEOUT) also counts the time for which
/// the peer's receive window is closed. The monitor lifts it while the peer answers the probes of a
/// closed window. Without TCP_INFO it changes nothing.
class closed_window_monitor {
public:
    struct timeouts {
        /// Time that sent bytes may stay unacknowledged.
        std::chrono::milliseconds unacknowledged{0};
        /// Time for which the other time-out may be lifted at a stretch.
        std::chrono::milliseconds closed_window{0};
    };

    /// Monitors the TCP socket `fd`, which is open until `on_close`.
    closed_window_monitor(event_loop& loop, int fd, const timeouts& limits);
    closed_window_monitor(const closed_window_monitor&) = delete;
    auto operator=(const closed_window_monitor&) -> closed_window_monitor& = delete;
    ~closed_window_monitor();

    /// Called when bytes are handed to the kernel. Checks the send queue until it is empty, often
    /// enough that the kernel's time-out cannot expire between two checks.
    auto on_write() -> void;
    /// Called before the socket is closed. The kernel still delivers its send queue, without
    /// further checks, so a peer gets the longer time-out for that.
    auto on_close() -> void;

private:
    auto check() -> void;

    event_loop& loop_;
    int fd_;
    timeouts limits_;
    /// 0 while the send queue is known to be empty.
    event_loop::timer_id timer_{0};
    std::optional<time_point> closed_since_;
    bool is_lifted_{false};
};

} // namespace cornelswitch
