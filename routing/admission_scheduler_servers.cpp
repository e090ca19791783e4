#include "core/milliseconds.h"
#include "routing/admission_scheduler.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// Assumed work of a class without samples, in ms: a medium value among the usual kinds of
/// requests.
constexpr double initial_work_ms = 120.0;
/// Weight of one sample; a server that turns slow is noticed within about five responses.
constexpr double service_time_factor_weight = 0.15;
/// The reported slowness changes several times a second, so its mean needs about 20 responses.
constexpr double slowness_weight = 0.08;
constexpr double work_weight = 0.05;
constexpr double failure_weight = 0.1;
/// Bounds of a server's service time factor, so that one outlier cannot exclude the server
/// permanently.
constexpr double min_service_time_factor = 0.2;
constexpr double max_service_time_factor = 20.0;
/// Age at which a reported slowness has half its weight; it changes several times a second.
constexpr double slowness_half_life_ms = 300.0;
/// Minimum time until the keys of an unusable server have moved to another one.
constexpr duration min_key_move_time = milliseconds{400};
/// Time after which a suspect server is tried again without a new heartbeat.
constexpr duration suspect_retry_delay = std::chrono::seconds{4};
/// Extra delay of a request to another zone, in ms.
constexpr double cross_zone_penalty_ms = 3.0;
/// Penalty on the score of a server in another zone if the response is large, in ms.
constexpr double large_response_cross_zone_penalty_ms = 150.0;
/// A request with a large response waits for a server in its zone for this part of its latency
/// objective (one third).
constexpr int local_zone_wait_divisor = 3;
/// Requests beyond its slots that an independently scheduling instance may have at a server. The
/// slots are shared with the requests of other instances.
constexpr std::uint32_t independent_overcommit = 1;
/// The capacity of a server is discounted if its service time exceeds the mean objective divided by
/// this.
constexpr double capacity_discount_divisor = 3.0;
constexpr double capacity_discount_exponent = 0.5;

} // namespace

auto admission_scheduler::set_servers(const std::vector<schedulable_server>& servers,
                                      time_point now) -> void
{
    std::map<server_id, server_state> next;
    for (const auto& it : servers) {
        auto known = servers_.find(it.id);
        bool is_same_process =
            known != servers_.end() && known->second.info.incarnation == it.incarnation;
        server_state state;
        if (is_same_process) {
            state = std::move(known->second);
        } else if (known != servers_.end()) {
            // Requests of the previous process end when their connections close.
            state.in_flight = known->second.in_flight;
        }
        state.info = it;
        state.is_suspect = state.is_suspect && it.last_heartbeat_at <= state.suspect_since;
        next.emplace(it.id, std::move(state));
    }
    servers_ = std::move(next);
    update_capacity();
    resolve_owners();
    dispatch_all(now);
}

auto admission_scheduler::expected_work(work_class work) const -> duration
{
    auto it = mean_work_ms_.find(work.value());
    return from_ms(it == mean_work_ms_.end() ? initial_work_ms : it->second);
}

auto admission_scheduler::expected_time(const server_state& server, work_class work,
                                        time_point now) const -> duration
{
    double age = to_ms(now - server.slowness_reported_at);
    double sample_weight = std::exp2(-age / slowness_half_life_ms);
    double slowness =
        server.mean_slowness + (server.slowness - server.mean_slowness) * sample_weight;
    return from_ms(to_ms(expected_work(work)) * server.service_time_factor * slowness);
}

auto admission_scheduler::is_avoided(const server_state& server, time_point now) -> bool
{
    return server.is_suspect && now < server.suspect_since + suspect_retry_delay;
}

auto admission_scheduler::may_send(server_state& server, const admission_request& request,
                                   time_point now) -> bool
{
    if (!server.info.is_usable || now < server.shed_until) {
        return false;
    }
    if (is_avoided(server, now)) {
        return false;
    }
    auto limit = server.info.slots + (settings_.is_coordinator ? 0 : independent_overcommit);
    if (server.in_flight >= limit || !cold_limit_allows(server, now) ||
        !rate_limit_allows(server, now)) {
        return false;
    }
    return !is_blocked(request.source, server.info.id, now);
}

auto admission_scheduler::is_blocked(admission_source source, const server_id& server,
                                     time_point now) const -> bool
{
    auto is_active = [&](const auto& blocks) {
        auto it = blocks.find({source, server});
        return it != blocks.end() && now < it->second;
    };
    return is_active(unreachable_) || is_active(held_off_);
}

auto admission_scheduler::holds_off_other_sources(admission_source source, const server_id& server,
                                                  time_point now) const -> bool
{
    return std::ranges::any_of(held_off_, [&](const auto& it) {
        return it.first.second == server && it.first.first != source && now < it.second;
    });
}

auto admission_scheduler::score(const server_state& server, const admission_request& request,
                                time_point now) const -> double
{
    double ms = to_ms(expected_time(server, request.work, now));
    if (server.info.zone != request.zone) {
        ms += request.has_large_response ? large_response_cross_zone_penalty_ms
                                         : cross_zone_penalty_ms;
    }
    // On most servers a second concurrent request takes longer, and an idle server may turn slow.
    ms *= 1.0 + 0.1 * server.in_flight / std::max(1U, server.info.slots);
    return ms * (1.0 + 4.0 * server.failure_rate);
}

auto admission_scheduler::available_servers(time_point now) -> std::vector<server_state*>
{
    std::vector<server_state*> out;
    auto overcommit = settings_.is_coordinator ? 0 : independent_overcommit;
    for (auto& [id, server] : servers_) {
        if (server.info.is_usable && server.in_flight < server.info.slots + overcommit &&
            now >= server.shed_until && !is_avoided(server, now) &&
            cold_limit_allows(server, now) && rate_limit_allows(server, now)) {
            out.push_back(&server);
        }
    }
    return out;
}

auto admission_scheduler::pick(const admission_request& request,
                               const std::vector<server_state*>& available, time_point now)
    -> server_state*
{
    auto is_excluded = [&](const server_id& id) {
        return std::ranges::find(request.excluded, id) != request.excluded.end();
    };
    server_state* best = nullptr;
    double best_score = 0;
    for (auto* it : available) {
        if (is_excluded(it->info.id) || is_blocked(request.source, it->info.id, now)) {
            continue;
        }
        double value = score(*it, request, now);
        if (best == nullptr || value < best_score) {
            best = it;
            best_score = value;
        }
    }
    if (best == nullptr || !request.has_large_response || best->info.zone == request.zone) {
        return best;
    }
    auto local_zone_wait = (request.objective - request.received) / local_zone_wait_divisor;
    bool has_local = std::ranges::any_of(servers_, [&](const auto& it) {
        return it.second.info.zone == request.zone && it.second.info.is_usable &&
               !is_avoided(it.second, now) && !is_excluded(it.first);
    });
    return has_local && now < request.received + local_zone_wait ? nullptr : best;
}

auto admission_scheduler::update_capacity() -> void
{
    usable_capacity_ = 0;
    double all_slots = 0;
    double work_s = longest_work_ms() / 1000.0;
    for (const auto& [id, server] : servers_) {
        all_slots += server.info.slots;
        if (!server.info.is_usable || server.is_suspect) {
            continue;
        }
        double slots = server.info.slots / (server.service_time_factor * server.mean_slowness);
        if (auto limit = server.rate_limit.status()) {
            slots = std::min(slots, usable_rate(*limit).per_second * work_s);
        }
        usable_capacity_ += slots;
    }
    mean_slots_ =
        servers_.empty() ? 1.0 : std::max(1.0, all_slots / static_cast<double>(servers_.size()));
}

auto admission_scheduler::owner_usable_at(const server_id& owner, const admission_request& request,
                                          time_point now) const -> time_point
{
    auto out = now;
    auto it = servers_.find(owner);
    if (it == servers_.end() || !it->second.info.is_usable) {
        // The keys must move to another server first.
        return now + min_key_move_time;
    }
    if (it->second.is_suspect) {
        out = std::max(out, it->second.suspect_since + suspect_retry_delay);
    }
    for (const auto* blocks : {&unreachable_, &held_off_}) {
        if (auto blocked = blocks->find({request.source, owner}); blocked != blocks->end()) {
            out = std::max(out, blocked->second);
        }
    }
    return out;
}

auto admission_scheduler::update_estimates(server_state& server, const running_request& run,
                                           const attempt_report& report, time_point now) -> void
{
    if (report.slowness_percent > 0) {
        server.slowness = report.slowness_percent / 100.0;
        server.slowness_reported_at = now;
        server.mean_slowness += slowness_weight * (server.slowness - server.mean_slowness);
    }
    bool is_failed =
        report.outcome == attempt_outcome::shed || report.outcome == attempt_outcome::broken;
    if (is_failed || report.outcome == attempt_outcome::answered) {
        server.failure_rate += failure_weight * ((is_failed ? 1.0 : 0.0) - server.failure_rate);
    }
    if (report.outcome != attempt_outcome::answered || run.work.value() == 0 ||
        report.service_time <= duration::zero()) {
        return;
    }
    double work = to_ms(expected_work(run.work));
    double observed_ms = to_ms(report.service_time) / server.slowness;
    double ratio = std::clamp(observed_ms / work, min_service_time_factor, max_service_time_factor);
    double observed_work_ms =
        std::clamp(observed_ms / server.service_time_factor, 0.1 * work, 10.0 * work);
    server.service_time_factor += service_time_factor_weight * (ratio - server.service_time_factor);
    auto [known, is_first] = mean_work_ms_.try_emplace(run.work.value(), work);
    known->second += (is_first ? 0.5 : work_weight) * (observed_work_ms - known->second);
}

auto admission_scheduler::longest_work_ms() const -> double
{
    if (mean_work_ms_.empty()) {
        return initial_work_ms;
    }
    double out = 0;
    for (const auto& [id, ms] : mean_work_ms_) {
        out = std::max(out, ms);
    }
    return out;
}

auto admission_scheduler::capacity(const server_id& server) const -> double
{
    auto it = servers_.find(server);
    if (it == servers_.end()) {
        return 0;
    }
    double ms = longest_work_ms() * it->second.service_time_factor * it->second.mean_slowness;
    // A server whose service time takes up much of the objective has little time left for a queue,
    // so its capacity is discounted.
    double objective_ratio = mean_keyed_objective_ms_ > 0
                                 ? mean_keyed_objective_ms_ / (capacity_discount_divisor * ms)
                                 : 1.0;
    double out = 1000.0 * it->second.info.slots / ms *
                 std::pow(std::min(1.0, objective_ratio), capacity_discount_exponent);
    auto limit = it->second.rate_limit.status();
    return limit ? std::min(out, limit->sending_rate().per_second) : out;
}

auto admission_scheduler::running_on(const server_id& server) const -> std::size_t
{
    auto it = servers_.find(server);
    return it == servers_.end() ? 0 : it->second.in_flight;
}

auto admission_scheduler::is_suspect(const server_id& server) const -> bool
{
    auto it = servers_.find(server);
    return it != servers_.end() && it->second.is_suspect;
}

} // namespace cornelswitch
