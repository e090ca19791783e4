#pragma once

#include "core/clock.h"
#include "routing/request_rate.h"

namespace cornelswitch {

/// Token bucket: allows requests at a mean rate, and a short burst after a pause.
class token_bucket {
public:
    /// Empties the bucket, which gains tokens from `now` on.
    auto restart(time_point now) -> void;
    /// Adds the tokens gained at `rate` since the last call, up to `capacity`.
    auto refill(request_rate rate, double capacity, time_point now) -> void;
    auto may_take() const -> bool;
    /// Takes a token, even if there is none.
    auto take() -> void { tokens_ -= 1.0; }
    /// Time after the last refill at which `count` tokens can be taken.
    auto time_until(double count, request_rate rate) const -> duration;

private:
    double tokens_{0};
    time_point refilled_at_{};
};

} // namespace cornelswitch
