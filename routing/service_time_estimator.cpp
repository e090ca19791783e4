#include "routing/service_time_estimator.h"

#include <algorithm>

namespace cornelswitch {

auto service_time_estimator::add(duration latency) -> void
{
    auto sample = static_cast<double>(latency.count());
    ++samples_;
    // The first samples form an arithmetic mean, so that the very first response does not dominate.
    auto weight = std::max(sample_weight, 1.0 / samples_);
    mean_ += weight * (sample - mean_);
}

auto service_time_estimator::add_lower_bound(duration age) -> void
{
    if (static_cast<double>(age.count()) > mean_) {
        add(age);
    }
}

auto service_time_estimator::mean() const -> duration
{
    return duration{static_cast<duration::rep>(mean_)};
}

} // namespace cornelswitch
