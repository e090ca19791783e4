#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "routing/request_info.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Outcome of a request as its caller sees it: a complete response, an aborted response, a refusal
/// as `not-run` or as `unknown`, or a cancellation by the caller.
enum class request_end : std::uint8_t { answered, failed, not_run, unknown, canceled };

inline constexpr std::size_t request_end_count = 5;

auto to_string(request_end it) -> std::string_view;

/// Durations in logarithmic buckets from 50 µs to 100 s, with sum and count.
class duration_histogram {
public:
    static constexpr unsigned bucket_count = 42;

    duration_histogram();
    auto add(duration it) -> void;
    auto merge(const duration_histogram& other) -> void;
    auto count() const -> std::uint64_t { return count_; }
    auto sum() const -> duration { return sum_; }
    /// Upper bound of a bucket in seconds, for indexes below `bucket_count`.
    auto upper_bound(unsigned bucket) const -> double;
    /// Number of values in a bucket. Bucket 0 includes the values below its lower bound; index
    /// `bucket_count` is the overflow bucket.
    auto at(unsigned bucket) const -> std::uint64_t;
    /// Upper bound in seconds of the bucket that contains the quantile `q` (0 to 1); 0 without
    /// values, and the largest bound for the overflow bucket.
    auto quantile(double q) const -> double;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;
    boost::histogram::histogram<std::tuple<axis>, storage> values_;
    duration sum_{0};
    std::uint64_t count_{0};
};

/// Metrics of the requests of one tenant and class.
struct request_series {
    duration_histogram latency;
    duration_histogram queue_time;
    /// Number of requests by `request_end`.
    std::array<std::uint64_t, request_end_count> ends{};

    auto merge(const request_series& other) -> void;
};

struct series_key {
    std::string tenant;
    request_class priority{request_class::interactive};
    friend auto operator<(const series_key& a, const series_key& b) -> bool
    {
        return std::tie(a.tenant, a.priority) < std::tie(b.tenant, b.priority);
    }
};

/// Request metrics per tenant and class. Their number is bounded by that of `max_tenants` tenants
/// with all classes; further tenants are counted as `other`. Copies are snapshots that can be sent
/// to another thread and merged there.
class request_metrics {
public:
    static constexpr std::size_t default_tenants = 64;

    explicit request_metrics(std::size_t max_tenants = default_tenants);

    auto record_end(const tenant_id& tenant, request_class priority, request_end end,
                    duration latency) -> void;
    auto record_queue_time(const tenant_id& tenant, request_class priority, duration waited)
        -> void;
    auto merge(const request_metrics& other) -> void;
    auto series() const -> const std::map<series_key, request_series>& { return series_; }

    /// Prometheus text exposition format: histograms of latency and queue time, and a counter of
    /// requests by outcome.
    auto to_text() const -> std::string;
    /// JSON array of series with counts, sums, quantiles and buckets, times in seconds; an empty
    /// filter matches all.
    auto to_json(std::string_view tenant = {}, std::string_view priority = {}) const -> std::string;

private:
    auto find_or_add(std::string_view tenant, request_class priority) -> request_series&;

    std::size_t max_tenants_;
    std::map<series_key, request_series> series_;
};

} // namespace cornelswitch
