#pragma once

#include "core/clock.h"

#include <algorithm>
#include <chrono>

namespace cornelswitch {

/// Requests that a workspace may run, counted over all instances.
struct request_quota {
    /// Requests per second in the long run.
    double per_second{0};
    /// Requests that may be run at once beyond the rate.
    double burst{0};

    friend auto operator==(const request_quota&, const request_quota&) -> bool = default;
};

/// How exactly all instances together have to keep to a quota.
struct quota_bounds {
    /// Length of the windows in which requests are counted.
    duration window{std::chrono::seconds{5}};
    /// Part of the quota of a window by which it may be exceeded.
    double overrun{0.1};
    /// Number of requests by which the quota of a window may be exceeded in addition.
    double slack{20};

    /// Requests in one window beyond the quota that still satisfy the bound.
    auto headroom(const request_quota& quota) const -> double
    {
        auto seconds = std::chrono::duration<double>{window}.count();
        return (quota.per_second * seconds + quota.burst) * overrun + slack;
    }
    /// The quota as it is divided. A burst below one second of the rate grows by a part of the
    /// headroom, because even requests at a steady rate arrive in small bursts.
    auto usable(const request_quota& quota) const -> request_quota
    {
        auto least = std::min(quota.per_second, headroom(quota) / 4);
        return {quota.per_second, std::max(quota.burst, least)};
    }
    /// Tokens assumed for a quota whose use is unknown. A quarter of the headroom: the state may be
    /// lost several times within one window, by instances that become isolated and by allocators.
    auto unknown_tokens(const request_quota& quota) const -> double
    {
        return std::min(quota.burst / 2, headroom(quota) / 4);
    }
};

} // namespace cornelswitch
