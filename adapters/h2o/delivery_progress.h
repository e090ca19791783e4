#pragma once

#include "adapters/h2o/send_queue.h"

#include <chrono>
#include <cstdint>

namespace cornelswitch {

/// Decides from successive states of a send queue whether the peer is gone.
///
/// Only a stretch without progress counts; pauses of a peer that reads in between do not add up.
/// Time is counted in checks, so that a suspension of this machine does not count against the peer.
class delivery_progress {
public:
    struct timeouts {
        /// Time that sent bytes may stay unacknowledged.
        std::chrono::milliseconds unacknowledged{0};
        /// Time for which a peer that answers probes may keep its receive window closed; at least
        /// `unacknowledged` applies.
        std::chrono::milliseconds closed_window{0};
    };

    /// The queue is read at least `check_interval` apart while it is not empty. `initial` is its
    /// state before the first write.
    delivery_progress(const timeouts& limits, std::chrono::milliseconds check_interval,
                      const send_queue& initial);

    /// Returns whether the peer counts as gone.
    auto on_state(const send_queue& state) -> bool;

private:
    timeouts limits_;
    std::chrono::milliseconds check_interval_;
    std::uint64_t acknowledged_bytes_;
    bool waits_for_reader_{false};
    /// Time without progress or a change of what the queue waits for.
    std::chrono::milliseconds unchanged_for_{0};
};

} // namespace cornelswitch
