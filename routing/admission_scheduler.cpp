#include "routing/admission_scheduler.h"

#include "core/milliseconds.h"

#include <algorithm>
#include <tuple>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

constexpr double objective_weight = 0.05;
/// Time for which a source does not use a server after a failed connection.
constexpr duration unreachable_retry_delay = milliseconds{1500};
/// Pause in sending to a server that has shed a request.
constexpr duration shed_pause = milliseconds{60};

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
    case refusal_cause::rate_limit:
        return "rate-limit";
    }
    return "unknown";
}

admission_scheduler::admission_scheduler(admission_settings settings, random_engine& random,
                                         decision_callback on_decision)
    : settings_{settings}, random_{random},
      on_decision_{std::move(on_decision)}, value_{settings.value}
{
}

auto admission_scheduler::is_sent_before(const admission_request& left,
                                         const admission_request& right) -> bool
{
    return std::tie(left.is_late, left.rank, left.order_time) <
           std::tie(right.is_late, right.rank, right.order_time);
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
    return request.key && settings_.is_keyed && owner_lookup_;
}

auto admission_scheduler::resolve_owner(admission_request& request) const -> void
{
    if (!follows_owner(request)) {
        return;
    }
    auto found = owner_lookup_(*request.key);
    request.owner = std::move(found.server);
    request.owner_available_at = found.available_at;
    request.first_key_of_range = found.first_key_of_range;
}

auto admission_scheduler::queue_for(const admission_request& request) -> wait_queue&
{
    if (!follows_owner(request)) {
        return shared_queue_;
    }
    return request.owner ? owner_queues_[*request.owner] : unowned_queue_;
}

auto admission_scheduler::find_queue(const admission_request& request) const -> const wait_queue*
{
    if (!follows_owner(request)) {
        return &shared_queue_;
    }
    if (!request.owner) {
        return &unowned_queue_;
    }
    auto it = owner_queues_.find(*request.owner);
    return it == owner_queues_.end() ? nullptr : &it->second;
}

auto admission_scheduler::enqueue(admission_request request) -> void
{
    auto& queue = queue_for(request);
    queue.insert(std::ranges::upper_bound(queue, request, is_sent_before), std::move(request));
}

auto admission_scheduler::resolve_owners() -> void
{
    std::vector<admission_request> moved;
    auto extract_moved = [&](wait_queue& queue) {
        std::erase_if(queue, [&](admission_request& it) {
            auto before = it.owner;
            resolve_owner(it);
            if (it.owner == before) {
                return false;
            }
            moved.push_back(std::move(it));
            return true;
        });
    };
    for (auto& [owner, queue] : owner_queues_) {
        extract_moved(queue);
    }
    extract_moved(unowned_queue_);
    std::erase_if(owner_queues_, [](const auto& it) { return it.second.empty(); });
    for (auto& it : moved) {
        enqueue(std::move(it));
    }
}

auto admission_scheduler::waiting() const -> std::size_t
{
    auto out = shared_queue_.size() + unowned_queue_.size();
    for (const auto& [owner, queue] : owner_queues_) {
        out += queue.size();
    }
    return out;
}

auto admission_scheduler::send(const admission_request& request, server_state& server,
                               time_point now) -> void
{
    ++server.in_flight;
    server.cold_sends.push_back(now);
    server.cold_rate_limiter.on_act(now);
    count_limited_request(server, now);
    running_.insert_or_assign({request.source, request.id},
                              running_request{server.info.id, request.work, now, request.deadline,
                                              server.info.incarnation});
    admission_decision decision;
    decision.source = request.source;
    decision.id = request.id;
    decision.outcome = admission_outcome::send;
    decision.server = server.info.id;
    decision.queue_time = now - request.received;
    const auto* queue = find_queue(request);
    decision.queue_length = queue != nullptr ? static_cast<std::uint32_t>(queue->size()) : 0;
    decision.rate_limit = applied_limit(server, now);
    decision.valuation = valuation_of(request);
    shares_.on_served(request.priority, request.work.value(), now);
    on_decision_(decision);
}

auto admission_scheduler::submit(admission_request request, time_point now) -> void
{
    if (request.key && settings_.is_keyed) {
        double ms = to_ms(request.objective - request.received);
        mean_keyed_objective_ms_ += objective_weight * (ms - mean_keyed_objective_ms_);
    }
    resolve_owner(request);
    begin_turns(request, now);
    set_value(request, now);
    std::vector<refusal> displaced;
    if (auto refused = find_refusal_on_arrival(request, displaced, now)) {
        refuse(*refused, now);
        return;
    }
    auto owner = request.owner;
    bool is_shared = !follows_owner(request);
    enqueue(std::move(request));
    for (const auto& it : displaced) {
        refuse(it, now);
    }
    if (is_shared || owner) {
        dispatch(owner, now);
    }
}

auto admission_scheduler::withdraw(admission_source source, admission_id id) -> void
{
    auto matches = [&](const auto& it) { return it.source == source && it.id == id; };
    if (std::erase_if(shared_queue_, matches) + std::erase_if(unowned_queue_, matches) > 0) {
        return;
    }
    for (auto& [owner, queue] : owner_queues_) {
        if (std::erase_if(queue, matches) > 0) {
            return;
        }
    }
}

auto admission_scheduler::adopt(admission_source source, admission_id id, const server_id& server,
                                work_class work, time_point admitted_at, time_point now) -> void
{
    auto it = servers_.find(server);
    if (it == servers_.end() || running_.contains({source, id})) {
        return;
    }
    ++it->second.in_flight;
    constexpr duration adopted_request_lifetime = std::chrono::seconds{3};
    running_.emplace(running_key{source, id},
                     running_request{server, work, admitted_at, now + adopted_request_lifetime,
                                     it->second.info.incarnation});
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
    update_estimates(state, run, report, now);
    if (report.rate_limit) {
        auto reporter = source_name_ ? source_name_(source) : instance_id{};
        apply_rate_limit(state, run, *report.rate_limit, reporter, now);
    }
    if (report.hold_off > duration::zero()) {
        auto& until = held_off_[{source, run.server}];
        until = std::max(until, now + report.hold_off);
    }
    if (report.outcome == attempt_outcome::shed) {
        state.shed_until = now + shed_pause;
    }
    if (report.outcome == attempt_outcome::unreachable) {
        auto others = std::ranges::count_if(unreachable_, [&](const auto& entry) {
            return entry.first.second == run.server && entry.first.first != source &&
                   entry.second > now;
        });
        unreachable_[{source, run.server}] = now + unreachable_retry_delay;
        if (others > 0 || !settings_.is_coordinator) {
            state.is_suspect = true;
            state.suspect_since = now;
            state.last_unreachable_at = now;
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
    auto matches = [&](const auto& it) { return it.source == source; };
    std::erase_if(shared_queue_, matches);
    std::erase_if(unowned_queue_, matches);
    for (auto& [owner, queue] : owner_queues_) {
        std::erase_if(queue, matches);
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

auto admission_scheduler::sort_queue(wait_queue& queue, time_point now) const -> void
{
    for (auto& it : queue) {
        it.work_time = estimate(it, now);
        it.is_late = it.is_late || now + it.work_time > it.objective;
    }
    if (!std::ranges::is_sorted(queue, is_sent_before)) {
        std::ranges::stable_sort(queue, is_sent_before);
    }
}

auto admission_scheduler::dispatch(const queue_key& key, time_point now) -> void
{
    if (std::ranges::find(pending_dispatches_, key) == pending_dispatches_.end()) {
        pending_dispatches_.push_back(key);
    }
    run_pending_dispatches(now);
}

auto admission_scheduler::dispatch_all(time_point now) -> void
{
    pending_dispatches_.clear();
    pending_dispatches_.emplace_back(std::nullopt);
    for (const auto& [owner, queue] : owner_queues_) {
        pending_dispatches_.emplace_back(owner);
    }
    run_pending_dispatches(now);
}

auto admission_scheduler::run_pending_dispatches(time_point now) -> void
{
    // The decision callback may call the scheduler again; the queues of that call are processed by
    // the outer loop.
    if (is_dispatching_) {
        return;
    }
    is_dispatching_ = true;
    while (!pending_dispatches_.empty()) {
        auto key = std::move(pending_dispatches_.back());
        pending_dispatches_.pop_back();
        if (key) {
            dispatch_owned(*key, now);
        } else {
            dispatch_shared(now);
        }
    }
    is_dispatching_ = false;
}

auto admission_scheduler::dispatch_owned(const server_id& owner, time_point now) -> void
{
    if (auto queue = owner_queues_.find(owner); queue != owner_queues_.end()) {
        sort_queue(queue->second, now);
    }
    while (true) {
        auto queue = owner_queues_.find(owner);
        auto server = servers_.find(owner);
        if (queue == owner_queues_.end() || server == servers_.end()) {
            return;
        }
        auto next = std::ranges::find_if(
            queue->second, [&](const auto& it) { return may_send(server->second, it, now); });
        if (next == queue->second.end()) {
            return;
        }
        auto request = std::move(*next);
        queue->second.erase(next);
        resolve_owner(request);
        if (request.owner == owner) {
            send(request, server->second, now);
            continue;
        }
        // The key has moved since the last lookup.
        auto moved_to = request.owner;
        enqueue(std::move(request));
        if (moved_to &&
            std::ranges::find(pending_dispatches_, moved_to) == pending_dispatches_.end()) {
            pending_dispatches_.push_back(moved_to);
        }
    }
}

auto admission_scheduler::dispatch_shared(time_point now) -> void
{
    if (shared_queue_.empty()) {
        return;
    }
    sort_queue(shared_queue_, now);
    bool has_sent = true;
    while (has_sent && !shared_queue_.empty()) {
        has_sent = false;
        auto available = available_servers(now);
        if (available.empty()) {
            return;
        }
        for (std::size_t n = 0; n < shared_queue_.size() && !has_sent; ++n) {
            if (auto* server = pick(shared_queue_[n], available, now)) {
                auto request = std::move(shared_queue_[n]);
                shared_queue_.erase(shared_queue_.begin() + static_cast<std::ptrdiff_t>(n));
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
    // Refused only after the loops, because the decision callback may change the queues.
    std::vector<refusal> refusals;
    auto check = [&](wait_queue& queue, const server_state* owner) {
        std::size_t ahead = 0;
        auto wait = queue.empty() ? duration::zero() : room_for(queue.front(), now).wait;
        auto rate = queue.empty() ? queue_rate{} : rate_of(queue.front());
        std::vector<bool> is_refused(queue.size());
        auto drop = [&](std::size_t n, refusal&& it) {
            is_refused[n] = true;
            // No longer counted among the late requests.
            queue[n].is_late = queue[n].is_expected_late = false;
            refusals.push_back(std::move(it));
        };
        for (std::size_t n = 0; n < queue.size(); ++n) {
            auto& it = queue[n];
            if (is_refused[n]) {
                continue;
            }
            auto refused = find_refusal(it, now);
            auto work = estimate(it, now);
            if (!refused && owner != nullptr) {
                auto limit_wait = rate_limit_wait(*owner, ahead, now);
                if (limit_wait > duration::zero() && now + limit_wait + work / 2 > it.deadline) {
                    refused = refusal{it, refusal_cause::rate_limit, limit_wait};
                }
            }
            if (!refused && (owner != nullptr || !follows_owner(it)) &&
                value_.settings().displaces && value_.is_hopeless(valued(it, rate), wait, now)) {
                refused = refusal{it, shortage_cause(it), wait};
            }
            if (refused) {
                drop(n, std::move(*refused));
                continue;
            }
            if (!it.is_late && now + work > it.objective) {
                if (!it.is_expected_late && remaining_late_capacity(it) == 0) {
                    auto least = least_valuable_late(queue, n);
                    auto& other = queue[least];
                    double favoured = least != n ? it.value : 0;
                    drop(least, {other, shortage_cause(other), expected_work(other.work), favoured,
                                 least != n});
                    if (least == n) {
                        continue;
                    }
                }
                it.is_late = true;
            }
            wait += rate.delay_of(it);
            ++ahead;
        }
        std::size_t index = 0;
        std::erase_if(queue, [&](const auto&) { return is_refused[index++]; });
    };
    check(shared_queue_, nullptr);
    check(unowned_queue_, nullptr);
    for (auto& [owner, queue] : owner_queues_) {
        auto server = servers_.find(owner);
        check(queue, server == servers_.end() ? nullptr : &server->second);
    }
    // A disconnected source cannot report the end of its requests.
    constexpr duration report_timeout = std::chrono::seconds{1};
    for (auto it = running_.begin(); it != running_.end();) {
        if (now < it->second.expires + report_timeout) {
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
    returns_.remove_expired(now);
    for (const auto& it : refusals) {
        refuse(it, now);
    }
    dispatch_all(now);
}

auto admission_scheduler::backlogs() const -> std::map<server_id, std::size_t>
{
    std::map<server_id, std::size_t> out;
    for (const auto& [owner, queue] : owner_queues_) {
        if (!queue.empty()) {
            out.emplace(owner, queue.size());
        }
    }
    return out;
}

} // namespace cornelswitch
