#include "routing/straggler_detector.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// A straggler must also be slower than its own baseline by this factor, so that a server that is
// always slower than its peers, for example because of its hardware, keeps its share.
constexpr double own_baseline_factor = 1.5;

} // namespace

auto straggler_detector::on_latency(const server_id& server, duration latency, time_point now)
    -> void
{
    auto& it = servers_[server];
    auto sample = static_cast<double>(latency.count());
    ++it.samples;
    it.consecutive_lost_hedges = 0;
    it.recent += std::max(recent_weight, 1.0 / it.samples) * (sample - it.recent);
    if (!it.straggler) {
        it.baseline += std::max(baseline_weight, 1.0 / it.samples) * (sample - it.baseline);
    }
    update(it, latency, now);
}

auto straggler_detector::on_lower_bound(const server_id& server, duration age, time_point now)
    -> void
{
    auto it = servers_.find(server);
    if (it == servers_.end() || static_cast<double>(age.count()) <= it->second.recent) {
        return;
    }
    auto& state = it->second;
    auto lost_hedges = state.consecutive_lost_hedges + 1;
    on_latency(server, age, now);
    state.consecutive_lost_hedges = lost_hedges;
    if (lost_hedges >= lost_hedge_limit && median_ && !state.straggler) {
        // The server is marked explicitly, because the age of the cancelled requests, which was the
        // evidence against it, is no longer available to `is_slow`.
        state.straggler = true;
        state.recent = std::max(state.recent, factor_ * *median_);
        state.next_probe = now + lost_hedge_probe_delay;
    }
}

auto straggler_detector::is_straggler(const server_id& server) const -> bool
{
    auto it = servers_.find(server);
    return it != servers_.end() && it->second.straggler;
}

auto straggler_detector::take_probe(const server_id& server, time_point now) -> bool
{
    auto it = servers_.find(server);
    if (it == servers_.end() || !it->second.straggler || now < it->second.next_probe) {
        return false;
    }
    it->second.next_probe = now + probe_interval * entries_;
    return true;
}

auto straggler_detector::is_slow(const server_id& server, duration age) const -> bool
{
    auto it = servers_.find(server);
    if (it == servers_.end() || it->second.samples < min_samples || !median_) {
        return false;
    }
    auto ns = static_cast<double>(age.count());
    return ns > factor_ * *median_ && ns > factor_ * it->second.baseline;
}

auto straggler_detector::update(state& it, duration latency, time_point now) -> void
{
    update_median(now);
    if (!median_ || it.samples < min_samples) {
        it.straggler = false;
        return;
    }
    auto slower_than_peers = it.recent > factor_ * *median_;
    auto recovered_below = recovery_share * factor_ * *median_;
    if (!it.straggler && slower_than_peers && it.recent > own_baseline_factor * it.baseline) {
        it.straggler = true;
        it.next_probe = now + probe_interval;
    } else if (it.straggler && it.recent < recovered_below) {
        it.straggler = false;
    } else if (it.straggler && static_cast<double>(latency.count()) < recovered_below) {
        // It may have recovered; probe again immediately to confirm.
        it.next_probe = now;
    }
}

auto straggler_detector::update_median(time_point now) -> void
{
    if (median_ && now - median_at_ < median_lifetime) {
        return;
    }
    median_at_ = now;
    median_.reset();
    std::vector<double> recent;
    for (const auto& [id, it] : servers_) {
        if (it.samples >= min_samples && !it.straggler) {
            recent.push_back(it.recent);
        }
    }
    if (!recent.empty()) {
        auto middle = recent.begin() + static_cast<std::ptrdiff_t>((recent.size() - 1) / 2);
        std::nth_element(recent.begin(), middle, recent.end());
        median_ = *middle;
    }
}

} // namespace cornelswitch
