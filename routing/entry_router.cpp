#include "routing/entry_router.h"

#include "core/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cornelswitch {

namespace {

constexpr duration default_retry_after = std::chrono::milliseconds{200};
constexpr duration not_ready_retry_after = std::chrono::seconds{1};
constexpr duration hedge_retry_interval = std::chrono::milliseconds{5};
// Maximum number of slots recorded as unserved. When it is reached, all records are dropped.
constexpr std::size_t unserved_limit = 65'536;

auto counts_against_server(failure_kind kind) -> bool
{
    return kind != failure_kind::wrong_dispatcher && kind != failure_kind::slot_moved &&
           kind != failure_kind::overloaded;
}

auto proves_not_run(failure_kind kind) -> bool
{
    return kind != failure_kind::unknown_outcome && kind != failure_kind::connection_lost;
}

} // namespace

entry_router::entry_router(router_options options)
    : options_{std::move(options)}, view_{std::make_shared<routing_view>()}, random_{options_.seed}
{
    if (!options_.choose_server) {
        options_.choose_server = choose_power_of_two;
    }
}

auto entry_router::set_view(std::shared_ptr<const routing_view> view, time_point now)
    -> std::vector<routed_request>
{
    view_ = std::move(view);
    directory_.set_view(view_);
    out_of_service_.update(*view_, now);
    for (const auto& [name, service] : view_->services) {
        loads_.configure(name, service->policy.straggler_factor,
                         static_cast<std::uint32_t>(view_->instances.size()));
    }
    std::vector<request_id> held;
    for (const auto& [id, state] : requests_) {
        if (state.held) {
            held.push_back(id);
        }
    }
    std::sort(held.begin(), held.end());
    std::vector<routed_request> out;
    for (const auto& id : held) {
        auto decision = decide(requests_.find(id), now);
        if (!std::holds_alternative<hold_request>(decision)) {
            out.push_back({id, std::move(decision)});
        }
    }
    return out;
}

auto entry_router::route(request_id id, const request_head& head, time_point now) -> route_decision
{
    auto classified = classify_request(head, *view_, now);
    if (classified.has_error()) {
        auto reason = refusal_reason_of(classified.error());
        auto retry_after =
            reason == refusal_reason::not_ready ? not_ready_retry_after : duration{0};
        return refusal{id, reason, request_outcome::not_run, retry_after};
    }
    ++counters_.requests;
    auto [it, added] = requests_.try_emplace(id);
    if (!added) {
        return refusal{id, refusal_reason::invalid_request, request_outcome::not_run, duration{0}};
    }
    it->second.request = std::move(classified.value());
    auto& budget = budgets(it->second.request);
    budget.retries.on_request();
    budget.hedges.on_request();
    schedule(id, it->second.request.deadline);
    return decide(it, now);
}

auto entry_router::find(request_id id) const -> const classified_request*
{
    auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second.request;
}

auto entry_router::on_failure(request_id id, const attempt_failure& failure, time_point now)
    -> route_decision
{
    auto it = requests_.find(id);
    if (it == requests_.end()) {
        return await_attempt{};
    }
    auto& state = it->second;
    auto failed =
        std::find_if(state.in_progress.begin(), state.in_progress.end(),
                     [&](const attempt_state& a) { return a.sent.attempt == failure.attempt; });
    if (failed == state.in_progress.end()) {
        return await_attempt{};
    }
    auto sent = failed->sent;
    auto sent_at = failed->sent_at;
    state.in_progress.erase(failed);
    if (failure.redirect) {
        directory_.note_redirect(sent.server, *failure.redirect);
    }
    if (failure.kind == failure_kind::connection_lost) {
        // A frozen instance still accepts connections, so a connection without a response is
        // treated like a refused one.
        directory_.note_unreachable(sent.instance, now);
    }
    loads_.on_failed(sent.server, counts_against_server(failure.kind), sent_at, now);
    if (failure.load) {
        loads_.on_sample(sent.server, *failure.load, now);
    }
    state.may_have_run = state.may_have_run || !proves_not_run(failure.kind);
    if (!state.in_progress.empty()) {
        if (sent.hedge && proves_not_run(failure.kind)) {
            reschedule_hedge(it, now);
        }
        return await_attempt{};
    }
    if (state.may_have_run && !state.request.idempotent) {
        return refuse(it, refusal_reason::response_lost, default_retry_after);
    }
    if (proves_not_run(failure.kind)) {
        return decide_after_not_run(it, failure, sent, now);
    }
    return retry(it, now);
}

auto entry_router::on_response(request_id id, std::uint32_t attempt,
                               const std::optional<load_sample>& load, time_point now)
    -> std::vector<send_attempt>
{
    std::vector<send_attempt> others;
    auto it = requests_.find(id);
    if (it == requests_.end()) {
        return others;
    }
    const auto& service = it->second.request.service;
    for (const auto& a : it->second.in_progress) {
        if (a.sent.attempt != attempt) {
            others.push_back(a.sent);
            loads_.on_cancelled(service, a.sent.server, a.sent_at, now);
            continue;
        }
        loads_.on_response(service, a.sent.server, a.sent_at, now);
        if (load) {
            loads_.on_sample(a.sent.server, *load, now);
        }
    }
    if (!unserved_slots_.empty()) {
        unserved_slots_.erase(slot_hash(it->second));
    }
    end_hold(it->second);
    requests_.erase(it);
    return others;
}

auto entry_router::cancel(request_id id) -> std::vector<send_attempt>
{
    std::vector<send_attempt> out;
    auto it = requests_.find(id);
    if (it == requests_.end()) {
        return out;
    }
    for (const auto& a : it->second.in_progress) {
        out.push_back(a.sent);
        loads_.on_failed(a.sent.server, false, a.sent_at, a.sent_at);
    }
    end_hold(it->second);
    requests_.erase(it);
    return out;
}

auto entry_router::poll(time_point now) -> std::vector<routed_request>
{
    std::vector<routed_request> out;
    while (!timers_.empty() && timers_.front().first <= now) {
        auto id = timers_.front().second;
        std::pop_heap(timers_.begin(), timers_.end(), std::greater<>{});
        timers_.pop_back();
        auto it = requests_.find(id);
        if (it == requests_.end()) {
            continue;
        }
        auto decision = on_timer(it, now);
        if (decision && !std::holds_alternative<hold_request>(*decision)) {
            out.push_back({id, std::move(*decision)});
        }
    }
    return out;
}

auto entry_router::next_wakeup() const -> std::optional<time_point>
{
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.front().first;
}

auto entry_router::decide(request_map::iterator it, time_point now) -> route_decision
{
    auto service = current_service(it->second);
    return service->config.keyed ? decide_keyed(it, now) : decide_unkeyed(it, now);
}

auto entry_router::decide_keyed(request_map::iterator it, time_point now) -> route_decision
{
    auto& state = it->second;
    auto service = current_service(state);
    auto slot = service->slot_of(*state.request.key);
    if (slot.value() >= service->slots.size()) {
        return hold(it, now);
    }
    const auto& owner = service->slots[slot.value()];
    if (owner.server >= service->config.servers.size()) {
        return hold(it, now);
    }
    send_attempt out;
    out.server = service->config.servers[owner.server].id;
    auto instance = dispatcher_of(out.server, now);
    if (!instance || !out_of_service_.accepts(*instance, now)) {
        return hold(it, now);
    }
    out.instance = *instance;
    out.slot = slot;
    out.epoch = owner.epoch;
    return send(it, std::move(out), now);
}

auto entry_router::decide_unkeyed(request_map::iterator it, time_point now) -> route_decision
{
    auto& state = it->second;
    auto service = current_service(state);
    std::optional<server_id> server;
    if (state.request.idempotency_key) {
        const auto* chosen = out_of_service_.idempotency_server(*state.request.idempotency_key,
                                                                service->config, now);
        server = chosen && is_usable(*chosen, now) ? std::optional{chosen->id} : std::nullopt;
    } else {
        server = choose(state, *service, now);
    }
    if (!server && !state.tried.empty() && !state.request.idempotency_key) {
        // All servers have been tried, but one of them may have recovered.
        state.tried.clear();
        server = choose(state, *service, now);
    }
    if (!server) {
        return refuse(it, refusal_reason::no_server, default_retry_after);
    }
    send_attempt out;
    out.server = *server;
    out.instance = *dispatcher_of(*server, now);
    return send(it, std::move(out), now);
}

auto entry_router::send(request_map::iterator it, send_attempt attempt, time_point now)
    -> route_decision
{
    auto& state = it->second;
    end_hold(state);
    ++state.attempts;
    attempt.attempt = state.next_attempt++;
    attempt.deadline = state.request.deadline;
    state.tried.push_back(attempt.server);
    state.in_progress.push_back({attempt, now});
    loads_.on_sent(state.request.service, attempt.server, now);
    const auto& policy = state.request.view->policy;
    auto may_hedge = state.request.idempotent && !attempt.slot && !attempt.hedge &&
                     policy.hedge_budget_percent > 0;
    if (may_hedge) {
        auto delay = loads_.hedge_delay(state.request.service);
        state.hedge_at.reset();
        if (delay && now + *delay < state.request.deadline) {
            state.hedge_at = now + *delay;
            schedule(it->first, *state.hedge_at);
        }
    }
    return attempt;
}

auto entry_router::hold(request_map::iterator it, time_point now) -> route_decision
{
    auto& state = it->second;
    auto since = unserved_since(state, now);
    auto expected_served_at = since + expected_takeover_time;
    auto retry_after = std::max(default_retry_after, expected_served_at - now);
    // A request whose deadline comes before the maximum hold time ends is refused early enough for
    // the caller to retry.
    auto hold_end = since + max_hold_time;
    auto until = state.request.deadline > hold_end ? hold_end : expected_served_at;
    if (now >= until || state.request.deadline <= expected_served_at) {
        return refuse(it, refusal_reason::slot_unavailable, retry_after);
    }
    if (!state.held) {
        if (held_ >= options_.max_held_requests) {
            return refuse(it, refusal_reason::slot_unavailable, retry_after);
        }
        state.held = true;
        ++held_;
        ++counters_.held;
    }
    state.hold_until = until;
    state.retry_at = std::min(now + held_retry_interval, until);
    schedule(it->first, state.retry_at);
    return hold_request{state.hold_until};
}

auto entry_router::refuse(request_map::iterator it, refusal_reason reason, duration retry_after)
    -> route_decision
{
    auto& state = it->second;
    auto may_have_run = state.may_have_run || !state.in_progress.empty();
    auto outcome = may_have_run ? request_outcome::unknown : request_outcome::not_run;
    for (const auto& a : state.in_progress) {
        loads_.on_failed(a.sent.server, false, a.sent_at, a.sent_at);
    }
    refusal out{it->first, reason, outcome, retry_after};
    end_hold(state);
    requests_.erase(it);
    return out;
}

auto entry_router::decide_after_not_run(request_map::iterator it, const attempt_failure& failure,
                                        const send_attempt& failed, time_point now)
    -> route_decision
{
    auto keyed = failed.slot.has_value();
    auto bound = is_bound_to_server(it->second);
    auto retry_after = std::max(default_retry_after, failure.retry_after);
    switch (failure.kind) {
    case failure_kind::wrong_dispatcher:
        return redirect(it, failure, failed, now);
    case failure_kind::slot_moved:
        --it->second.attempts;
        return keyed ? hold(it, now) : retry(it, now);
    case failure_kind::connection_refused:
        directory_.note_unreachable(failed.instance, now);
        return decide_after_unreachable(it, failed, now);
    case failure_kind::server_unavailable:
        if (keyed) {
            // No server was reached, so the attempt does not count. The hold time limits such
            // attempts.
            --it->second.attempts;
            return hold(it, now);
        }
        return retry(it, now);
    case failure_kind::overloaded:
        // Only this server may run the request, and it has just reported that it is full.
        return bound ? refuse(it, failure.reason, failure.retry_after) : retry(it, now);
    case failure_kind::stream_refused:
    case failure_kind::goaway_unprocessed:
        return retry(it, now);
    default:
        return refuse(it, refusal_reason::response_lost, retry_after);
    }
}

auto entry_router::decide_without_dispatcher(request_map::iterator it, const send_attempt& failed,
                                             time_point now) -> route_decision
{
    if (failed.slot) {
        return hold(it, now);
    }
    it->second.tried.push_back(failed.server);
    return retry(it, now);
}

auto entry_router::decide_after_unreachable(request_map::iterator it, const send_attempt& failed,
                                            time_point now) -> route_decision
{
    auto& state = it->second;
    // No instance was reached, so the attempt counts neither for the request nor for the server.
    --state.attempts;
    std::erase(state.tried, failed.server);
    auto next = dispatcher_of(failed.server, now);
    ++state.redirects;
    if (next && *next != failed.instance && state.redirects <= max_redirects) {
        auto redirected = failed;
        redirected.instance = *next;
        redirected.hedge = false;
        return send(it, std::move(redirected), now);
    }
    return decide_without_dispatcher(it, failed, now);
}

auto entry_router::redirect(request_map::iterator it, const attempt_failure& failure,
                            const send_attempt& failed, time_point now) -> route_decision
{
    auto& state = it->second;
    --state.attempts;
    ++counters_.redirects;
    ++state.redirects;
    // The request did not reach the server, so it may be chosen again through the right dispatcher.
    std::erase(state.tried, failed.server);
    auto is_redirect_usable = failure.redirect && *failure.redirect != failed.instance;
    if (!is_redirect_usable) {
        directory_.forget_redirect(failed.server);
    }
    if (is_redirect_usable && state.redirects <= max_redirects) {
        auto redirected = failed;
        redirected.instance = *failure.redirect;
        redirected.hedge = false;
        return send(it, std::move(redirected), now);
    }
    return decide_without_dispatcher(it, failed, now);
}

auto entry_router::retry(request_map::iterator it, time_point now) -> route_decision
{
    auto& state = it->second;
    if (now >= state.request.deadline) {
        return refuse(it, refusal_reason::deadline_passed, default_retry_after);
    }
    if (state.attempts >= max_attempts) {
        return refuse(it, refusal_reason::attempts_exhausted, default_retry_after);
    }
    if (!budgets(state.request).retries.try_spend()) {
        return refuse(it, refusal_reason::retry_budget_exhausted, default_retry_after);
    }
    ++counters_.retries;
    return decide(it, now);
}

auto entry_router::choose(const request_state& state, const service_view& service, time_point now)
    -> std::optional<server_id>
{
    std::vector<server_candidate> candidates;
    const auto& servers = service.config.servers;
    if (servers.size() > server_sample_size) {
        for (std::size_t n = 0; n < server_sample_size; ++n) {
            const auto& server = servers[uniform_below(random_, servers.size())];
            auto is_sampled = std::any_of(candidates.begin(), candidates.end(),
                                          [&](const auto& it) { return it.server == server.id; });
            if (!is_sampled) {
                add_candidate(state, service, server, now, candidates);
            }
        }
    }
    if (candidates.empty()) {
        for (const auto& server : servers) {
            add_candidate(state, service, server, now, candidates);
        }
    }
    // Only idempotent requests probe a straggler, because they can be retried.
    for (const auto& it : candidates) {
        if (it.straggler && state.request.idempotent && state.attempts == 0 &&
            loads_.take_probe(service.config.name, it.server, now)) {
            return it.server;
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[options_.choose_server(candidates, random_)].server;
}

auto entry_router::add_candidate(const request_state& state, const service_view& service,
                                 const server_config& server, time_point now,
                                 std::vector<server_candidate>& out) const -> void
{
    auto tried = std::find(state.tried.begin(), state.tried.end(), server.id);
    if (tried != state.tried.end() || !is_usable(server, now)) {
        return;
    }
    server_candidate it;
    it.server = server.id;
    it.same_zone = server.zone == options_.zone;
    it.straggler = loads_.is_straggler(service.config.name, server.id, now);
    it.outstanding = loads_.outstanding(server.id);
    it.expected_time = loads_.expected_time(server.id, now);
    out.push_back(std::move(it));
}

auto entry_router::is_usable(const server_config& server, time_point now) const -> bool
{
    auto instance = dispatcher_of(server.id, now);
    return instance && !out_of_service_.is_out(server) && out_of_service_.accepts(*instance, now) &&
           loads_.accepts_work(server.id, now);
}

auto entry_router::is_bound_to_server(const request_state& state) const -> bool
{
    return state.request.key || state.request.idempotency_key;
}

auto entry_router::on_timer(request_map::iterator it, time_point now)
    -> std::optional<route_decision>
{
    auto& state = it->second;
    if (now >= state.request.deadline) {
        auto reason = state.in_progress.empty() ? refusal_reason::deadline_passed
                                                : refusal_reason::response_lost;
        return refuse(it, reason, default_retry_after);
    }
    if (state.held && now >= state.retry_at) {
        if (now >= state.hold_until) {
            return refuse(it, refusal_reason::slot_unavailable, default_retry_after);
        }
        return decide(it, now);
    }
    if (state.hedge_at && now >= *state.hedge_at) {
        state.hedge_at.reset();
        return hedge(it, now);
    }
    return std::nullopt;
}

auto entry_router::hedge(request_map::iterator it, time_point now) -> std::optional<route_decision>
{
    auto& state = it->second;
    auto& budget = budgets(state.request).hedges;
    if (state.in_progress.empty()) {
        return std::nullopt;
    }
    if (!budget.available()) {
        // Try again soon: the budget may allow the hedge then, and the requests that wait longest
        // need it most.
        state.hedge_at = now + hedge_retry_interval;
        schedule(it->first, *state.hedge_at);
        return std::nullopt;
    }
    auto service = current_service(state);
    auto server = choose(state, *service, now);
    if (!server || loads_.is_straggler(state.request.service, *server, now)) {
        return std::nullopt;
    }
    budget.try_spend();
    ++counters_.hedges;
    send_attempt out;
    out.server = *server;
    out.instance = *dispatcher_of(*server, now);
    out.hedge = true;
    return send(it, std::move(out), now);
}

auto entry_router::reschedule_hedge(request_map::iterator it, time_point now) -> void
{
    auto& state = it->second;
    --state.attempts;
    --counters_.hedges;
    budgets(state.request).hedges.refund();
    state.hedge_at = now + hedge_retry_interval;
    schedule(it->first, *state.hedge_at);
}

auto entry_router::budgets(const classified_request& request) -> service_budgets&
{
    const auto& policy = request.view->policy;
    service_budgets new_budgets{retry_budget{policy.retry_budget_percent},
                                retry_budget{policy.hedge_budget_percent}};
    auto& out = budgets_.try_emplace({request.service, policy.name}, new_budgets).first->second;
    out.retries.set_percent(policy.retry_budget_percent);
    out.hedges.set_percent(policy.hedge_budget_percent);
    return out;
}

auto entry_router::current_service(const request_state& state) const
    -> std::shared_ptr<const service_view>
{
    auto it = view_->services.find(state.request.service);
    auto changed_kind =
        it != view_->services.end() && it->second->config.keyed != state.request.key.has_value();
    return it == view_->services.end() || changed_kind ? state.request.view : it->second;
}

auto entry_router::unserved_since(const request_state& state, time_point now) -> time_point
{
    if (unserved_slots_.size() >= unserved_limit) {
        unserved_slots_.clear();
    }
    auto& since = unserved_slots_.try_emplace(slot_hash(state), now).first->second;
    // A record that is this old belongs to an earlier loss of the owner.
    if (now - since > 4 * max_hold_time) {
        since = now;
    }
    return since;
}

auto entry_router::slot_hash(const request_state& state) const -> std::uint64_t
{
    if (!state.request.key) {
        return hash_bytes(state.request.service.value());
    }
    auto slot = current_service(state)->slot_of(*state.request.key);
    return hash_bytes(state.request.service.value(), slot.value());
}

auto entry_router::schedule(request_id id, time_point at) -> void
{
    timers_.emplace_back(at, id);
    std::push_heap(timers_.begin(), timers_.end(), std::greater<>{});
}

auto entry_router::end_hold(request_state& state) -> void
{
    if (state.held) {
        state.held = false;
        --held_;
    }
}

} // namespace cornelswitch
