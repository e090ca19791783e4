#include "routing/server_scheduler.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

constexpr duration min_retry_after = std::chrono::milliseconds{10};
// After about one grant renewal, the slots of a draining server have a new owner or the server is
// back.
constexpr duration drain_retry_after = std::chrono::milliseconds{200};

auto set_earlier(std::optional<time_point>& earliest, time_point at) -> void
{
    earliest = earliest ? std::min(*earliest, at) : at;
}

} // namespace

server_scheduler::server_scheduler(server_config server, profile policy, limit_hook limit)
    : server_{std::move(server)}, policy_{std::move(policy)},
      limit_hook_{std::move(limit)}, queue_{policy_.queue_limit}, ramp_{policy_.warmup_start,
                                                                        policy_.warmup_successes,
                                                                        server_.concurrency}
{
}

auto server_scheduler::configure(server_config server, profile policy) -> void
{
    server_ = std::move(server);
    policy_ = std::move(policy);
    queue_.set_limit(policy_.queue_limit);
    ramp_.configure(policy_.warmup_start, policy_.warmup_successes, server_.concurrency);
}

auto server_scheduler::take_over(std::uint32_t running, time_point now) -> void
{
    in_flight_tracker_.set_inherited(running, now + policy_.max_deadline +
                                                  in_flight_tracker::abandoned_margin);
    ramp_.restart();
}

auto server_scheduler::submit(const request_info& request, time_point now) -> submit_result
{
    submit_result out;
    if (draining_) {
        out.refusals.push_back(
            {request.id, refusal_reason::draining, request_outcome::not_run, drain_retry_after});
        return out;
    }
    auto hedge_limit = limit() - std::min(limit(), limit() / hedge_reserve_divisor);
    if (request.hedge && (!queue_.empty() || in_flight_tracker_.total() >= hedge_limit)) {
        out.refusals.push_back(make_queue_full_refusal(request));
        return out;
    }
    auto ahead = queue_.ahead_of(request);
    if (misses_deadline(request, now + required_time(ahead), now)) {
        out.refusals.push_back(make_deadline_refusal(request, ahead, now));
        return out;
    }
    auto pushed = queue_.push(request);
    out.queued = pushed.queued;
    if (!pushed.queued) {
        out.refusals.push_back(make_queue_full_refusal(request));
    } else if (pushed.displaced) {
        out.refusals.push_back(make_queue_full_refusal(*pushed.displaced));
    }
    return out;
}

auto server_scheduler::take_next(time_point now) -> std::optional<request_info>
{
    in_flight_tracker_.advance(now);
    if ((draining_ && now >= drain_until_) || now < send_paused_until_) {
        return std::nullopt;
    }
    send_paused_until_ = time_point{};
    while (in_flight_tracker_.total() < limit()) {
        auto request = queue_.pop();
        if (!request) {
            return std::nullopt;
        }
        if (misses_deadline(*request, now + service_time_.mean(), now)) {
            pending_refusals_.push_back(make_deadline_refusal(*request, 0, now));
            continue;
        }
        in_flight_tracker_.add(*request, now);
        return request;
    }
    return std::nullopt;
}

auto server_scheduler::on_response(const server_response& response, time_point now) -> void
{
    update_boot_id(response.boot);
    if (in_flight_tracker_.finish(response.id)) {
        update_ramp(response);
    }
    if (response.running) {
        in_flight_tracker_.on_report(*response.running, now);
    }
}

auto server_scheduler::on_connection_failed(request_id id, send_progress progress, time_point now)
    -> request_outcome
{
    ramp_.restart();
    if (progress == send_progress::before_first_byte) {
        in_flight_tracker_.finish(id);
        send_paused_until_ = now + connect_backoff;
        return request_outcome::not_run;
    }
    in_flight_tracker_.abandon(id, now);
    return request_outcome::unknown;
}

auto server_scheduler::on_report(boot_id boot, std::uint32_t running, time_point now) -> void
{
    update_boot_id(boot);
    in_flight_tracker_.on_report(running, now);
}

auto server_scheduler::on_cancel_confirmed(request_id id) -> void
{
    in_flight_tracker_.finish(id);
}

auto server_scheduler::cancel(request_id id, time_point now) -> cancel_result
{
    if (queue_.remove(id)) {
        return cancel_result::removed;
    }
    return in_flight_tracker_.abandon(id, now) ? cancel_result::in_flight
                                               : cancel_result::not_found;
}

auto server_scheduler::drain(time_point now) -> void
{
    if (!draining_) {
        draining_ = true;
        drain_until_ = now + drain_send_time;
    }
}

auto server_scheduler::resume() -> void
{
    draining_ = false;
}

auto server_scheduler::stop() -> std::vector<refusal>
{
    draining_ = true;
    drain_until_ = time_point{};
    auto out = std::exchange(pending_refusals_, {});
    for (const auto& it : queue_.remove_if([](const auto&, auto) { return true; })) {
        out.push_back(
            {it.id, refusal_reason::draining, request_outcome::not_run, drain_retry_after});
    }
    return out;
}

auto server_scheduler::expire(time_point now) -> std::vector<refusal>
{
    auto out = std::exchange(pending_refusals_, {});
    in_flight_tracker_.advance(now);
    expire_in_flight(now, out);
    expire_queue(now, out);
    return out;
}

auto server_scheduler::next_wakeup() const -> std::optional<time_point>
{
    if (!pending_refusals_.empty()) {
        return time_point{};
    }
    auto out = in_flight_tracker_.next_event();
    if (!queue_.empty()) {
        if (send_paused_until_ != time_point{}) {
            set_earlier(out, send_paused_until_);
        }
        set_earlier(out, last_checked_at_ + recheck_interval);
        set_earlier(out, *queue_.earliest_deadline());
    }
    return out;
}

auto server_scheduler::load() const -> load_sample
{
    load_sample out;
    out.queued = static_cast<std::uint32_t>(queue_.size());
    out.in_flight = in_flight_tracker_.total();
    out.limit = limit();
    out.service_time = service_time_.mean();
    out.accepts_work = !draining_;
    return out;
}

auto server_scheduler::limit() const -> std::uint32_t
{
    auto regular_limit = std::min({ramp_.limit(), server_.concurrency, server_.connections});
    return limit_hook_ ? limit_hook_(regular_limit) : regular_limit;
}

auto server_scheduler::connection_limit() const -> std::uint32_t
{
    auto inherited = in_flight_tracker_.inherited();
    return server_.connections > inherited ? server_.connections - inherited : 0;
}

auto server_scheduler::update_boot_id(boot_id boot) -> void
{
    if (boot == boot_id{} || boot == boot_id_) {
        return;
    }
    if (boot_id_ != boot_id{}) {
        in_flight_tracker_.on_restart();
        ramp_.restart();
    }
    boot_id_ = boot;
}

auto server_scheduler::update_ramp(const server_response& response) -> void
{
    switch (response.signal) {
    case response_signal::success:
        service_time_.add(response.latency);
        ramp_.on_success(response.latency);
        break;
    case response_signal::shed:
        ramp_.on_shed();
        break;
    case response_signal::failure:
        ramp_.on_failure();
        break;
    case response_signal::cold:
        ramp_.restart();
        break;
    }
}

auto server_scheduler::misses_deadline(const request_info& request, time_point end,
                                       time_point now) const -> bool
{
    // An idle server gets a request regardless of the estimate. Otherwise an estimate that is too
    // high would refuse every request and never be corrected.
    if (in_flight_tracker_.active() == 0 && queue_.size() <= 1) {
        return request.deadline <= now;
    }
    return request.deadline <= end;
}

auto server_scheduler::required_time(std::size_t ahead) const -> duration
{
    return wait_time(ahead) + service_time_margin * service_time_.mean();
}

auto server_scheduler::wait_time(std::size_t ahead) const -> duration
{
    auto max_running = std::max(1U, limit());
    auto running = std::min(max_running, in_flight_tracker_.total());
    auto free_places = max_running - running;
    if (ahead < free_places) {
        return duration{0};
    }
    auto departures = static_cast<duration::rep>(ahead + 1 - free_places);
    return service_time_.mean() * departures / max_running;
}

auto server_scheduler::make_queue_full_refusal(const request_info& request) const -> refusal
{
    // A retry is likely to be accepted after half of the queue has been processed.
    auto retry_after = std::max(min_retry_after, wait_time(queue_.size() / 2));
    return {request.id, refusal_reason::queue_full, request_outcome::not_run, retry_after};
}

auto server_scheduler::make_deadline_refusal(const request_info& request, std::size_t ahead,
                                             time_point now) const -> refusal
{
    if (request.deadline <= now) {
        return {request.id, refusal_reason::deadline_passed, request_outcome::not_run,
                min_retry_after};
    }
    auto excess = now + required_time(ahead) - request.deadline;
    return {request.id, refusal_reason::deadline_unreachable, request_outcome::not_run,
            std::max(min_retry_after, excess)};
}

auto server_scheduler::expire_queue(time_point now, std::vector<refusal>& out) -> void
{
    if (queue_.empty() ||
        now < std::min(last_checked_at_ + recheck_interval, *queue_.earliest_deadline())) {
        return;
    }
    last_checked_at_ = now;
    auto stopped = draining_ && now >= drain_until_;
    queue_.remove_if([&](const request_info& request, std::size_t ahead) {
        auto end = now + wait_time(ahead) + service_time_.mean();
        if (!stopped && !misses_deadline(request, end, now)) {
            return false;
        }
        auto it = make_deadline_refusal(request, ahead, now);
        if (stopped) {
            it.reason = refusal_reason::draining;
            it.retry_after = drain_retry_after;
        }
        out.push_back(it);
        return true;
    });
}

auto server_scheduler::expire_in_flight(time_point now, std::vector<refusal>& out) -> void
{
    for (const auto& request : in_flight_tracker_.overdue(now)) {
        in_flight_tracker_.abandon(request.id, now);
        service_time_.add_lower_bound(request.age);
        ramp_.on_failure();
        out.push_back(
            {request.id, refusal_reason::response_lost, request_outcome::unknown, min_retry_after});
    }
}

} // namespace cornelswitch
