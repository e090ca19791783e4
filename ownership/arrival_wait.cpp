#include "ownership/arrival_wait.h"

namespace cornelswitch {

auto arrival_wait::on_list(std::size_t count, time_point now) -> void
{
    if (count > 0 && count_ == 0) {
        first_at_ = now;
    }
    if (count > count_) {
        joined_at_ = now;
    }
    count_ = count;
}

auto arrival_wait::is_over(time_point now) const -> bool
{
    return count_ > 0 && (now >= joined_at_ + quiet_time || now >= first_at_ + longest_wait);
}

} // namespace cornelswitch
