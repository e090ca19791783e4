#include "ownership/arrival_wait.h"

namespace cornelswitch {

auto arrival_wait::on_list(std::size_t count, time_point now) -> void
{
    if (count > 0 && server_count_ == 0) {
        first_seen_at_ = now;
    }
    if (count > server_count_) {
        last_join_at_ = now;
    }
    server_count_ = count;
}

auto arrival_wait::is_over(time_point now) const -> bool
{
    return server_count_ > 0 &&
           (now >= last_join_at_ + quiet_time || now >= first_seen_at_ + longest_wait);
}

} // namespace cornelswitch
