#include "core/milliseconds.h"
#include "routing/admission_scheduler.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

/// An unreachable server may have restarted, so it is treated as cold until its next heartbeat, but
/// no longer than this.
constexpr duration max_restart_uncertainty = std::chrono::seconds{6};
/// Share of a cold server's limit that the coordinator uses. The rest is left to instances that
/// have lost contact with it and to a previous coordinator that does not know of its replacement.
constexpr double coordinator_cold_share = 0.4;
constexpr double independent_cold_share = 0.2;
/// Share of a server's rate limit for all instances together that have lost contact with the
/// coordinator. The coordinator uses the whole limit, and as much as this share while a predecessor
/// may still use the whole.
constexpr double independent_limit_share = 0.25;
/// Time for which a server's unused rate limit is kept.
constexpr double limit_burst_s = 1.0;
constexpr duration cold_window = std::chrono::seconds{1};

/// Most requests that a rate limit which was not used up allows at once.
auto limit_burst(request_rate rate) -> double
{
    return std::max(1.0, rate.per_second * limit_burst_s);
}

} // namespace

auto admission_scheduler::configure(admission_settings settings, time_point now) -> void
{
    bool becomes_coordinator = settings.is_coordinator && !settings_.is_coordinator;
    settings_ = settings;
    value_ = admission_value{settings.value};
    for (auto& [id, server] : servers_) {
        if (becomes_coordinator) {
            // The previous coordinator may just have used up the limit.
            server.rate_limit_tokens.restart(now);
        }
    }
}

auto admission_scheduler::cold_limit_allows(server_state& server, time_point now) const -> bool
{
    while (!server.cold_sends.empty() && server.cold_sends.front() + cold_window <= now) {
        server.cold_sends.pop_front();
    }
    bool may_have_restarted = server.last_unreachable_at != time_point{} &&
                              server.info.last_heartbeat_at <= server.last_unreachable_at &&
                              now < server.last_unreachable_at + max_restart_uncertainty;
    if (now >= server.info.cold_until && !may_have_restarted) {
        server.cold_rate_limiter.reset();
        return true;
    }
    if (settings_.is_coordinator) {
        auto max_sends = std::max(1.0, std::floor(settings_.cold_limit * coordinator_cold_share));
        return static_cast<double>(server.cold_sends.size()) < max_sends && server.in_flight < 1;
    }
    double interval_s =
        settings_.instances / std::max(0.1, settings_.cold_limit * independent_cold_share);
    auto interval = std::max(cold_window, from_ms(interval_s * 1000.0));
    return server.cold_rate_limiter.may_act(now, interval, random_);
}

auto admission_scheduler::usable_rate(const rate_limit_status& limit) const -> request_rate
{
    double share =
        settings_.is_coordinator && !settings_.may_have_predecessor ? 1.0 : independent_limit_share;
    if (!settings_.is_coordinator) {
        share /= std::max(1U, settings_.instances);
    }
    return {limit.sending_rate().per_second * share};
}

auto admission_scheduler::rate_limit_allows(server_state& server, time_point now) const -> bool
{
    auto limit = server.rate_limit.status();
    if (!limit) {
        server.rate_limit_turns.reset();
        return true;
    }
    if (settings_.is_coordinator) {
        refill(server, *limit, now);
        return server.rate_limit_tokens.may_take();
    }
    auto interval = from_ms(1000.0 / usable_rate(*limit).per_second);
    return server.rate_limit_turns.may_act(now, interval, random_);
}

auto admission_scheduler::refill(server_state& server, const rate_limit_status& limit,
                                 time_point now) const -> void
{
    auto rate = usable_rate(limit);
    server.rate_limit_tokens.refill(rate, limit_burst(rate), now);
}

auto admission_scheduler::rate_limit_wait(const server_state& server, std::size_t ahead,
                                          time_point now) const -> duration
{
    auto limit = server.rate_limit.status();
    if (!limit) {
        return duration::zero();
    }
    auto rate = usable_rate(*limit);
    if (settings_.is_coordinator) {
        auto tokens = server.rate_limit_tokens;
        tokens.refill(rate, limit_burst(rate), now);
        return tokens.time_until(static_cast<double>(ahead) + 1.0, rate);
    }
    auto interval = from_ms(1000.0 / rate.per_second);
    auto turns = server.rate_limit_turns;
    return std::max(duration::zero(), turns.next_turn(now, interval, random_) - now) +
           interval * static_cast<std::int64_t>(ahead);
}

auto admission_scheduler::owner_limit_wait(const admission_request& request, time_point now) const
    -> duration
{
    auto it = request.owner ? servers_.find(*request.owner) : servers_.end();
    if (it == servers_.end()) {
        return duration::zero();
    }
    const auto* queue = find_queue(request);
    std::size_t ahead = 0;
    if (queue != nullptr) {
        ahead = static_cast<std::size_t>(std::ranges::count_if(
            *queue, [&](const auto& other) { return !is_sent_before(request, other); }));
    }
    return rate_limit_wait(it->second, ahead, now);
}

auto admission_scheduler::has_ready_limited_server(time_point now) const -> bool
{
    return std::ranges::any_of(servers_, [&](const auto& it) {
        const auto& server = it.second;
        return server.rate_limit.status() && server.info.is_usable &&
               server.in_flight < server.info.slots && !is_avoided(server, now) &&
               rate_limit_wait(server, 0, now) == duration::zero();
    });
}

auto admission_scheduler::begin_turns(const admission_request& request, time_point now) -> void
{
    auto it = request.owner ? servers_.find(*request.owner) : servers_.end();
    if (it != servers_.end()) {
        // The first call draws the turn; the answer does not matter here.
        rate_limit_allows(it->second, now);
    }
}

auto admission_scheduler::count_limited_request(server_state& server, time_point now) -> void
{
    if (server.rate_limit.status()) {
        server.rate_limit_tokens.take();
        server.rate_limit_turns.on_act(now);
    }
}

auto admission_scheduler::try_take_health_check(const server_id& server, time_point now) -> bool
{
    auto it = servers_.find(server);
    if (it == servers_.end() || !it->second.rate_limit.status()) {
        return true;
    }
    auto queue = owner_queues_.find(server);
    bool has_waiting =
        !shared_queue_.empty() || (queue != owner_queues_.end() && !queue->second.empty());
    if (has_waiting || !rate_limit_allows(it->second, now)) {
        return false;
    }
    count_limited_request(it->second, now);
    return true;
}

auto admission_scheduler::are_all_servers_limited(const admission_request& request) const -> bool
{
    auto is_limited = [](const server_state& it) { return it.rate_limit.status().has_value(); };
    if (follows_owner(request)) {
        auto it = request.owner ? servers_.find(*request.owner) : servers_.end();
        return it != servers_.end() && is_limited(it->second);
    }
    return std::ranges::all_of(servers_, [&](const auto& it) {
        return !it.second.info.is_usable || is_limited(it.second);
    });
}

auto admission_scheduler::apply_rate_limit(server_state& server, const running_request& run,
                                           const rate_limit_notice& notice,
                                           const instance_id& reporter, time_point now) -> void
{
    if (run.incarnation == server.info.incarnation) {
        update_rate_limit(server, notice.limit, run.started, now - notice.age, reporter, now);
    }
}

auto admission_scheduler::apply_rate_limit(const server_rate_limit_report& report,
                                           const instance_id& reporter, time_point now) -> void
{
    auto it = servers_.find(report.server);
    if (it != servers_.end() && it->second.info.incarnation == report.incarnation) {
        update_rate_limit(it->second, report.limit, now - report.requested_age,
                          now - report.answered_age, reporter, now);
    }
}

auto admission_scheduler::update_rate_limit(server_state& server,
                                            const std::optional<request_rate>& limit,
                                            time_point requested_at, time_point answered_at,
                                            const instance_id& reporter, time_point now) -> void
{
    if (auto previous = server.rate_limit.status()) {
        refill(server, *previous, now);
    } else {
        server.rate_limit_tokens.restart(now);
    }
    bool is_changed = server.rate_limit.on_notice(limit, requested_at, answered_at);
    auto applied = server.rate_limit.status();
    if (applied && applied->limit == limit) {
        server.rate_limit_reporter = reporter;
    }
    if (is_changed && on_rate_limit_change_) {
        on_rate_limit_change_(server.info.id, applied_limit(server, now));
    }
}

auto admission_scheduler::known_rate_limits(time_point now) const
    -> std::vector<server_rate_limit_report>
{
    std::vector<server_rate_limit_report> out;
    for (const auto& [id, server] : servers_) {
        if (auto status = server.rate_limit.status()) {
            out.push_back({id, server.info.incarnation, status->limit, now - status->requested_at,
                           now - status->answered_at});
        }
    }
    return out;
}

auto admission_scheduler::applied_limit(const server_state& server, time_point now)
    -> std::optional<applied_rate_limit>
{
    auto status = server.rate_limit.status();
    if (!status) {
        return std::nullopt;
    }
    return applied_rate_limit{status->limit, now - status->answered_at, server.rate_limit_reporter};
}

auto admission_scheduler::rate_limit(const server_id& server, time_point now) const
    -> std::optional<applied_rate_limit>
{
    auto it = servers_.find(server);
    return it == servers_.end() ? std::nullopt : applied_limit(it->second, now);
}

auto admission_scheduler::rate_limits() const -> std::pair<std::size_t, request_rate>
{
    std::pair<std::size_t, request_rate> out{0, {}};
    for (const auto& [id, server] : servers_) {
        if (auto status = server.rate_limit.status()) {
            ++out.first;
            out.second.per_second += status->limit.per_second;
        }
    }
    return out;
}

} // namespace cornelswitch
