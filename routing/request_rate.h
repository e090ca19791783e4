#pragma once

#include <compare>

namespace cornelswitch {

/// Number of requests per second.
struct request_rate {
    double per_second{0};

    friend auto operator<=>(const request_rate&, const request_rate&)
        -> std::partial_ordering = default;
};

} // namespace cornelswitch
