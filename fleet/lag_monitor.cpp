#include "fleet/lag_monitor.h"

#include <algorithm>

namespace cornelswitch {

auto lag_monitor::on_peer_report(const instance_id& instance, topic_index topic, log_offset end,
                                 log_offset own_end, time_point now) -> void
{
    on_own_progress(topic, own_end);
    if (end > own_end) {
        lags_.try_emplace(topic, observed_lag{instance, end, now});
    }
}

auto lag_monitor::on_own_progress(topic_index topic, log_offset end) -> void
{
    auto it = lags_.find(topic);
    if (it != lags_.end() && end >= it->second.end) {
        lags_.erase(it);
    }
}

auto lag_monitor::find_source_ahead(time_point now) const -> std::optional<instance_id>
{
    if (now < source_changed_at_ + switch_backoff_) {
        return std::nullopt;
    }
    for (const auto& [topic, lag] : lags_) {
        if (now >= lag.since + allowed_lag) {
            return lag.instance;
        }
    }
    return std::nullopt;
}

auto lag_monitor::on_source_change(time_point now) -> void
{
    bool was_stable = now >= source_changed_at_ + 2 * max_switch_backoff;
    switch_backoff_ = was_stable
                          ? min_switch_backoff
                          : std::clamp(switch_backoff_ * 2, min_switch_backoff, max_switch_backoff);
    source_changed_at_ = now;
    lags_.clear();
}

} // namespace cornelswitch
