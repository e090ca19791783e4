#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <chrono>
#include <optional>

namespace cornelswitch {

/// Limits one instance to its share of a rate that all instances share without communicating.
///
/// Each instance has one turn per interval, which is the number of instances divided by the common
/// rate. The first turn comes at a random point of the first interval. Otherwise all instances that
/// start together would act at the same time, and the common rate would hold only on average. A
/// turn that is not used soon is lost. Otherwise all instances with an unused turn would act at the
/// same time when demand arises everywhere, for example when they lose contact to a coordinator.
class shared_rate_limiter {
public:
    /// Time for which a turn can be used; longer than the delay of the timer that checks it.
    static constexpr duration turn_length = std::chrono::milliseconds{250};

    /// Whether the instance may act now. The first call starts a limited period.
    auto may_act(time_point now, duration interval, random_engine& random) -> bool;
    /// Start of the current turn or of the next one. The first call starts a limited period.
    auto next_turn(time_point now, duration interval, random_engine& random) -> time_point;
    /// Records that the instance acted. Ignored outside of a limited period.
    auto on_act(time_point now) -> void;
    /// Ends the limited period. The next one draws a new random start.
    auto reset() -> void { *this = {}; }

private:
    std::optional<time_point> next_turn_;
    duration interval_{0};
};

} // namespace cornelswitch
