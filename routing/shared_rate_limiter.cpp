#include "routing/shared_rate_limiter.h"

#include <chrono>

namespace cornelswitch {

auto shared_rate_limiter::may_act(time_point now, duration interval, random_engine& random) -> bool
{
    if (!period_start_) {
        period_start_ = now;
        start_phase_ = uniform_real(random);
    }
    if (last_action_) {
        return now >= *last_action_ + interval;
    }
    auto wait = std::chrono::duration<double, duration::period>{interval} * start_phase_;
    return now >= *period_start_ + std::chrono::duration_cast<duration>(wait);
}

auto shared_rate_limiter::record_action(time_point now) -> void
{
    if (period_start_) {
        last_action_ = now;
    }
}

} // namespace cornelswitch
