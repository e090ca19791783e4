#pragma once

#include "core/clock.h"

#include <cstdint>

namespace cornelswitch {

/// Moving mean of the time from sending a request to one server to its response, measured by this
/// instance.
class service_time_estimator {
public:
    /// Weight of a new sample. With 1/16 the mean follows a tenfold slowdown within about 10
    /// responses.
    static constexpr double sample_weight = 1.0 / 16.0;

    auto add(duration latency) -> void;
    /// A request has been running for `age` without a response. Can only raise the estimate.
    auto add_lower_bound(duration age) -> void;
    auto measured() const -> bool { return samples_ > 0; }
    /// Mean; 0 before the first sample.
    auto mean() const -> duration;

private:
    double mean_{0};
    std::uint32_t samples_{0};
};

} // namespace cornelswitch
