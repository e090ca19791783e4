#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <optional>

namespace cornelswitch {

/// Limits one instance to its share of a rate that all instances share without communicating.
///
/// Each instance acts once per interval, which is the number of instances divided by the common
/// rate. The first action comes at a random point of the first interval. Otherwise all instances
/// that start together would act at the same time, and the common rate would hold only on average.
class shared_rate_limiter {
public:
    /// Whether the instance may act now. The first call starts a limited period.
    auto may_act(time_point now, duration interval, random_engine& random) -> bool;
    /// Records that the instance acted. Ignored outside of a limited period.
    auto on_act(time_point now) -> void;
    /// Ends the limited period. The next one draws a new random start.
    auto reset() -> void { *this = {}; }

private:
    std::optional<time_point> began_;
    /// Part of the first interval that passes before the first action, in [0, 1).
    double phase_{0};
    std::optional<time_point> last_act_;
};

} // namespace cornelswitch
