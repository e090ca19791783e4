#include "routing/admission_scheduler.h"

#include "core/milliseconds.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

constexpr double objective_weight = 0.05;
/// A failed connection keeps its source away from the server for this long.
constexpr duration unreachable_time = milliseconds{1500};
/// A server that sheds is left alone for this long.
constexpr duration shed_time = milliseconds{60};
/// Late requests that may wait for a server, as a multiple of its slots. They are worth less, so
/// they get only what those in time leave over, which under overload is nothing.
constexpr std::uint32_t late_per_slot = 1;
/// Shortest and longest time that a caller is told to stay away.
constexpr double min_retry_after_ms = 50.0;
constexpr double max_retry_after_ms = 2000.0;

auto is_before(const admission_request& left, const admission_request& right) -> bool
{
    if (left.is_late != right.is_late) {
        return right.is_late;
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    return left.objective < right.objective;
}

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

auto admission_scheduler::estimate(const admission_request& request, time_point now) const
    -> duration
{
    if (follows_owner(request)) {
        auto it = request.owner ? servers_.find(*request.owner) : servers_.end();
        if (it != servers_.end()) {
            return expected_time(it->second, request.work, now);
        }
    }
    return expected_work(request.work);
}

auto admission_scheduler::follows_owner(const admission_request& request) const -> bool
{
    return request.key && settings_.is_keyed && owner_of_;
}

auto admission_scheduler::resolve_owner(admission_request& request) const -> void
{
    if (!follows_owner(request)) {
        return;
    }
    auto found = owner_of_(*request.key);
    request.owner = std::move(found.server);
    request.owner_available_at = found.available_at;
}

auto admission_scheduler::line_of(const admission_request& request) -> waiting_line&
{
    if (!follows_owner(request)) {
        return shared_;
    }
    return request.owner ? owned_[*request.owner] : unowned_;
}

auto admission_scheduler::find_line(const admission_request& request) const -> const waiting_line*
{
    if (!follows_owner(request)) {
        return &shared_;
    }
    if (!request.owner) {
        return &unowned_;
    }
    auto it = owned_.find(*request.owner);
    return it == owned_.end() ? nullptr : &it->second;
}

auto admission_scheduler::enqueue(admission_request request) -> void
{
    auto& line = line_of(request);
    line.insert(std::ranges::upper_bound(line, request, is_before), std::move(request));
}

auto admission_scheduler::resolve_owners() -> void
{
    std::vector<admission_request> moved;
    auto take_moved = [&](waiting_line& line) {
        std::erase_if(line, [&](admission_request& it) {
            auto before = it.owner;
            resolve_owner(it);
            if (it.owner == before) {
                return false;
            }
            moved.push_back(std::move(it));
            return true;
        });
    };
    for (auto& [owner, line] : owned_) {
        take_moved(line);
    }
    take_moved(unowned_);
    std::erase_if(owned_, [](const auto& it) { return it.second.empty(); });
    for (auto& it : moved) {
        enqueue(std::move(it));
    }
}

auto admission_scheduler::waiting() const -> std::size_t
{
    auto out = shared_.size() + unowned_.size();
    for (const auto& [owner, line] : owned_) {
        out += line.size();
    }
    return out;
}

auto admission_scheduler::send(const admission_request& request, server_state& server,
                               time_point now) -> void
{
    ++server.in_flight;
    server.cold_sends.push_back(now);
    server.cold_pace.on_act(now);
    running_.insert_or_assign({request.source, request.id},
                              running_request{server.info.id, request.work, now, request.expires});
    admission_decision decision;
    decision.source = request.source;
    decision.id = request.id;
    decision.outcome = admission_outcome::send;
    decision.server = server.info.id;
    decision.waited = now - request.received;
    const auto* line = find_line(request);
    decision.queue_length = line != nullptr ? static_cast<std::uint32_t>(line->size()) : 0;
    decide_(decision);
}

auto admission_scheduler::refuse(const refusal& it, time_point now) -> void
{
    // Spread, so that the refused do not come back in one wave.
    double ms = std::clamp(to_ms(it.retry_after), min_retry_after_ms, max_retry_after_ms);
    ms *= 0.75 + 0.5 * uniform_real(random_);
    const auto& request = it.request;
    const auto* line = find_line(request);
    admission_decision decision;
    decision.source = request.source;
    decision.id = request.id;
    decision.cause = it.cause;
    decision.retry_after = from_ms(ms);
    decision.waited = now - request.received;
    decision.queue_length = line != nullptr ? static_cast<std::uint32_t>(line->size()) : 0;
    decision.expected_wait = expected_wait(request, now);
    decide_(decision);
}

auto admission_scheduler::expected_wait(const admission_request& request, time_point now) const
    -> duration
{
    const auto* line = find_line(request);
    if (follows_owner(request)) {
        if (!request.owner) {
            return std::max(duration::zero(), request.owner_available_at - now);
        }
        auto it = servers_.find(*request.owner);
        if (it == servers_.end()) {
            return duration::zero();
        }
        std::size_t ahead = 0;
        if (line != nullptr) {
            ahead = static_cast<std::size_t>(std::ranges::count_if(
                *line, [&](const auto& other) { return other.objective <= request.objective; }));
        }
        auto slots = std::max(1U, it->second.info.slots);
        double busy = std::max(0.0, static_cast<double>(it->second.in_flight) - slots + 1) * 0.5;
        return from_ms(to_ms(expected_time(it->second, request.work, now)) *
                       (static_cast<double>(ahead) + busy) / slots);
    }
    if (usable_capacity_ <= 0) {
        return duration::zero();
    }
    auto ahead = std::ranges::count_if(shared_, [&](const auto& other) {
        return other.priority < request.priority ||
               (other.priority == request.priority && other.objective <= request.objective);
    });
    return from_ms(to_ms(expected_work(request.work)) * (static_cast<double>(ahead) + 0.5) /
                   usable_capacity_);
}

auto admission_scheduler::find_hopeless(const admission_request& request, time_point now) const
    -> std::optional<refusal>
{
    auto work = estimate(request, now);
    if (now + work / 2 >= request.expires) {
        return refusal{request, refusal_cause::expired, work};
    }
    if (!follows_owner(request)) {
        return std::nullopt;
    }
    if (!request.owner) {
        auto available_at = request.owner_available_at;
        if (available_at + work > request.expires) {
            return refusal{request, refusal_cause::no_owner, available_at - now};
        }
        return std::nullopt;
    }
    auto usable_at = owner_usable_at(*request.owner, request, now);
    auto held = held_off_.find({request.source, *request.owner});
    // Only this source has to wait, and the caller reaches another one when it comes back.
    bool is_held_alone = held != held_off_.end() && now < held->second &&
                         !holds_off_others(request.source, *request.owner, now);
    if (is_held_alone && usable_at + work > request.objective) {
        return refusal{request, refusal_cause::no_server, duration::zero()};
    }
    if (usable_at + work > request.expires) {
        return refusal{request, refusal_cause::no_server, usable_at - now};
    }
    return std::nullopt;
}

auto admission_scheduler::has_server_for(const admission_request& request, time_point now) const
    -> bool
{
    return std::ranges::any_of(servers_, [&](const auto& it) {
        return it.second.info.is_usable && !is_avoided(it.second, now) &&
               !is_blocked(request.source, it.first, now) &&
               std::ranges::find(request.excluded, it.first) == request.excluded.end();
    });
}

auto admission_scheduler::find_hopeless_arrival(admission_request& request, time_point now) const
    -> std::optional<refusal>
{
    if (auto out = find_hopeless(request, now)) {
        return out;
    }
    if (!follows_owner(request) && !has_server_for(request, now)) {
        return refusal{request, refusal_cause::no_server, milliseconds{500}};
    }
    auto work = estimate(request, now);
    auto wait = expected_wait(request, now);
    request.is_expected_late = now + wait + work > request.objective;
    if (now + wait + work > request.expires ||
        (request.is_expected_late && late_room(request) == 0)) {
        return refusal{request, refusal_cause::overload, wait / 2};
    }
    return std::nullopt;
}

auto admission_scheduler::late_room(const admission_request& request) const -> std::size_t
{
    double slots = usable_capacity_;
    if (follows_owner(request)) {
        auto it = request.owner ? servers_.find(*request.owner) : servers_.end();
        slots = it != servers_.end() ? it->second.info.slots : 1;
    }
    const auto* line = find_line(request);
    std::size_t late = 0;
    if (line != nullptr) {
        late = static_cast<std::size_t>(std::ranges::count_if(
            *line, [](const auto& it) { return it.is_late || it.is_expected_late; }));
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
    resolve_owner(request);
    if (auto hopeless = find_hopeless_arrival(request, now)) {
        refuse(*hopeless, now);
        return;
    }
    auto owner = request.owner;
    bool is_shared = !follows_owner(request);
    enqueue(std::move(request));
    if (is_shared || owner) {
        dispatch(owner, now);
    }
}

auto admission_scheduler::withdraw(admission_source source, admission_id id) -> void
{
    auto is_meant = [&](const auto& it) { return it.source == source && it.id == id; };
    if (std::erase_if(shared_, is_meant) + std::erase_if(unowned_, is_meant) > 0) {
        return;
    }
    for (auto& [owner, line] : owned_) {
        if (std::erase_if(line, is_meant) > 0) {
            return;
        }
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
        return;
    }
    auto& state = server->second;
    state.in_flight -= std::min(1U, state.in_flight);
    learn(state, run, report, now);
    if (report.hold_off > duration::zero()) {
        auto& until = held_off_[{source, run.server}];
        until = std::max(until, now + report.hold_off);
    }
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
    if (settings_.is_keyed) {
        dispatch(run.server, now);
    }
    dispatch(std::nullopt, now);
}

auto admission_scheduler::drop_source(admission_source source, time_point now) -> void
{
    auto is_meant = [&](const auto& it) { return it.source == source; };
    std::erase_if(shared_, is_meant);
    std::erase_if(unowned_, is_meant);
    for (auto& [owner, line] : owned_) {
        std::erase_if(line, is_meant);
    }
    std::erase_if(unreachable_, [&](const auto& it) { return it.first.first == source; });
    std::erase_if(held_off_, [&](const auto& it) { return it.first.first == source; });
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
    resolve_owners();
    dispatch_all(now);
}

auto admission_scheduler::sort_line(waiting_line& line, time_point now) const -> void
{
    for (auto& it : line) {
        it.is_late = it.is_late || now + estimate(it, now) > it.objective;
    }
    if (!std::ranges::is_sorted(line, is_before)) {
        std::ranges::stable_sort(line, is_before);
    }
}

auto admission_scheduler::dispatch(const line_key& line, time_point now) -> void
{
    if (std::ranges::find(to_dispatch_, line) == to_dispatch_.end()) {
        to_dispatch_.push_back(line);
    }
    run_dispatch(now);
}

auto admission_scheduler::dispatch_all(time_point now) -> void
{
    to_dispatch_.clear();
    to_dispatch_.emplace_back(std::nullopt);
    for (const auto& [owner, line] : owned_) {
        to_dispatch_.emplace_back(owner);
    }
    run_dispatch(now);
}

auto admission_scheduler::run_dispatch(time_point now) -> void
{
    // A decision may lead to another call of the scheduler, whose lines are then taken up here.
    if (is_dispatching_) {
        return;
    }
    is_dispatching_ = true;
    while (!to_dispatch_.empty()) {
        auto line = std::move(to_dispatch_.back());
        to_dispatch_.pop_back();
        if (line) {
            dispatch_owned(*line, now);
        } else {
            dispatch_shared(now);
        }
    }
    is_dispatching_ = false;
}

auto admission_scheduler::dispatch_owned(const server_id& owner, time_point now) -> void
{
    if (auto line = owned_.find(owner); line != owned_.end()) {
        sort_line(line->second, now);
    }
    while (true) {
        auto line = owned_.find(owner);
        auto server = servers_.find(owner);
        if (line == owned_.end() || server == servers_.end()) {
            return;
        }
        auto next = std::ranges::find_if(
            line->second, [&](const auto& it) { return may_send(server->second, it, now); });
        if (next == line->second.end()) {
            return;
        }
        auto request = std::move(*next);
        line->second.erase(next);
        resolve_owner(request);
        if (request.owner == owner) {
            send(request, server->second, now);
            continue;
        }
        // The key moved since the last look.
        auto moved_to = request.owner;
        enqueue(std::move(request));
        if (moved_to && std::ranges::find(to_dispatch_, moved_to) == to_dispatch_.end()) {
            to_dispatch_.push_back(moved_to);
        }
    }
}

auto admission_scheduler::dispatch_shared(time_point now) -> void
{
    if (shared_.empty()) {
        return;
    }
    sort_line(shared_, now);
    bool has_sent = true;
    while (has_sent && !shared_.empty()) {
        has_sent = false;
        auto free = free_servers(now);
        if (free.empty()) {
            return;
        }
        for (std::size_t n = 0; n < shared_.size() && !has_sent; ++n) {
            if (auto* server = pick(shared_[n], free, now)) {
                auto request = std::move(shared_[n]);
                shared_.erase(shared_.begin() + static_cast<std::ptrdiff_t>(n));
                send(request, *server, now);
                has_sent = true;
            }
        }
    }
}

auto admission_scheduler::tick(time_point now) -> void
{
    update_capacity();
    resolve_owners();
    // Decided on only afterwards, because a decision may change the lines.
    std::vector<refusal> refusals;
    auto check = [&](waiting_line& line) {
        for (auto it = line.begin(); it != line.end();) {
            auto hopeless = find_hopeless(*it, now);
            bool turns_late = !it->is_late && now + estimate(*it, now) > it->objective;
            if (!hopeless && turns_late && !it->is_expected_late && late_room(*it) == 0) {
                hopeless = refusal{*it, refusal_cause::overload, expected_work(it->work)};
            }
            if (hopeless) {
                refusals.push_back(std::move(*hopeless));
                it = line.erase(it);
                continue;
            }
            it->is_late = it->is_late || turns_late;
            ++it;
        }
    };
    check(shared_);
    check(unowned_);
    for (auto& [owner, line] : owned_) {
        check(line);
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
    std::erase_if(held_off_, [&](const auto& it) { return it.second <= now; });
    for (const auto& it : refusals) {
        refuse(it, now);
    }
    dispatch_all(now);
}

auto admission_scheduler::backlogs() const -> std::map<server_id, std::size_t>
{
    std::map<server_id, std::size_t> out;
    for (const auto& [owner, line] : owned_) {
        if (!line.empty()) {
            out.emplace(owner, line.size());
        }
    }
    return out;
}

} // namespace cornelswitch
