#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>

namespace cornelswitch {

/// Budget for the extra requests, such as retries, of one instance to one service over a sliding
/// window. All instances together stay within a common bound without communicating, because each
/// uses at most a fixed share of its own requests plus its part of the common burst.
class sliding_window_retry_budget {
public:
    struct settings {
        /// Allowed extra requests as a share of the requests in the window.
        double ratio{0.1};
        /// Additional extra requests per window that all instances together may send.
        double burst{0};
        std::uint32_t instances{1};
        duration window{std::chrono::seconds{10}};
    };

    auto configure(const settings& it) -> void { settings_ = it; }
    auto on_request(time_point now) -> void;
    /// Takes one extra request from the budget. Returns false and takes nothing if it is used up.
    auto try_spend(time_point now) -> bool;

private:
    /// Number of requests and extra requests in a part of the window.
    struct slice {
        time_point start;
        std::uint32_t requests{0};
        std::uint32_t extra{0};
    };

    auto current_slice(time_point now) -> slice&;

    settings settings_;
    std::deque<slice> slices_;
};

} // namespace cornelswitch
