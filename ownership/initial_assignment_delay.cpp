#include "ownership/initial_assignment_delay.h"

namespace cornelswitch {

auto initial_assignment_delay::on_server_list(std::size_t count, time_point now) -> void
{
    if (count > 0 && server_count_ == 0) {
        first_seen_at_ = now;
    }
    if (count > server_count_) {
        last_join_at_ = now;
    }
    server_count_ = count;
}

auto initial_assignment_delay::has_elapsed(time_point now) const -> bool
{
    return server_count_ > 0 &&
           (now >= last_join_at_ + stable_time || now >= first_seen_at_ + max_delay);
}

} // namespace cornelswitch
