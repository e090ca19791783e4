#include "routing/admission_scheduler.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

auto to_ms(duration it) -> double
{
    return std::chrono::duration<double, std::milli>{it}.count();
}

auto from_ms(double ms) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

/// Work of a class that has not been measured, in ms: the middle of the users' kinds of request.
constexpr double initial_work_ms = 120.0;
/// Weight of one observation; a server that turns slow is noticed within about five answers.
constexpr double factor_weight = 0.15;
/// The figure changes several times a second, so its mean needs some twenty answers.
constexpr double slowness_weight = 0.08;
constexpr double work_weight = 0.05;
constexpr double failure_weight = 0.1;
constexpr double objective_weight = 0.05;
/// Bounds of a server's factor, so that one odd answer cannot take it out for good.
constexpr double min_factor = 0.2;
constexpr double max_factor = 20.0;
/// Age at which a server's own slowness figure counts half; it changes several times a second.
constexpr double slowness_half_life_ms = 300.0;
/// A failed connection keeps its source away from the server for this long.
constexpr duration unreachable_time = milliseconds{1500};
/// A server that sheds is left alone for this long.
constexpr duration shed_time = milliseconds{60};
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
/// Late requests that may wait for a server, as a multiple of its slots. They are worth less, so
/// they get only what those in time leave over, which under overload is nothing.
constexpr std::uint32_t late_per_slot = 1;
/// Shortest and longest time that a caller is told to stay away.
constexpr double min_retry_after_ms = 50.0;
constexpr double max_retry_after_ms = 2000.0;

} // namespace

auto to_string(refusal_cause cause) -> std::string_view
{
    switch (cause) {
    case refusal_cause::none:
        return "none";
    case refusal_cause::overload:
        return "overload";
    case refusal_cause::no_server:
        return "no-server";
    case refusal_cause::no_owner:
        return "no-owner";
    case refusal_cause::expired:
        return "expired";
    }
    return "unknown";
}

admission_scheduler::admission_scheduler(admission_settings settings, random_engine& random,
                                         decision_function decide)
    : settings_{settings}, random_{random}, decide_{std::move(decide)}
{
}

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
    dispatch(now);
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

auto admission_scheduler::estimate(const admission_request& request, time_point now) const
    -> duration
{
    if (request.key && settings_.is_keyed && owner_of_) {
        auto owner = owner_of_(*request.key);
        auto it = owner.server ? servers_.find(*owner.server) : servers_.end();
        if (it != servers_.end()) {
            return expected_time(it->second, request.work, now);
        }
    }
    return expected_work(request.work);
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
        return true;
    }
    if (settings_.is_authority) {
        auto most = std::max(1.0, std::floor(settings_.cold_limit * authority_cold_share));
        return static_cast<double>(server.cold_sends.size()) < most && server.in_flight < 1;
    }
    // Instances without contact to each other must not add up to more than the limit.
    double gap_s =
        settings_.instances / std::max(0.1, settings_.cold_limit * independent_cold_share);
    auto last = server.cold_sends.empty() ? time_point{} : server.cold_sends.back();
    return gap_s <= 1.0 ? server.cold_sends.empty()
                        : last + from_ms(gap_s * 1000.0) <= now && server.cold_sends.empty();
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
    auto blocked = unreachable_.find({request.source, server.info.id});
    return blocked == unreachable_.end() || now >= blocked->second;
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

auto admission_scheduler::pick(const admission_request& request, time_point now) -> server_state*
{
    server_state* best = nullptr;
    double best_score = 0;
    bool has_local = false;
    auto is_excluded = [&](const server_id& id) {
        return std::ranges::find(request.excluded, id) != request.excluded.end();
    };
    for (auto& [id, server] : servers_) {
        if (is_excluded(id)) {
            continue;
        }
        has_local = has_local || (server.info.zone == request.zone && server.info.is_usable &&
                                  !is_avoided(server, now));
        if (!may_send(server, request, now)) {
            continue;
        }
        double value = score(server, request, now);
        if (best == nullptr || value < best_score) {
            best = &server;
            best_score = value;
        }
    }
    if (best != nullptr && request.is_bulky && has_local && best->info.zone != request.zone) {
        auto patience = (request.objective - request.received) / bulky_patience_divisor;
        if (now < request.received + patience) {
            return nullptr;
        }
    }
    return best;
}

auto admission_scheduler::send(const admission_request& request, server_state& server,
                               time_point now) -> void
{
    ++server.in_flight;
    server.cold_sends.push_back(now);
    running_.insert_or_assign({request.source, request.id},
                              running_request{server.info.id, request.work, now, request.expires});
    admission_decision decision;
    decision.source = request.source;
    decision.id = request.id;
    decision.outcome = admission_outcome::send;
    decision.server = server.info.id;
    decision.waited = now - request.received;
    decision.queue_length = static_cast<std::uint32_t>(queue_.size());
    decide_(decision);
}

auto admission_scheduler::refuse(const admission_request& request, refusal_cause cause,
                                 duration retry_after, time_point now) -> void
{
    // Spread, so that the refused do not come back in one wave.
    double ms = std::clamp(to_ms(retry_after), min_retry_after_ms, max_retry_after_ms);
    ms *= 0.75 + 0.5 * uniform_real(random_);
    admission_decision decision;
    decision.source = request.source;
    decision.id = request.id;
    decision.cause = cause;
    decision.retry_after = from_ms(ms);
    decision.waited = now - request.received;
    decision.queue_length = static_cast<std::uint32_t>(queue_.size());
    decision.expected_wait = expected_wait(request, now);
    decide_(decision);
}

auto admission_scheduler::usable_capacity() const -> double
{
    double out = 0;
    for (const auto& [id, server] : servers_) {
        if (server.info.is_usable && !server.is_suspect) {
            out += server.info.slots / (server.factor * server.usual_slowness);
        }
    }
    return out;
}

auto admission_scheduler::expected_wait(const admission_request& request, time_point now) const
    -> duration
{
    if (request.key && settings_.is_keyed && owner_of_) {
        auto owner = owner_of_(*request.key);
        if (!owner.server) {
            return std::max(duration::zero(), owner.available_at - now);
        }
        auto it = servers_.find(*owner.server);
        if (it == servers_.end()) {
            return duration::zero();
        }
        std::size_t ahead = 0;
        for (const auto& other : queue_) {
            if (!other.key || other.objective > request.objective) {
                continue;
            }
            auto other_owner = owner_of_(*other.key);
            ahead += other_owner.server == owner.server ? 1 : 0;
        }
        auto slots = std::max(1U, it->second.info.slots);
        double busy = std::max(0.0, static_cast<double>(it->second.in_flight) - slots + 1) * 0.5;
        return from_ms(to_ms(expected_time(it->second, request.work, now)) *
                       (static_cast<double>(ahead) + busy) / slots);
    }
    double capacity = usable_capacity();
    if (capacity <= 0) {
        return duration::zero();
    }
    std::size_t ahead = 0;
    for (const auto& other : queue_) {
        bool is_before =
            other.priority < request.priority ||
            (other.priority == request.priority && other.objective <= request.objective);
        ahead += is_before ? 1 : 0;
    }
    return from_ms(to_ms(expected_work(request.work)) * (static_cast<double>(ahead) + 0.5) /
                   capacity);
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
    auto blocked = unreachable_.find({request.source, owner});
    return blocked == unreachable_.end() ? out : std::max(out, blocked->second);
}

auto admission_scheduler::refuse_if_hopeless(const admission_request& request, bool is_new,
                                             time_point now) -> bool
{
    auto work = estimate(request, now);
    if (now + work / 2 >= request.expires) {
        refuse(request, refusal_cause::expired, work, now);
        return true;
    }
    if (request.key && settings_.is_keyed && owner_of_) {
        auto owner = owner_of_(*request.key);
        if (!owner.server && owner.available_at + work > request.expires) {
            refuse(request, refusal_cause::no_owner, owner.available_at - now, now);
            return true;
        }
        auto usable_at = owner.server ? owner_usable_at(*owner.server, request, now) : now;
        if (usable_at + work > request.expires) {
            refuse(request, refusal_cause::no_server, usable_at - now, now);
            return true;
        }
    }
    if (!is_new) {
        return false;
    }
    if (!request.key || !settings_.is_keyed) {
        bool any = std::ranges::any_of(servers_, [&](const auto& it) {
            auto blocked = unreachable_.find({request.source, it.first});
            return it.second.info.is_usable && !is_avoided(it.second, now) &&
                   (blocked == unreachable_.end() || now >= blocked->second) &&
                   std::ranges::find(request.excluded, it.first) == request.excluded.end();
        });
        if (!any) {
            refuse(request, refusal_cause::no_server, milliseconds{500}, now);
            return true;
        }
    }
    auto wait = expected_wait(request, now);
    bool is_late = now + wait + work > request.objective;
    if (now + wait + work > request.expires || (is_late && late_room(request) == 0)) {
        refuse(request, refusal_cause::overload, wait / 2, now);
        return true;
    }
    return false;
}

auto admission_scheduler::late_room(const admission_request& request) const -> std::size_t
{
    std::optional<server_id> owner;
    double slots = usable_capacity();
    if (request.key && settings_.is_keyed && owner_of_) {
        owner = owner_of_(*request.key).server;
        auto it = owner ? servers_.find(*owner) : servers_.end();
        slots = it == servers_.end() ? 1 : it->second.info.slots;
    }
    std::size_t late = 0;
    for (const auto& it : queue_) {
        bool is_same = !owner || (it.key && owner_of_(*it.key).server == owner);
        late += is_same && (it.is_late || it.is_expected_late) ? 1 : 0;
    }
    auto most = static_cast<std::size_t>(std::max(1.0, slots)) * late_per_slot;
    return most > late ? most - late : 0;
}

auto admission_scheduler::submit(admission_request request, time_point now) -> void
{
    if (request.key && settings_.is_keyed) {
        double ms = to_ms(request.objective - request.received);
        keyed_objective_ms_ += objective_weight * (ms - keyed_objective_ms_);
    }
    if (refuse_if_hopeless(request, true, now)) {
        return;
    }
    request.is_expected_late =
        now + expected_wait(request, now) + estimate(request, now) > request.objective;
    queue_.push_back(std::move(request));
    dispatch(now);
}

auto admission_scheduler::withdraw(admission_source source, admission_id id) -> void
{
    std::erase_if(queue_, [&](const auto& it) { return it.source == source && it.id == id; });
    if (is_dispatching_) {
        // The request may be in the part of the queue that is being worked on.
        withdrawn_.emplace_back(source, id);
    }
}

auto admission_scheduler::adopt(admission_source source, admission_id id, const server_id& server,
                                work_class work, time_point now) -> void
{
    auto it = servers_.find(server);
    if (it == servers_.end() || running_.contains({source, id})) {
        return;
    }
    ++it->second.in_flight;
    constexpr duration adopted_life = std::chrono::seconds{3};
    running_.emplace(running_key{source, id},
                     running_request{server, work, now, now + adopted_life});
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

auto admission_scheduler::complete(admission_source source, admission_id id,
                                   const attempt_report& report, time_point now) -> void
{
    auto it = running_.find({source, id});
    if (it == running_.end()) {
        return;
    }
    auto run = it->second;
    running_.erase(it);
    auto server = servers_.find(run.server);
    if (server == servers_.end()) {
        dispatch(now);
        return;
    }
    auto& state = server->second;
    state.in_flight -= std::min(1U, state.in_flight);
    learn(state, run, report, now);
    if (report.outcome == attempt_outcome::shed) {
        state.shed_until = now + shed_time;
    }
    if (report.outcome == attempt_outcome::unreachable) {
        auto others = std::ranges::count_if(unreachable_, [&](const auto& entry) {
            return entry.first.second == run.server && entry.first.first != source &&
                   entry.second > now;
        });
        unreachable_[{source, run.server}] = now + unreachable_time;
        if (others > 0 || !settings_.is_authority) {
            state.is_suspect = true;
            state.suspect_since = now;
            state.unsure_since = now;
        }
    }
    if (report.outcome == attempt_outcome::answered) {
        state.is_suspect = false;
        unreachable_.erase({source, run.server});
    }
    dispatch(now);
}

auto admission_scheduler::drop_source(admission_source source, time_point now) -> void
{
    std::erase_if(queue_, [&](const auto& it) { return it.source == source; });
    std::erase_if(unreachable_, [&](const auto& it) { return it.first.first == source; });
    for (auto it = running_.begin(); it != running_.end();) {
        if (it->first.first != source) {
            ++it;
            continue;
        }
        if (auto server = servers_.find(it->second.server); server != servers_.end()) {
            server->second.in_flight -= std::min(1U, server->second.in_flight);
        }
        it = running_.erase(it);
    }
    dispatch(now);
}

auto admission_scheduler::sort_queue(time_point now) -> void
{
    for (auto& it : queue_) {
        it.is_late = it.is_late || now + estimate(it, now) > it.objective;
    }
    auto is_before = [](const admission_request& left, const admission_request& right) {
        if (left.is_late != right.is_late) {
            return right.is_late;
        }
        if (left.priority != right.priority) {
            return left.priority < right.priority;
        }
        return left.objective < right.objective;
    };
    std::ranges::stable_sort(queue_, is_before);
}

auto admission_scheduler::dispatch(time_point now) -> void
{
    if (is_dispatching_ || queue_.empty()) {
        return;
    }
    is_dispatching_ = true;
    sort_queue(now);
    std::vector<admission_request> kept;
    kept.reserve(queue_.size());
    auto pending = std::move(queue_);
    queue_.clear();
    withdrawn_.clear();
    for (auto& it : pending) {
        if (std::ranges::find(withdrawn_, running_key{it.source, it.id}) != withdrawn_.end()) {
            continue;
        }
        server_state* server = nullptr;
        if (it.key && settings_.is_keyed && owner_of_) {
            auto owner = owner_of_(*it.key);
            auto found = owner.server ? servers_.find(*owner.server) : servers_.end();
            if (found != servers_.end() && may_send(found->second, it, now)) {
                server = &found->second;
            }
        } else {
            server = pick(it, now);
        }
        if (server != nullptr) {
            send(it, *server, now);
        } else {
            kept.push_back(std::move(it));
        }
    }
    std::erase_if(kept, [&](const auto& it) {
        return std::ranges::find(withdrawn_, running_key{it.source, it.id}) != withdrawn_.end();
    });
    // Decisions may have submitted more requests meanwhile.
    kept.insert(kept.end(), std::make_move_iterator(queue_.begin()),
                std::make_move_iterator(queue_.end()));
    queue_ = std::move(kept);
    is_dispatching_ = false;
}

auto admission_scheduler::tick(time_point now) -> void
{
    auto pending = std::move(queue_);
    queue_.clear();
    for (auto& it : pending) {
        if (refuse_if_hopeless(it, false, now)) {
            continue;
        }
        bool turns_late = !it.is_late && now + estimate(it, now) > it.objective;
        if (turns_late && !it.is_expected_late && late_room(it) == 0) {
            refuse(it, refusal_cause::overload, expected_work(it.work), now);
            continue;
        }
        it.is_late = it.is_late || turns_late;
        queue_.push_back(std::move(it));
    }
    // A source that is cut off cannot report the end of its requests.
    constexpr duration report_slack = std::chrono::seconds{1};
    for (auto it = running_.begin(); it != running_.end();) {
        if (now < it->second.expires + report_slack) {
            ++it;
            continue;
        }
        if (auto server = servers_.find(it->second.server); server != servers_.end()) {
            server->second.in_flight -= std::min(1U, server->second.in_flight);
        }
        it = running_.erase(it);
    }
    std::erase_if(unreachable_, [&](const auto& it) { return it.second <= now; });
    dispatch(now);
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

auto admission_scheduler::backlog(const server_id& server) const -> std::size_t
{
    if (!owner_of_) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(
        queue_, [&](const auto& it) { return it.key && owner_of_(*it.key).server == server; }));
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
