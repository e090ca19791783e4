#pragma once

#include "core/clock.h"

#include <cstdint>

namespace cornelswitch {

/// Load of one backend server as measured by its dispatcher. Dispatchers attach it to every
/// response and refusal, from which the entries fill their load caches.
struct load_sample {
    /// Requests that are queued at the dispatcher.
    std::uint32_t queued{0};
    /// Requests that the server may be running.
    std::uint32_t in_flight{0};
    /// Current limit of `in_flight`, including the warm-up.
    std::uint32_t limit{1};
    /// Moving mean of the time from send to response; 0 if not measured yet.
    duration service_time{0};
    /// False if the dispatcher accepts no new requests for the server.
    bool accepts_work{true};
};

} // namespace cornelswitch
