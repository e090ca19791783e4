#include "routing/shared_rate_limiter.h"

#include <chrono>

namespace cornelswitch {

auto shared_rate_limiter::may_act(time_point now, duration interval, random_engine& random) -> bool
{
    if (!began_) {
        began_ = now;
        phase_ = uniform_real(random);
    }
    if (last_act_) {
        return now >= *last_act_ + interval;
    }
    auto wait = std::chrono::duration<double, duration::period>{interval} * phase_;
    return now >= *began_ + std::chrono::duration_cast<duration>(wait);
}

auto shared_rate_limiter::on_act(time_point now) -> void
{
    if (began_) {
        last_act_ = now;
    }
}

} // namespace cornelswitch
