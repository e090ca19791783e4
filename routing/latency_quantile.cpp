#include "routing/latency_quantile.h"

#include <algorithm>
#include <bit>

namespace cornelswitch {

namespace {

// Eight buckets for each power of two of microseconds.
constexpr std::uint64_t buckets_per_octave = 8;

auto bucket_of(duration latency) -> std::size_t
{
    auto us = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    auto n = static_cast<std::uint64_t>(std::max<std::int64_t>(us, buckets_per_octave));
    auto octave = static_cast<std::uint64_t>(std::bit_width(n)) - 4;
    return octave * buckets_per_octave + (n >> octave) - buckets_per_octave;
}

auto upper_edge(std::size_t bucket) -> duration
{
    auto octave = bucket / buckets_per_octave;
    auto step = bucket % buckets_per_octave + buckets_per_octave + 1;
    return std::chrono::microseconds{step << octave};
}

} // namespace

auto latency_quantile::add(duration latency) -> void
{
    auto bucket = std::min(bucket_of(latency), bucket_count - 1);
    ++counts_[bucket];
    if (++total_ < window) {
        return;
    }
    total_ = 0;
    for (auto& it : counts_) {
        it /= 2;
        total_ += it;
    }
}

auto latency_quantile::quantile(double q) const -> std::optional<duration>
{
    if (total_ < min_samples) {
        return std::nullopt;
    }
    auto rank = static_cast<std::uint32_t>(q * total_);
    std::uint32_t seen = 0;
    for (std::size_t n = 0; n < bucket_count; ++n) {
        seen += counts_[n];
        if (seen > rank) {
            return upper_edge(n);
        }
    }
    return upper_edge(bucket_count - 1);
}

} // namespace cornelswitch
