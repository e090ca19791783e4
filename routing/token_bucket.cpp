#include "routing/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace cornelswitch {

namespace {

/// Tolerates the rounding of the sum of many small additions.
constexpr double rounding_error = 1e-9;

} // namespace

auto token_bucket::restart(time_point now) -> void
{
    tokens_ = 0;
    refilled_at_ = now;
}

auto token_bucket::refill(request_rate rate, double capacity, time_point now) -> void
{
    auto elapsed = std::chrono::duration<double>{now - refilled_at_}.count();
    tokens_ = std::min(capacity, tokens_ + rate.per_second * std::max(0.0, elapsed));
    refilled_at_ = now;
}

auto token_bucket::may_take() const -> bool
{
    return tokens_ >= 1.0 - rounding_error;
}

auto token_bucket::time_until(double count, request_rate rate) const -> duration
{
    if (tokens_ >= count - rounding_error) {
        return duration::zero();
    }
    std::chrono::duration<double> wait{(count - tokens_) / rate.per_second};
    return std::chrono::duration_cast<duration>(wait);
}

} // namespace cornelswitch
