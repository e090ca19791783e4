#include "core/milliseconds.h"
#include "routing/admission_scheduler.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// Work of a class that has not been measured, in ms: the middle of the users' kinds of request.
constexpr double initial_work_ms = 120.0;
/// Weight of one observation; a server that turns slow is noticed within about five answers.
constexpr double factor_weight = 0.15;
/// The figure changes several times a second, so its mean needs some twenty answers.
constexpr double slowness_weight = 0.08;
constexpr double work_weight = 0.05;
constexpr double failure_weight = 0.1;
/// Bounds of a server's factor, so that one odd answer cannot take it out for good.
constexpr double min_factor = 0.2;
constexpr double max_factor = 20.0;
/// Age at which a server's own slowness figure counts half; it changes several times a second.
constexpr double slowness_half_life_ms = 300.0;
/// Shortest time that keys need to move away from a server that may not be used.
constexpr duration owner_absence = milliseconds{400};
/// A server that could not be reached is treated as cold until its next heartbeat, at most so long.
constexpr duration restart_doubt = std::chrono::seconds{6};
/// Without a new heartbeat, a suspect server is tried again after this time.
constexpr duration suspect_time = std::chrono::seconds{4};
/// Share of a cold server's limit that the scheduling instance uses; the rest is left to instances
/// that lost contact with it, and to a predecessor that has not heard of its replacement.
constexpr double authority_cold_share = 0.4;
constexpr double independent_cold_share = 0.2;
constexpr duration cold_window = std::chrono::seconds{1};
/// Delay that a request to another zone costs, in ms.
constexpr double cross_zone_ms = 3.0;
/// A large response from another zone is worth this much waiting, in ms.
constexpr double bulky_cross_zone_ms = 150.0;
/// Part of its latency objective for which a bulky request waits for a server in its zone.
constexpr int bulky_patience_divisor = 3;
/// Without contact to the scheduling instance, one instance may have this many requests more than
/// its slots at a server, because the slots are shared with callers of other instances.
constexpr std::uint32_t independent_overcommit = 1;
/// Service time, as a divisor of the objective, above which a server counts for less.
constexpr double comfort_divisor = 3.0;
constexpr double comfort_exponent = 0.5;

} // namespace

auto admission_scheduler::set_servers(const std::vector<schedulable_server>& servers,
                                      time_point now) -> void
{
    std::map<server_id, server_state> next;
    for (const auto& it : servers) {
        auto known = servers_.find(it.id);
        bool is_same = known != servers_.end() && known->second.info.incarnation == it.incarnation;
        server_state state;
        if (is_same) {
            state = std::move(known->second);
        } else if (known != servers_.end()) {
            // Requests of the earlier process end with their connections.
            state.in_flight = known->second.in_flight;
        }
        state.info = it;
        state.is_suspect = state.is_suspect && it.heard_at <= state.suspect_since;
        next.emplace(it.id, std::move(state));
    }
    servers_ = std::move(next);
    update_capacity();
    resolve_owners();
    dispatch_all(now);
}

auto admission_scheduler::expected_work(work_class work) const -> duration
{
    auto it = work_ms_.find(work.value());
    return from_ms(it == work_ms_.end() ? initial_work_ms : it->second);
}

auto admission_scheduler::expected_time(const server_state& server, work_class work,
                                        time_point now) const -> duration
{
    double age = to_ms(now - server.slowness_at);
    double trust = std::exp2(-age / slowness_half_life_ms);
    double slowness = server.usual_slowness + (server.slowness - server.usual_slowness) * trust;
    return from_ms(to_ms(expected_work(work)) * server.factor * slowness);
}

auto admission_scheduler::cold_allows(server_state& server, time_point now) const -> bool
{
    while (!server.cold_sends.empty() && server.cold_sends.front() + cold_window <= now) {
        server.cold_sends.pop_front();
    }
    bool may_have_restarted = server.unsure_since != time_point{} &&
                              server.info.heard_at <= server.unsure_since &&
                              now < server.unsure_since + restart_doubt;
    if (now >= server.info.cold_until && !may_have_restarted) {
        server.cold_pace.reset();
        return true;
    }
    if (settings_.is_authority) {
        auto most = std::max(1.0, std::floor(settings_.cold_limit * authority_cold_share));
        return static_cast<double>(server.cold_sends.size()) < most && server.in_flight < 1;
    }
    double interval_s =
        settings_.instances / std::max(0.1, settings_.cold_limit * independent_cold_share);
    auto interval = std::max(cold_window, from_ms(interval_s * 1000.0));
    return server.cold_pace.may_act(now, interval, random_);
}

auto admission_scheduler::is_avoided(const server_state& server, time_point now) -> bool
{
    return server.is_suspect && now < server.suspect_since + suspect_time;
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
    auto limit = server.info.slots + (settings_.is_authority ? 0 : independent_overcommit);
    if (server.in_flight >= limit || !cold_allows(server, now)) {
        return false;
    }
    return !is_blocked(request.source, server.info.id, now);
}

auto admission_scheduler::is_blocked(admission_source source, const server_id& server,
                                     time_point now) const -> bool
{
    auto is_in_force = [&](const auto& blocks) {
        auto it = blocks.find({source, server});
        return it != blocks.end() && now < it->second;
    };
    return is_in_force(unreachable_) || is_in_force(held_off_);
}

auto admission_scheduler::holds_off_others(admission_source source, const server_id& server,
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
        ms += request.is_bulky ? bulky_cross_zone_ms : cross_zone_ms;
    }
    // The second request on a server finishes later on most servers, and a free one may turn slow.
    ms *= 1.0 + 0.1 * server.in_flight / std::max(1U, server.info.slots);
    return ms * (1.0 + 4.0 * server.failure_rate);
}

auto admission_scheduler::free_servers(time_point now) -> std::vector<server_state*>
{
    std::vector<server_state*> out;
    auto overcommit = settings_.is_authority ? 0 : independent_overcommit;
    for (auto& [id, server] : servers_) {
        if (server.info.is_usable && server.in_flight < server.info.slots + overcommit &&
            now >= server.shed_until && !is_avoided(server, now) && cold_allows(server, now)) {
            out.push_back(&server);
        }
    }
    return out;
}

auto admission_scheduler::pick(const admission_request& request,
                               const std::vector<server_state*>& free, time_point now)
    -> server_state*
{
    auto is_excluded = [&](const server_id& id) {
        return std::ranges::find(request.excluded, id) != request.excluded.end();
    };
    server_state* best = nullptr;
    double best_score = 0;
    for (auto* it : free) {
        if (is_excluded(it->info.id) || is_blocked(request.source, it->info.id, now)) {
            continue;
        }
        double value = score(*it, request, now);
        if (best == nullptr || value < best_score) {
            best = it;
            best_score = value;
        }
    }
    if (best == nullptr || !request.is_bulky || best->info.zone == request.zone) {
        return best;
    }
    auto patience = (request.objective - request.received) / bulky_patience_divisor;
    bool has_local = std::ranges::any_of(servers_, [&](const auto& it) {
        return it.second.info.zone == request.zone && it.second.info.is_usable &&
               !is_avoided(it.second, now) && !is_excluded(it.first);
    });
    return has_local && now < request.received + patience ? nullptr : best;
}

auto admission_scheduler::update_capacity() -> void
{
    usable_capacity_ = 0;
    for (const auto& [id, server] : servers_) {
        if (server.info.is_usable && !server.is_suspect) {
            usable_capacity_ += server.info.slots / (server.factor * server.usual_slowness);
        }
    }
}

auto admission_scheduler::owner_usable_at(const server_id& owner, const admission_request& request,
                                          time_point now) const -> time_point
{
    auto out = now;
    auto it = servers_.find(owner);
    if (it == servers_.end() || !it->second.info.is_usable) {
        // Its keys have to move first.
        return now + owner_absence;
    }
    if (it->second.is_suspect) {
        out = std::max(out, it->second.suspect_since + suspect_time);
    }
    for (const auto* blocks : {&unreachable_, &held_off_}) {
        if (auto blocked = blocks->find({request.source, owner}); blocked != blocks->end()) {
            out = std::max(out, blocked->second);
        }
    }
    return out;
}

auto admission_scheduler::learn(server_state& server, const running_request& run,
                                const attempt_report& report, time_point now) -> void
{
    if (report.slowness_percent > 0) {
        server.slowness = report.slowness_percent / 100.0;
        server.slowness_at = now;
        server.usual_slowness += slowness_weight * (server.slowness - server.usual_slowness);
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
    double seen = to_ms(report.service_time) / server.slowness;
    double ratio = std::clamp(seen / work, min_factor, max_factor);
    double per_server = std::clamp(seen / server.factor, 0.1 * work, 10.0 * work);
    server.factor += factor_weight * (ratio - server.factor);
    auto [known, is_first] = work_ms_.try_emplace(run.work.value(), work);
    known->second += (is_first ? 0.5 : work_weight) * (per_server - known->second);
}

auto admission_scheduler::capacity(const server_id& server) const -> double
{
    auto it = servers_.find(server);
    if (it == servers_.end()) {
        return 0;
    }
    double work = initial_work_ms;
    if (!work_ms_.empty()) {
        work = 0;
        for (const auto& [id, ms] : work_ms_) {
            work = std::max(work, ms);
        }
    }
    double ms = work * it->second.factor * it->second.usual_slowness;
    // A server that needs much of the objective for the work alone has little time left for a
    // queue, so it is counted for less than it could complete.
    double comfort = keyed_objective_ms_ > 0 ? keyed_objective_ms_ / (comfort_divisor * ms) : 1.0;
    return 1000.0 * it->second.info.slots / ms * std::pow(std::min(1.0, comfort), comfort_exponent);
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
