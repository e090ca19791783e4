#pragma once

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cornelswitch {

/// Estimates quantiles of recent latencies with a histogram whose buckets are about 9% wide. Counts
/// are halved regularly, so that old latencies lose weight.
class latency_quantile {
public:
    /// Minimum number of samples for an estimate.
    static constexpr std::uint32_t min_samples = 32;
    /// Counts are halved when they add up to this many samples.
    static constexpr std::uint32_t window = 2048;

    auto add(duration latency) -> void;
    /// Upper edge of the bucket that contains quantile `q` (0 to 1); none before `min_samples`.
    auto quantile(double q) const -> std::optional<duration>;

private:
    static constexpr std::size_t bucket_count = 192;
    std::array<std::uint32_t, bucket_count> counts_{};
    std::uint32_t total_{0};
};

} // namespace cornelswitch
