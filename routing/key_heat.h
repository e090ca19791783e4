#pragma once

#include "core/clock.h"
#include "ownership/key_range.h"

#include <cstdint>
#include <vector>

namespace cornelswitch {

/// Request rate of each group of neighbouring keys, as an exponentially weighted average.
class key_heat {
public:
    /// Keys in one group.
    static constexpr std::uint32_t group_keys = 4;
    static constexpr std::uint32_t groups = numeric_keys / group_keys;

    /// `time_constant` is the age at which a request counts 1/e.
    explicit key_heat(duration time_constant);

    auto add(std::uint16_t key, time_point now) -> void;
    /// Requests per second for `keys`.
    auto rate(key_range keys, time_point now) const -> double;
    /// Requests per second of each group.
    auto rates(time_point now) const -> std::vector<double>;
    /// Standard deviation of a rate that was estimated as `rate`.
    auto deviation(double rate) const -> double;

private:
    auto decay_since(time_point from, time_point now) const -> double;

    double time_constant_s_;
    /// Sums relative to `base_`: a request counts more the later it comes, so that no decay of all
    /// groups is needed for each request.
    std::vector<float> sums_;
    time_point base_{};
};

} // namespace cornelswitch
