#pragma once

#include "core/clock.h"

#include <cstdint>
#include <deque>

namespace cornelswitch {

/// Limits the extra requests of one instance to one service over a sliding window, so that all
/// instances together stay within a common bound without talking to each other: each uses its part
/// of the fixed number, and a share of its own requests.
class repeat_allowance {
public:
    struct settings {
        /// Extra requests as a share of the requests in the window.
        double ratio{0.1};
        /// Extra requests that all instances may send on top.
        double burst{0};
        std::uint32_t instances{1};
        duration window{std::chrono::seconds{10}};
    };

    auto configure(const settings& it) -> void { settings_ = it; }
    auto on_request(time_point now) -> void;
    /// Takes one extra request. Returns false, and takes nothing, when there is none.
    auto try_take(time_point now) -> bool;

private:
    /// Requests and extra requests of a part of the window.
    struct slice {
        time_point start;
        std::uint32_t requests{0};
        std::uint32_t extra{0};
    };

    auto current(time_point now) -> slice&;

    settings settings_;
    std::deque<slice> slices_;
};

} // namespace cornelswitch
