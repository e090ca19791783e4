#include "routing/shared_rate_limiter.h"

#include <algorithm>

namespace cornelswitch {

auto shared_rate_limiter::may_act(time_point now, duration interval, random_engine& random) -> bool
{
    return now >= next_turn(now, interval, random);
}

auto shared_rate_limiter::next_turn(time_point now, duration interval, random_engine& random)
    -> time_point
{
    interval_ = std::max(interval, duration{1});
    if (!next_turn_) {
        auto wait = std::chrono::duration<double, duration::period>{interval_};
        next_turn_ = now + std::chrono::duration_cast<duration>(wait * uniform_real(random));
    }
    // The interval may have become shorter.
    next_turn_ = std::min(*next_turn_, now + interval_);
    if (auto unused = now - *next_turn_; unused >= turn_length) {
        *next_turn_ += ((unused - turn_length) / interval_ + 1) * interval_;
    }
    return *next_turn_;
}

auto shared_rate_limiter::on_act(time_point now) -> void
{
    if (next_turn_) {
        next_turn_ = now + interval_;
    }
}

} // namespace cornelswitch
