#pragma once

#include "core/clock.h"

namespace cornelswitch {

/// Maximum difference in rate between the clocks of two machines, in percent.
inline constexpr int max_drift_percent = 1;

/// Minimum time that passes on this clock while another clock measures `interval`.
constexpr auto shortened_by_drift(duration interval) -> duration
{
    return interval * (100 - max_drift_percent) / 100;
}

/// Maximum time that passes on this clock while another clock measures `interval`.
constexpr auto lengthened_by_drift(duration interval) -> duration
{
    return interval * (100 + max_drift_percent) / 100 + duration{1};
}

inline constexpr duration lease_duration = std::chrono::milliseconds{600};
inline constexpr duration lease_renewal_interval = std::chrono::milliseconds{200};
inline constexpr duration grant_ttl = std::chrono::milliseconds{600};
inline constexpr duration grant_renewal_interval = std::chrono::milliseconds{200};

} // namespace cornelswitch
