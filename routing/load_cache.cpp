#include "routing/load_cache.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr double latency_weight = 0.2;
// At higher quantiles (0.95, 0.98), hedges are sent too late to lower the p99 (docs/load.md). The
// hedge budget bounds the extra load.
constexpr double hedge_quantile = 0.90;
// Penalty on the expected time of a server for each consecutive failure. It applies for as long as
// the total penalty.
constexpr duration failure_penalty = std::chrono::milliseconds{50};
constexpr std::uint32_t max_counted_failures = 20;

} // namespace

auto load_cache::on_sent(const service_id& service, const server_id& server, time_point now) -> void
{
    services_.try_emplace(service);
    servers_[server].sent.insert(now);
}

auto load_cache::on_failed(const server_id& server, bool counts_against_server, time_point sent,
                           time_point now) -> void
{
    auto& it = remove_outstanding(server, sent);
    if (counts_against_server) {
        it.failures = std::min(it.failures + 1, max_counted_failures);
        it.failed_at = now;
    }
}

auto load_cache::on_response(const service_id& service, const server_id& server, time_point sent,
                             time_point now) -> void
{
    auto& it = remove_outstanding(server, sent);
    auto latency = now - sent;
    it.failures = 0;
    auto sample = static_cast<double>(latency.count());
    it.latency = it.latency == 0 ? sample : it.latency + latency_weight * (sample - it.latency);
    auto& service_load = services_[service];
    service_load.stragglers.on_latency(server, latency, now);
    if (!service_load.stragglers.is_straggler(server)) {
        service_load.latencies.add(latency);
    }
}

auto load_cache::on_cancelled(const service_id& service, const server_id& server, time_point sent,
                              time_point now) -> void
{
    remove_outstanding(server, sent);
    services_[service].stragglers.on_lower_bound(server, now - sent, now);
}

auto load_cache::on_sample(const server_id& server, const load_sample& sample, time_point now)
    -> void
{
    auto& it = servers_[server];
    it.sample = sample;
    it.sampled_at = now;
    it.sample_outstanding = static_cast<std::uint32_t>(it.sent.size());
}

auto load_cache::expected_time(const server_id& server, time_point now) const -> duration
{
    auto found = servers_.find(server);
    if (found == servers_.end()) {
        return duration{0};
    }
    const auto& it = found->second;
    auto fresh = it.sample && now - it.sampled_at < sample_lifetime;
    auto service = duration{static_cast<duration::rep>(it.latency)};
    auto outstanding = static_cast<std::uint32_t>(it.sent.size());
    duration::rep load = outstanding;
    duration::rep limit = 1;
    if (fresh) {
        auto sent_since = std::max(outstanding, it.sample_outstanding) - it.sample_outstanding;
        load = it.sample->queued + it.sample->in_flight + sent_since;
        limit = std::max(1U, it.sample->limit);
        service = it.sample->service_time.count() > 0 ? it.sample->service_time : service;
    }
    auto waiting = std::max<duration::rep>(0, load + 1 - limit);
    auto penalty = duration{0};
    if (now - it.failed_at < failure_penalty * it.failures) {
        penalty = failure_penalty * it.failures;
    }
    return service + service * waiting / limit + penalty;
}

auto load_cache::outstanding(const server_id& server) const -> std::uint32_t
{
    auto it = servers_.find(server);
    return it == servers_.end() ? 0 : static_cast<std::uint32_t>(it->second.sent.size());
}

auto load_cache::accepts_work(const server_id& server, time_point now) const -> bool
{
    auto it = servers_.find(server);
    if (it == servers_.end() || !it->second.sample) {
        return true;
    }
    return it->second.sample->accepts_work || now - it->second.sampled_at >= sample_lifetime;
}

auto load_cache::is_straggler(const service_id& service, const server_id& server,
                              time_point now) const -> bool
{
    auto it = services_.find(service);
    if (it == services_.end()) {
        return false;
    }
    const auto& detector = it->second.stragglers;
    if (detector.is_straggler(server)) {
        return true;
    }
    // The age of an outstanding request reveals a slow server before its response arrives.
    auto server_load = servers_.find(server);
    return server_load != servers_.end() && !server_load->second.sent.empty() &&
           detector.is_slow(server, now - *server_load->second.sent.begin());
}

auto load_cache::take_probe(const service_id& service, const server_id& server, time_point now)
    -> bool
{
    auto it = services_.find(service);
    return it != services_.end() && it->second.stragglers.take_probe(server, now);
}

auto load_cache::configure(const service_id& service, double straggler_factor,
                           std::uint32_t entries) -> void
{
    auto& stragglers = services_[service].stragglers;
    stragglers.set_factor(straggler_factor);
    stragglers.set_entries(std::max(1U, entries));
}

auto load_cache::hedge_delay(const service_id& service) const -> std::optional<duration>
{
    auto it = services_.find(service);
    return it == services_.end() ? std::nullopt : it->second.latencies.quantile(hedge_quantile);
}

auto load_cache::remove_outstanding(const server_id& server, time_point sent) -> server_state&
{
    auto& it = servers_[server];
    auto found = it.sent.find(sent);
    if (found != it.sent.end()) {
        it.sent.erase(found);
    }
    auto outstanding = static_cast<std::uint32_t>(it.sent.size());
    it.sample_outstanding = std::min(it.sample_outstanding, outstanding);
    return it;
}

} // namespace cornelswitch
