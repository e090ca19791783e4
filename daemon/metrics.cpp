#include "daemon/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cornelswitch {

namespace {

constexpr double shortest_seconds = 50e-6;
constexpr double longest_seconds = 100.0;
constexpr std::string_view other_tenant = "other";

auto seconds_of(duration it) -> double
{
    return std::chrono::duration<double>(it).count();
}

auto number_text(double value) -> std::string
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.6g", value);
    return buf.data();
}

/// Callers choose the tenant names, so they are escaped for the text exposition format.
auto escaped(std::string_view text) -> std::string
{
    std::string out;
    for (auto c : text) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

auto labels(const series_key& key) -> std::string
{
    return "tenant=\"" + escaped(key.tenant) + "\",class=\"" +
           std::string{to_string(key.priority)} + "\"";
}

auto append_histogram(std::string& out, const std::string& name, const std::string& labels,
                      const duration_histogram& it) -> void
{
    std::uint64_t cumulative = 0;
    for (unsigned n = 0; n < duration_histogram::bucket_count; ++n) {
        cumulative += it.at(n);
        out += name + "_bucket{" + labels + ",le=\"" + number_text(it.upper_bound(n)) + "\"} " +
               std::to_string(cumulative) + "\n";
    }
    out += name + "_bucket{" + labels + ",le=\"+Inf\"} " + std::to_string(it.count()) + "\n";
    out += name + "_sum{" + labels + "} " + number_text(seconds_of(it.sum())) + "\n";
    out += name + "_count{" + labels + "} " + std::to_string(it.count()) + "\n";
}

auto histogram_json(const duration_histogram& it) -> nlohmann::json
{
    auto buckets = nlohmann::json::array();
    for (unsigned n = 0; n <= duration_histogram::bucket_count; ++n) {
        if (it.at(n) > 0) {
            bool is_bounded = n < duration_histogram::bucket_count;
            nlohmann::json bound = is_bounded ? nlohmann::json(it.upper_bound(n)) : nullptr;
            buckets.push_back({{"le_s", bound}, {"count", it.at(n)}});
        }
    }
    return {{"count", it.count()},          {"sum_s", seconds_of(it.sum())},
            {"p50_s", it.quantile(0.5)},    {"p99_s", it.quantile(0.99)},
            {"p999_s", it.quantile(0.999)}, {"buckets", buckets}};
}

} // namespace

auto to_string(request_end it) -> std::string_view
{
    constexpr std::array<std::string_view, request_end_count> names{"answered", "failed", "not-run",
                                                                    "unknown", "canceled"};
    return names.at(static_cast<std::size_t>(it));
}

duration_histogram::duration_histogram()
    : values_{std::make_tuple(axis{bucket_count, shortest_seconds, longest_seconds}), storage{}}
{
}

auto duration_histogram::add(duration it) -> void
{
    values_(seconds_of(it));
    sum_ += it;
    ++count_;
}

auto duration_histogram::merge(const duration_histogram& other) -> void
{
    values_ += other.values_;
    sum_ += other.sum_;
    count_ += other.count_;
}

auto duration_histogram::upper_bound(unsigned bucket) const -> double
{
    return values_.axis(0).bin(static_cast<int>(bucket)).upper();
}

auto duration_histogram::at(unsigned bucket) const -> std::uint64_t
{
    auto value = values_.at(static_cast<int>(bucket));
    return bucket == 0 ? value + values_.at(-1) : value;
}

auto duration_histogram::quantile(double q) const -> double
{
    auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
    std::uint64_t cumulative = 0;
    for (unsigned n = 0; n < bucket_count; ++n) {
        cumulative += at(n);
        if (cumulative >= rank && cumulative > 0) {
            return upper_bound(n);
        }
    }
    return count_ > 0 ? longest_seconds : 0.0;
}

auto request_series::merge(const request_series& other) -> void
{
    latency.merge(other.latency);
    queue_time.merge(other.queue_time);
    for (std::size_t n = 0; n < ends.size(); ++n) {
        ends[n] += other.ends[n];
    }
}

request_metrics::request_metrics(std::size_t max_tenants) : max_tenants_{max_tenants} {}

auto request_metrics::find_or_add(std::string_view tenant, request_class priority)
    -> request_series&
{
    series_key key{std::string{tenant}, priority};
    auto it = series_.find(key);
    if (it != series_.end()) {
        return it->second;
    }
    bool is_full = series_.size() >= max_tenants_ * request_class_count;
    if (is_full) {
        key.tenant = other_tenant;
    }
    return series_[key];
}

auto request_metrics::record_end(const tenant_id& tenant, request_class priority, request_end end,
                                 duration latency) -> void
{
    auto& it = find_or_add(tenant.value(), priority);
    it.latency.add(latency);
    ++it.ends.at(static_cast<std::size_t>(end));
}

auto request_metrics::record_queue_time(const tenant_id& tenant, request_class priority,
                                        duration waited) -> void
{
    find_or_add(tenant.value(), priority).queue_time.add(waited);
}

auto request_metrics::merge(const request_metrics& other) -> void
{
    for (const auto& [key, it] : other.series_) {
        find_or_add(key.tenant, key.priority).merge(it);
    }
}

auto request_metrics::to_text() const -> std::string
{
    const std::string latency = "cornelswitch_request_seconds";
    const std::string queue_time = "cornelswitch_queue_seconds";
    std::string out = "# TYPE " + latency + " histogram\n";
    for (const auto& [key, it] : series_) {
        append_histogram(out, latency, labels(key), it.latency);
    }
    out += "# TYPE " + queue_time + " histogram\n";
    for (const auto& [key, it] : series_) {
        append_histogram(out, queue_time, labels(key), it.queue_time);
    }
    out += "# TYPE cornelswitch_requests_total counter\n";
    for (const auto& [key, it] : series_) {
        for (std::size_t n = 0; n < it.ends.size(); ++n) {
            out += "cornelswitch_requests_total{" + labels(key) + ",outcome=\"" +
                   std::string{to_string(static_cast<request_end>(n))} + "\"} " +
                   std::to_string(it.ends[n]) + "\n";
        }
    }
    return out;
}

auto request_metrics::to_json(std::string_view tenant, std::string_view priority) const
    -> std::string
{
    auto out = nlohmann::json::array();
    for (const auto& [key, it] : series_) {
        bool is_wanted = (tenant.empty() || key.tenant == tenant) &&
                         (priority.empty() || to_string(key.priority) == priority);
        if (!is_wanted) {
            continue;
        }
        nlohmann::json ends;
        for (std::size_t n = 0; n < it.ends.size(); ++n) {
            ends[std::string{to_string(static_cast<request_end>(n))}] = it.ends[n];
        }
        out.push_back({{"tenant", key.tenant},
                       {"class", to_string(key.priority)},
                       {"outcomes", ends},
                       {"latency", histogram_json(it.latency)},
                       {"queue_time", histogram_json(it.queue_time)}});
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cornelswitch
