#pragma once

#include "core/clock.h"
#include "ownership/key_range.h"

#include <cstdint>
#include <vector>

namespace cornelswitch {

/// Estimates the request rate of each group of neighbouring keys by an exponentially weighted
/// moving average.
class key_rate_estimator {
public:
    /// Number of keys in one group.
    static constexpr std::uint32_t group_keys = 4;
    static constexpr std::uint32_t groups = numeric_keys / group_keys;

    /// `time_constant` is the age at which the weight of a request has decayed to 1/e.
    explicit key_rate_estimator(duration time_constant);

    auto add(std::uint16_t key, time_point now) -> void;
    /// Requests per second for `keys`.
    auto rate(key_range keys, time_point now) const -> double;
    /// Requests per second of each group.
    auto rates(time_point now) const -> std::vector<double>;
    /// Standard deviation of an estimated rate, assuming Poisson arrivals.
    auto standard_deviation(double rate) const -> double;

private:
    auto decay_factor(time_point from, time_point now) const -> double;

    double time_constant_s_;
    /// Weighted request counts of the groups. The weight of a request grows with its distance from
    /// `reference_time_`, so that the other groups need not be decayed on each request.
    std::vector<float> weighted_counts_;
    time_point reference_time_{};
};

} // namespace cornelswitch
