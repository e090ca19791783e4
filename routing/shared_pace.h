#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <optional>

namespace cornelswitch {

/// One instance's part of a rate that instances share without contact to each other.
///
/// Each acts once an interval, which is the number of instances divided by the common rate. The
/// first interval starts at a random point of itself: otherwise all instances that begin together
/// act together, and only the mean of their sum keeps to the rate.
class shared_pace {
public:
    /// Whether the instance may act now. The first call begins the period.
    auto may_act(time_point now, duration interval, random_engine& random) -> bool;
    /// The instance acted. Outside of a period it does not count.
    auto on_act(time_point now) -> void;
    /// Ends the period; the next one begins at a new random point.
    auto reset() -> void { *this = {}; }

private:
    std::optional<time_point> began_;
    /// Part of the first interval that passes before the first act, in [0, 1).
    double phase_{0};
    std::optional<time_point> last_act_;
};

} // namespace cornelswitch
