#include "daemon/metrics_documents.h"

#include <utility>

namespace cornelswitch {

namespace {

constexpr double ms_per_second = 1000.0;

auto to_ms(double seconds) -> double
{
    return seconds * ms_per_second;
}

auto make_buckets(const duration_histogram& it) -> std::vector<histogram_bucket>
{
    std::vector<histogram_bucket> out;
    for (unsigned n = 0; n < duration_histogram::bucket_count; ++n) {
        if (it.at(n) > 0) {
            out.push_back({to_ms(it.upper_bound(n)), it.at(n)});
        }
    }
    return out;
}

auto make_histogram(std::string quantity, const series_key& key, const duration_histogram& it)
    -> latency_histogram
{
    latency_histogram out;
    out.quantity = std::move(quantity);
    out.tenant = tenant_id{key.tenant};
    out.request_class = to_string(key.priority);
    out.count = it.count();
    out.sum_ms = std::chrono::duration<double, std::milli>(it.sum()).count();
    out.p50_ms = to_ms(it.quantile(0.5));
    out.p90_ms = to_ms(it.quantile(0.9));
    out.p99_ms = to_ms(it.quantile(0.99));
    out.p999_ms = to_ms(it.quantile(0.999));
    out.buckets = make_buckets(it);
    return out;
}

auto is_selected(std::string_view wanted, std::string_view found) -> bool
{
    return wanted.empty() || wanted == found;
}

auto count_of(const request_series& it, request_end end) -> std::uint64_t
{
    return it.ends[static_cast<std::size_t>(end)];
}

} // namespace

auto make_histograms(const request_metrics& metrics, std::string_view tenant,
                     std::string_view priority) -> histograms_document
{
    histograms_document out;
    for (const auto& [key, it] : metrics.series()) {
        if (!is_selected(tenant, key.tenant) || !is_selected(priority, to_string(key.priority))) {
            continue;
        }
        if (it.latency.count() > 0) {
            out.histograms.push_back(make_histogram("latency", key, it.latency));
        }
        if (it.queue_time.count() > 0) {
            out.histograms.push_back(make_histogram("queue_time", key, it.queue_time));
        }
    }
    return out;
}

auto make_counts(const request_metrics& metrics) -> request_counts
{
    request_counts out;
    for (const auto& [key, it] : metrics.series()) {
        out.answered += count_of(it, request_end::answered);
        out.refused_not_run += count_of(it, request_end::not_run);
        out.refused_unknown += count_of(it, request_end::unknown);
    }
    return out;
}

} // namespace cornelswitch
