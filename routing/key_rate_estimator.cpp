#include "routing/key_rate_estimator.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

/// The counts are rescaled when weights have grown to e^20, well within the range of a float.
constexpr double rescale_exponent = 20.0;

auto seconds(duration it) -> double
{
    return std::chrono::duration<double>{it}.count();
}

} // namespace

key_rate_estimator::key_rate_estimator(duration time_constant)
    : time_constant_s_{seconds(time_constant)}, weighted_counts_(groups, 0.0F)
{
}

auto key_rate_estimator::decay_factor(time_point from, time_point now) const -> double
{
    return std::exp(-seconds(now - from) / time_constant_s_);
}

auto key_rate_estimator::add(std::uint16_t key, time_point now) -> void
{
    if (seconds(now - reference_time_) / time_constant_s_ > rescale_exponent) {
        auto factor = static_cast<float>(decay_factor(reference_time_, now));
        for (auto& it : weighted_counts_) {
            it *= factor;
        }
        reference_time_ = now;
    }
    weighted_counts_[key / group_keys] +=
        static_cast<float>(std::exp(seconds(now - reference_time_) / time_constant_s_));
}

auto key_rate_estimator::rate(key_range keys, time_point now) const -> double
{
    double sum = 0;
    for (std::uint32_t n = keys.first / group_keys; n <= keys.last / group_keys; ++n) {
        // A group that lies partly in the range counts proportionally.
        auto first = std::max<std::uint32_t>(keys.first, n * group_keys);
        auto last = std::min<std::uint32_t>(keys.last, n * group_keys + group_keys - 1);
        sum += static_cast<double>(weighted_counts_[n]) * (last - first + 1) / group_keys;
    }
    return sum * decay_factor(reference_time_, now) / time_constant_s_;
}

auto key_rate_estimator::rates(time_point now) const -> std::vector<double>
{
    std::vector<double> out(groups);
    double factor = decay_factor(reference_time_, now) / time_constant_s_;
    for (std::uint32_t n = 0; n < groups; ++n) {
        out[n] = weighted_counts_[n] * factor;
    }
    return out;
}

auto key_rate_estimator::standard_deviation(double rate) const -> double
{
    return std::sqrt(std::max(0.0, rate) / (2.0 * time_constant_s_));
}

} // namespace cornelswitch
