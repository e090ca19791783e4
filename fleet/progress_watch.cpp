#include "fleet/progress_watch.h"

#include <algorithm>

namespace cornelswitch {

auto progress_watch::on_report(const instance_id& node, topic_number topic, log_offset end,
                               log_offset own_end, time_point now) -> void
{
    on_progress(topic, own_end);
    if (end > own_end) {
        lacks_.try_emplace(topic, lack{node, end, now});
    }
}

auto progress_watch::on_progress(topic_number topic, log_offset end) -> void
{
    auto it = lacks_.find(topic);
    if (it != lacks_.end() && end >= it->second.end) {
        lacks_.erase(it);
    }
}

auto progress_watch::find_better(time_point now) const -> std::optional<instance_id>
{
    if (now < changed_at_ + pause_) {
        return std::nullopt;
    }
    for (const auto& [topic, it] : lacks_) {
        if (now >= it.since + grace) {
            return it.node;
        }
    }
    return std::nullopt;
}

auto progress_watch::on_change(time_point now) -> void
{
    bool has_helped = now >= changed_at_ + 2 * longest_pause;
    pause_ = has_helped ? first_pause : std::clamp(pause_ * 2, first_pause, longest_pause);
    changed_at_ = now;
    lacks_.clear();
}

} // namespace cornelswitch
