#pragma once

#include "bench/policy_bench/simulation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch::bench {

/// Latencies at the caller, in milliseconds.
struct latency_row {
    std::string run;
    std::string service;
    std::string priority;
    std::size_t requests{0};
    double p50{0};
    double p99{0};
    double p999{0};
};

/// Results of one run.
struct run_row {
    std::string run;
    /// Requests that were answered within their deadline, in percent.
    double goodput_percent{0};
    /// Requests started by the most loaded server of the keyed service, relative to the mean of its
    /// servers.
    double max_to_mean{0};
    std::uint64_t moves{0};
    std::uint64_t minimum_moves{0};
    double unavailable_key_seconds{0};
    /// Hedges and retries relative to requests, in percent.
    double hedges_percent{0};
    double retries_percent{0};
    std::uint64_t refused_not_run{0};
    std::uint64_t refused_unknown{0};
    /// Requests whose entry was lost before the response.
    std::uint64_t entry_lost{0};
    /// Number of requests that were refused as not-run although a server started them, of
    /// non-idempotent requests that were started twice, and of requests without a result. Must be
    /// 0.
    std::uint64_t violations{0};
};

/// Time window that selects requests by their arrival. It can be repeated with a period.
struct time_window {
    time_point from;
    time_point to;
    duration period{0};
    int repeats{1};

    auto contains(time_point at) const -> bool;
};

/// Value at quantile `q` from 0 to 1; 0 if there are no values. Reorders the values.
auto percentile(std::vector<double>& values, double q) -> double;
/// Latencies at the entry, in milliseconds, of the successful requests of one service that arrived
/// in the window.
auto latencies(const simulation& run, std::uint32_t service, time_window window,
               std::optional<request_class> priority = {}) -> std::vector<double>;
auto latency_rows(const simulation& run, const std::string& name, time_window window,
                  duration caller_delay) -> std::vector<latency_row>;
auto summarize(const simulation& run, const std::string& name, time_window window) -> run_row;

/// Latencies, in milliseconds, of a simulated central queue that gives each request to the first
/// server of the service with free capacity. `delay` is added to each latency. The report shows
/// them as a lower bound for routing policies.
auto central_queue(const service_workload& workload, double load, std::size_t servers,
                   duration delay, std::uint64_t seed) -> std::vector<double>;

} // namespace cornelswitch::bench
