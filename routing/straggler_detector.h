#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Detects stragglers: servers of one service that are slow compared with both the median of their
/// peers and their own baseline. If all servers are slow, none is a straggler. A server is no
/// longer a straggler when probes show that it has recovered.
class straggler_detector {
public:
    /// Weight of a new sample in the recent mean; two or three slow responses are enough to detect
    /// a straggler.
    static constexpr double recent_weight = 0.25;
    /// Weight of a new sample in the baseline mean.
    static constexpr double baseline_weight = 0.01;
    static constexpr std::uint32_t min_samples = 4;
    /// Hysteresis: a straggler has recovered below this share of the factor, so that it does not
    /// flap.
    static constexpr double recovery_share = 0.6;
    /// Interval between probes of a straggler, over all entries together. Each probe may be as slow
    /// as the straggler, so probes must remain far below 1% of the requests.
    static constexpr duration probe_interval = std::chrono::milliseconds{500};
    /// A server is a straggler after this many consecutive requests were answered first by the
    /// hedge, without any response in between. A single one is no evidence, because a hedge also
    /// wins against a healthy server that was busy for a moment.
    static constexpr std::uint32_t lost_hedge_limit = 2;
    /// Delay of the first probe of a server that became a straggler by lost hedges, which may be
    /// coincidence.
    static constexpr duration lost_hedge_probe_delay = std::chrono::milliseconds{100};
    /// Maximum age of the cached median.
    static constexpr duration median_lifetime = std::chrono::milliseconds{10};

    auto set_factor(double factor) -> void { factor_ = factor; }
    /// Number of entries that probe. Each probes at 1/`entries` of the common rate.
    auto set_entries(std::uint32_t entries) -> void { entries_ = entries; }
    auto on_latency(const server_id& server, duration latency, time_point now) -> void;
    /// The latency of a cancelled request is at least `age`. Ignored if that is below the recent
    /// mean.
    auto on_lower_bound(const server_id& server, duration age, time_point now) -> void;
    auto is_straggler(const server_id& server) const -> bool;
    /// Whether a request that has been outstanding for `age` is evidence of a slow server.
    auto is_slow(const server_id& server, duration age) const -> bool;
    /// Returns true if a straggler is due for a probe, and schedules the next one.
    auto take_probe(const server_id& server, time_point now) -> bool;
    auto forget(const server_id& server) -> void { servers_.erase(server); }

private:
    struct state {
        double recent{0};
        double baseline{0};
        std::uint32_t samples{0};
        std::uint32_t consecutive_lost_hedges{0};
        bool straggler{false};
        time_point next_probe;
    };

    auto update(state& it, duration latency, time_point now) -> void;
    auto update_median(time_point now) -> void;

    double factor_{3.0};
    std::uint32_t entries_{1};
    /// Median of the recent means of servers that are not stragglers; the lower one for an even
    /// count.
    std::optional<double> median_;
    time_point median_at_;
    std::unordered_map<server_id, state> servers_;
};

} // namespace cornelswitch
