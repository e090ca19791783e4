#include "bench/policy_bench/summary.h"

#include "core/milliseconds.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace cornelswitch::bench {

namespace {

auto share_percent(double part, double of) -> double
{
    return of > 0 ? 100 * part / of : 0;
}

auto is_violation(const request_record& it) -> bool
{
    auto ran_refused = it.result == request_result::not_run && it.starts > 0;
    auto ran_twice = !it.idempotent && it.starts > 1;
    return ran_refused || ran_twice || it.result == request_result::pending;
}

auto max_to_mean(const simulation& run) -> double
{
    auto servers = run.services().front().config.servers.size();
    double largest = 0;
    double sum = 0;
    for (std::uint32_t n = 0; n < servers; ++n) {
        auto starts = static_cast<double>(run.metrics(0, n).starts);
        largest = std::max(largest, starts);
        sum += starts;
    }
    return sum > 0 ? largest * static_cast<double>(servers) / sum : 0;
}

} // namespace

auto time_window::contains(time_point at) const -> bool
{
    for (auto n = 0; n < repeats; ++n) {
        if (at >= from + n * period && at < to + n * period) {
            return true;
        }
    }
    return false;
}

auto percentile(std::vector<double>& values, double q) -> double
{
    if (values.empty()) {
        return 0;
    }
    auto n = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    auto at = values.begin() + static_cast<std::ptrdiff_t>(n);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

auto latencies(const simulation& run, std::uint32_t service, time_window window,
               std::optional<request_class> priority) -> std::vector<double>
{
    std::vector<double> out;
    for (const auto& it : run.records()) {
        auto wanted = it.service == service && it.result == request_result::success &&
                      window.contains(it.arrival) && (!priority || it.priority == *priority);
        if (wanted) {
            out.push_back(to_ms(it.latency));
        }
    }
    return out;
}

auto latency_rows(const simulation& run, const std::string& name, time_window window,
                  duration caller_delay) -> std::vector<latency_row>
{
    std::vector<latency_row> out;
    for (std::uint32_t service = 0; service < run.services().size(); ++service) {
        for (auto priority : {request_class::interactive, request_class::bulk}) {
            auto values = latencies(run, service, window, priority);
            if (values.empty()) {
                continue;
            }
            auto round_trip = to_ms(2 * caller_delay);
            latency_row row;
            row.run = name;
            row.service = run.services()[service].config.name.value();
            row.priority = to_string(priority);
            row.requests = values.size();
            row.p50 = percentile(values, 0.5) + round_trip;
            row.p99 = percentile(values, 0.99) + round_trip;
            row.p999 = percentile(values, 0.999) + round_trip;
            out.push_back(std::move(row));
        }
    }
    return out;
}

auto summarize(const simulation& run, const std::string& name, time_window window) -> run_row
{
    run_row out;
    out.run = name;
    double arrived = 0;
    double answered = 0;
    for (const auto& it : run.records()) {
        out.violations += is_violation(it) ? 1 : 0;
        out.refused_not_run += it.result == request_result::not_run ? 1 : 0;
        out.refused_unknown += it.result == request_result::unknown ? 1 : 0;
        out.entry_lost += it.result == request_result::entry_lost ? 1 : 0;
        if (window.contains(it.arrival)) {
            ++arrived;
            answered += it.result == request_result::success ? 1 : 0;
        }
    }
    auto counters = run.counters();
    auto requests = static_cast<double>(counters.requests);
    out.goodput_percent = share_percent(answered, arrived);
    out.max_to_mean = max_to_mean(run);
    out.moves = run.moves();
    out.minimum_moves = run.minimum_moves();
    out.unavailable_key_seconds = run.unavailable_key_seconds();
    out.hedges_percent = share_percent(static_cast<double>(counters.hedges), requests);
    out.retries_percent = share_percent(static_cast<double>(counters.retries), requests);
    return out;
}

auto central_queue(const service_workload& workload, double load, std::size_t servers,
                   duration delay, std::uint64_t seed) -> std::vector<double>
{
    constexpr std::size_t requests = 20'000;
    constexpr int stages = 4;
    random_engine random{seed};
    auto exponential = [&] { return -std::log(1 - uniform_real(random)); };
    std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
    for (std::size_t n = 0; n < servers * workload.config.servers.front().concurrency; ++n) {
        free_at.push(0);
    }
    auto mean_interval_ms = 1000 / (workload.capacity() * load);
    double now = 0;
    std::vector<double> out;
    for (std::size_t n = 0; n < requests; ++n) {
        now += mean_interval_ms * exponential();
        double time = 0;
        for (auto k = 0; k < stages; ++k) {
            time += to_ms(workload.service_time) * exponential() / stages;
        }
        auto start = std::max(now, free_at.top());
        free_at.pop();
        free_at.push(start + time);
        out.push_back(start + time - now + to_ms(delay));
    }
    return out;
}

} // namespace cornelswitch::bench
