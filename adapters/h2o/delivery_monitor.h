#pragma once

#include "adapters/h2o/delivery_progress.h"
#include "adapters/h2o/event_loop.h"

#include <functional>
#include <optional>

namespace cornelswitch {

/// Notices that the peer of a connection is gone while bytes are on their way to it.
///
/// TCP_USER_TIMEOUT is only used where the system has no usable TCP_INFO. It also ends the
/// connections of peers that are alive but pause while they read, and adds pauses up: when a closed
/// window opens by less than the next segment, the kernel counts on from the first pause.
class delivery_monitor {
public:
    using timeouts = delivery_progress::timeouts;

    /// Monitors the connected TCP socket `fd`, which is open until `on_close`. `on_peer_lost` is
    /// called at most once and may destroy the monitor.
    delivery_monitor(event_loop& loop, int fd, const timeouts& limits,
                     std::function<void()> on_peer_lost);
    delivery_monitor(const delivery_monitor&) = delete;
    auto operator=(const delivery_monitor&) -> delivery_monitor& = delete;
    ~delivery_monitor();

    /// Whether the kernel's time-out for unacknowledged bytes is off.
    auto replaces_kernel_timeout() const -> bool { return progress_.has_value(); }
    /// Called when bytes are handed to the kernel. Checks the send queue until it is empty.
    auto on_write() -> void;
    /// Called before the socket is closed. The kernel still delivers its send queue, without
    /// further checks, so it gets a time-out that also covers a peer that pauses.
    auto on_close() -> void;

private:
    auto check() -> void;

    event_loop& loop_;
    int fd_;
    timeouts limits_;
    std::function<void()> on_peer_lost_;
    time_point opened_at_;
    /// Not set where the system has no usable TCP_INFO.
    std::optional<delivery_progress> progress_;
    /// 0 while the send queue is known to be empty.
    event_loop::timer_id timer_{0};
};

} // namespace cornelswitch
