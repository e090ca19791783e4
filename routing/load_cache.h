#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "routing/latency_quantile.h"
#include "routing/load_sample.h"
#include "routing/straggler_detector.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace cornelswitch {

/// Load of backend servers as known to one entry: from its own outstanding requests and latencies,
/// and from the samples that dispatchers attach to responses, which expire.
class load_cache {
public:
    /// Samples older than this are ignored.
    static constexpr duration sample_lifetime = std::chrono::seconds{1};

    auto on_sent(const service_id& service, const server_id& server, time_point now) -> void;
    /// An attempt that was sent at `sent` ended without a response.
    auto on_failed(const server_id& server, bool counts_against_server, time_point sent,
                   time_point now) -> void;
    auto on_response(const service_id& service, const server_id& server, time_point sent,
                     time_point now) -> void;
    /// An attempt was cancelled; its latency is at least its age.
    auto on_cancelled(const service_id& service, const server_id& server, time_point sent,
                      time_point now) -> void;
    auto on_sample(const server_id& server, const load_sample& sample, time_point now) -> void;

    /// Expected time from sending one more request to its response, excluding network delay.
    auto expected_time(const server_id& server, time_point now) const -> duration;
    auto outstanding(const server_id& server) const -> std::uint32_t;
    auto accepts_work(const server_id& server, time_point now) const -> bool;
    auto is_straggler(const service_id& service, const server_id& server, time_point now) const
        -> bool;
    /// Returns true if the server is a straggler that is due for a probe, a request that shows
    /// whether it has recovered.
    auto take_probe(const service_id& service, const server_id& server, time_point now) -> bool;
    auto configure(const service_id& service, double straggler_factor, std::uint32_t entries)
        -> void;
    /// Age at which a request may be hedged; none until there are enough samples.
    auto hedge_delay(const service_id& service) const -> std::optional<duration>;

private:
    struct server_state {
        /// Send times of the outstanding attempts.
        std::multiset<time_point> sent;
        std::uint32_t failures{0};
        time_point failed_at;
        std::optional<load_sample> sample;
        time_point sampled_at;
        /// Number of this entry's requests that were outstanding when the sample arrived, which the
        /// sample includes.
        std::uint32_t sample_outstanding{0};
        double latency{0};
    };
    struct service_state {
        straggler_detector stragglers;
        latency_quantile latencies;
    };

    auto remove_outstanding(const server_id& server, time_point sent) -> server_state&;

    std::unordered_map<server_id, server_state> servers_;
    std::unordered_map<service_id, service_state> services_;
};

} // namespace cornelswitch
