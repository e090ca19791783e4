#include "gateway/caller_exchange.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// Deadline of a request that states none.
constexpr duration default_deadline = std::chrono::seconds{5};
/// A route without a latency objective gets the time to the deadline divided by this.
constexpr int default_objective_divisor = 4;
/// Longest idle time of a reused connection. After a longer one the server may close the connection
/// while the request is in transit, which leaves the outcome unknown.
constexpr duration max_idle_non_idempotent = std::chrono::seconds{3};
constexpr duration max_idle_idempotent = milliseconds{8500};
/// Most admissions for one request. Attempts that could not reach their server count here too.
constexpr std::uint32_t max_admissions = 4;
/// Retry-After time of a response when the scheduler gave none.
constexpr duration default_retry_after = milliseconds{250};
/// Priorities of routes are below this. The priority of a workspace goes before the one of the
/// route.
constexpr std::uint32_t route_priorities = 256;
/// Bodies up to this size are sent in one write with the head of the request.
constexpr std::size_t max_body_beside_head = std::size_t{16} * 1024;
/// Retry-After time of a request for whose body there was no memory.
constexpr duration no_memory_retry_after = std::chrono::seconds{1};
/// A retry is not attempted with less time left than this.
constexpr duration min_time_for_retry = milliseconds{60};

auto route_work_class(const std::string& route) -> work_class
{
    // Never 0, which means an unknown class.
    return work_class{static_cast<std::uint32_t>(std::hash<std::string>{}(route)) | 1U};
}

} // namespace

caller_exchange::caller_exchange(exchange_services& services, http1_head head, output sink)
    : services_{services}, output_{std::move(sink)}, head_{std::move(head)},
      info_{decode_caller_request(head_.headers)}, received_{services.loop.now()},
      keeps_connection_{head_.keeps_alive}, response_memory_{services.memory, memory_kind::response}
{
    deadline_ = received_ + info_.deadline.value_or(default_deadline);
    objective_ = received_;
}

auto caller_exchange::time_left() const -> duration
{
    return deadline_ - services_.loop.now();
}

auto caller_exchange::reject(int status, std::string_view reason) -> void
{
    keeps_connection_ = false;
    respond(status, reason, std::nullopt);
}

auto caller_exchange::refuse_body(std::string_view reason) -> void
{
    keeps_connection_ = false;
    refuse(reason, no_memory_retry_after);
}

auto caller_exchange::try_reserve_body(std::uint64_t bytes) -> bool
{
    if (!body_) {
        body_ = std::make_shared<request_body>(services_.memory);
    }
    return body_->try_reserve(bytes);
}

auto caller_exchange::route() -> bool
{
    configuration_ = services_.configuration();
    if (!configuration_) {
        refuse("no-configuration", default_retry_after);
        return false;
    }
    const auto* host = find_header(head_.headers, "host");
    route_ = configuration_->routes.find(host != nullptr ? *host : "", head_.target);
    if (route_ == nullptr) {
        respond(404, "no-route", std::nullopt);
        return false;
    }
    if (!authenticate() || !take_quota()) {
        return false;
    }
    service_ = services_.choose_target(*route_);
    auto service = configuration_->content.services.find(service_);
    is_keyed_ = service != configuration_->content.services.end() && service->second.is_keyed;
    if (route_->timeout > duration::zero()) {
        deadline_ = std::min(deadline_, received_ + route_->timeout);
    }
    auto objective = route_->latency_objective > duration::zero()
                         ? route_->latency_objective
                         : (deadline_ - received_) / default_objective_divisor;
    objective_ = received_ + objective;
    return true;
}

auto caller_exchange::authenticate() -> bool
{
    const auto& workspaces = configuration_->workspaces;
    if (!workspaces || route_->is_public) {
        return true;
    }
    workspace_ = workspaces->find(info_.api_key);
    if (workspace_ == nullptr) {
        services_.metrics.count("unknown_api_keys_total");
        respond(401, info_.api_key.empty() ? "no-api-key" : "unknown-api-key", std::nullopt);
        return false;
    }
    return true;
}

auto caller_exchange::take_quota() -> bool
{
    if (workspace_ == nullptr || !workspace_->quota) {
        return true;
    }
    auto decision = services_.quotas.admit(*workspace_);
    holds_quota_ = decision.is_admitted;
    if (!decision.is_admitted) {
        services_.metrics.count("refusals_total");
        services_.metrics.count("over_quota_total");
        respond(429, "over-quota", decision.retry_after);
    }
    return decision.is_admitted;
}

auto caller_exchange::priority() const -> std::uint32_t
{
    if (!configuration_->workspaces) {
        return route_->priority;
    }
    auto first =
        workspace_ != nullptr ? workspace_->priority.value_or(route_->priority) : route_->priority;
    return first * route_priorities + std::min(route_->priority, route_priorities - 1);
}

auto caller_exchange::run() -> void
{
    if (phase_ == phase::done) {
        return;
    }
    phase_ = phase::waiting;
    services_.metrics.count("requests_total");
    if (!route()) {
        return;
    }
    timer_ = services_.loop.schedule(time_left(), [self = shared_from_this()] {
        self->timer_ = 0;
        self->on_timeout();
    });
    services_.admissions.count_request(service_);
    request_admission();
}

auto caller_exchange::request_admission() -> void
{
    phase_ = phase::waiting;
    ++admission_count_;
    admission_request request;
    if (is_keyed_) {
        request.key = info_.key;
    }
    request.work = route_work_class(route_->name);
    request.priority = priority();
    request.has_large_response = route_->kind == request_kind::download;
    request.received = received_;
    request.objective = objective_;
    request.deadline = deadline_;
    request.excluded = excluded_;
    std::weak_ptr<caller_exchange> weak = weak_from_this();
    // The handler may run before `request` returns the id.
    auto id = services_.admissions.request(service_, std::move(request),
                                           [weak](const admission_decision& decision) {
                                               if (auto self = weak.lock()) {
                                                   self->on_decision(decision);
                                               }
                                           });
    if (phase_ == phase::waiting && !admission_) {
        admission_ = id;
    }
}

auto caller_exchange::on_decision(const admission_decision& decision) -> void
{
    if (phase_ != phase::waiting) {
        return;
    }
    queue_time_ += decision.queue_time;
    decision_ = decision;
    if (decision.outcome == admission_outcome::refuse) {
        admission_.reset();
        if (may_have_run_) {
            respond(502, to_string(decision.cause), std::nullopt);
        } else {
            refuse(to_string(decision.cause), decision.retry_after);
        }
        return;
    }
    admission_ = decision.id;
    send(decision.server);
}

auto caller_exchange::send(const server_id& server) -> void
{
    server_ = server;
    rate_limit_.reset();
    const auto* server_record = services_.directory.find(server);
    phase_ = phase::sending;
    if (server_record == nullptr) {
        on_failure(attempt_outcome::unreachable, false, "server is not in the directory");
        return;
    }
    server_incarnation_ = server_record->entry.incarnation.value();
    auto now = services_.loop.now();
    if (!services_.directory.notices().may_send(server, server_incarnation_, is_keyed_, now)) {
        withhold_attempt(now);
        return;
    }
    ++attempts_sent_;
    expected_cold_time_ =
        std::max(server_record->cold_until, server_record->presumed_cold_until) - now;
    is_committed_ = false;
    is_held_back_ = false;
    response_body_.clear();
    response_bytes_ = 0;
    server_attempt_request request;
    request.server = server;
    request.address = server_record->entry.address;
    request.request_id = info_.id;
    request.is_head = head_.method == "HEAD";
    request.max_idle = is_idempotent() ? max_idle_idempotent : max_idle_non_idempotent;
    bool has_body = head_.framing != body_framing::none || body_size() > 0;
    auto length = has_body ? std::optional<std::uint64_t>{body_size()} : std::nullopt;
    std::optional<forwarded_identity> identity;
    if (configuration_->workspaces) {
        identity = forwarded_identity{workspace_ != nullptr ? workspace_->name.value() : ""};
    }
    request.bytes = encode_server_request(head_, server, time_left(), length, identity);
    if (body_size() > max_body_beside_head) {
        request.body = body_;
    } else if (body_size() > 0) {
        request.bytes.append(body_->blocks().front());
    }
    sent_at_ = services_.loop.now();
    std::weak_ptr<caller_exchange> weak = weak_from_this();
    attempt_handlers handlers;
    handlers.on_head = [weak](http1_head head, const server_response_info& info) {
        if (auto self = weak.lock()) {
            self->on_head(std::move(head), info);
        }
    };
    handlers.on_body = [weak](std::string_view bytes) {
        if (auto self = weak.lock()) {
            self->on_body(bytes);
        }
    };
    handlers.on_end = [weak] {
        if (auto self = weak.lock()) {
            self->on_end();
        }
    };
    handlers.on_failure = [weak](attempt_outcome outcome, bool was_reused, std::string_view cause) {
        if (auto self = weak.lock()) {
            self->on_failure(outcome, was_reused, cause);
        }
    };
    handlers.on_sent = [weak] {
        if (auto self = weak.lock()) {
            self->sent_at_ = self->services_.loop.now();
        }
    };
    attempt_ = services_.pool.send(std::move(request), std::move(handlers));
    if (services_.memory.pressure() != memory_pressure::none) {
        pause_waiting_response();
    }
}

auto caller_exchange::withhold_attempt(time_point now) -> void
{
    const auto& notices = services_.directory.notices();
    bool is_leaving = notices.leaving_since(server_, server_incarnation_).has_value();
    auto held_until = notices.held_off_until(server_, now);
    services_.log.request_line("attempt-withheld")
        .text("id", info_.id)
        .text("server", server_.value())
        .text("cause", is_leaving ? "server is shutting down" : "server requested a hold-off")
        .ms("hold_off_ms", held_until ? *held_until - now : duration::zero());
    response_info_ = {};
    response_info_.hold_off = held_until ? *held_until - now : duration::zero();
    service_time_ = duration::zero();
    if (is_leaving) {
        // The scheduler still admits requests to this server.
        services_.admissions.on_server_leaving(service_, server_, server_incarnation_);
    }
    report(attempt_outcome::withheld);
    if (!is_keyed_) {
        excluded_.push_back(server_);
    }
    retry_or_respond(503, "server-withheld", false);
}

auto caller_exchange::report(attempt_outcome outcome) -> void
{
    if (!admission_) {
        return;
    }
    attempt_report out;
    out.outcome = outcome;
    out.service_time = service_time_;
    out.hold_off = response_info_.hold_off;
    if (rate_limit_) {
        out.rate_limit = rate_limit_notice{rate_limit_->limit, services_.loop.now() - answered_at_};
    }
    if (response_info_.load) {
        out.reported_running = response_info_.load->running;
        out.reported_waiting = response_info_.load->waiting;
        out.slowness_percent = response_info_.load->slowness_percent;
    }
    auto id = *std::exchange(admission_, std::nullopt);
    services_.admissions.complete(service_, id, out);
}

auto caller_exchange::on_failure(attempt_outcome outcome, bool was_reused, std::string_view cause)
    -> void
{
    attempt_.reset();
    if (phase_ == phase::done) {
        return;
    }
    services_.log.request_line("attempt-failed")
        .text("id", info_.id)
        .text("server", server_.value())
        .text("outcome", outcome == attempt_outcome::unreachable ? "unreachable" : "broken")
        .text("cause", cause)
        .number("kept_connection", was_reused ? 1 : 0)
        .ms("after_ms", services_.loop.now() - sent_at_);
    service_time_ = duration::zero();
    response_info_ = {};
    report(outcome);
    if (is_committed_) {
        abort_response(cause);
        return;
    }
    bool may_have_run = outcome != attempt_outcome::unreachable;
    if (!may_have_run) {
        // Nothing was sent, so this does not count as an attempt.
        attempts_sent_ -= std::min(1U, attempts_sent_);
    }
    if (!is_keyed_) {
        excluded_.push_back(server_);
    }
    may_have_run_ = may_have_run_ || may_have_run;
    retry_or_respond(502, may_have_run ? "server-failed" : "server-unreachable", may_have_run);
}

auto caller_exchange::retry_or_respond(int status, std::string_view reason, bool may_have_run)
    -> void
{
    phase_ = phase::waiting;
    bool is_allowed = (!may_have_run || is_idempotent()) && attempts_sent_ < route_->max_attempts &&
                      admission_count_ < max_admissions && time_left() > min_time_for_retry;
    // A request that was never sent is not retried, only rerouted.
    bool is_retry = attempts_sent_ > 0;
    if (is_allowed && (!is_retry || services_.admissions.try_take_retry(service_))) {
        services_.metrics.count(is_retry ? "repeats_total" : "reroutes_total");
        request_admission();
        return;
    }
    if (may_have_run_) {
        respond(status == 503 ? 502 : status, reason, std::nullopt);
    } else {
        refuse(reason, default_retry_after);
    }
}

auto caller_exchange::stop_attempt() -> bool
{
    bool was_sent = phase_ == phase::sending || phase_ == phase::responding;
    if (attempt_) {
        attempt_->cancel();
        attempt_.reset();
    }
    if (was_sent) {
        service_time_ = duration::zero();
        response_info_ = {};
        report(attempt_outcome::canceled);
    } else if (admission_) {
        services_.admissions.withdraw(service_, *std::exchange(admission_, std::nullopt));
    }
    return was_sent;
}

auto caller_exchange::on_timeout() -> void
{
    auto self = shared_from_this();
    if (phase_ == phase::done) {
        return;
    }
    if (phase_ == phase::responding && (is_committed_ || is_held_back_)) {
        // Part of the response was passed on or would have been without the earlier ones, so the
        // rest may follow for `late_timeout`.
        timer_ = services_.loop.schedule(services_.response_limits.late_timeout, [self] {
            self->timer_ = 0;
            self->cut_response("no end of the response after the deadline");
        });
        return;
    }
    respond_unanswered();
}

auto caller_exchange::respond_unanswered() -> void
{
    if (stop_attempt() || may_have_run_) {
        respond(504, "timeout", std::nullopt);
    } else {
        refuse("timeout", default_retry_after);
    }
}

auto caller_exchange::cut_response(std::string_view cause) -> void
{
    if (phase_ == phase::done) {
        return;
    }
    auto self = shared_from_this();
    if (!is_committed_) {
        respond_unanswered();
        return;
    }
    stop_attempt();
    abort_response(cause);
}

auto caller_exchange::cancel() -> void
{
    auto self = shared_from_this();
    if (phase_ == phase::done) {
        return;
    }
    stop_attempt();
    output_ = {};
    finish(0, "caller-left", "");
}

auto caller_exchange::respond_now() -> void
{
    auto self = shared_from_this();
    if (phase_ == phase::done || is_committed_) {
        return;
    }
    if (phase_ == phase::reading) {
        refuse("stopping", default_retry_after);
        return;
    }
    respond_unanswered();
}

auto caller_exchange::on_next() -> void
{
    if (phase_ == phase::responding && is_held_back_) {
        commit_response();
    }
}

auto caller_exchange::close_after_response() -> bool
{
    if (is_committed_ || phase_ == phase::done) {
        return false;
    }
    keeps_connection_ = false;
    return true;
}

auto caller_exchange::set_writable(bool is_writable) -> void
{
    // A response that has not begun is not paused here, only by `pause_waiting_response`.
    if (attempt_ && (phase_ == phase::responding || (phase_ == phase::sending && is_writable))) {
        attempt_->set_reading(is_writable);
    }
}

auto caller_exchange::pause_response() -> void
{
    if (attempt_) {
        attempt_->set_reading(false);
    }
}

auto caller_exchange::pause_waiting_response() -> void
{
    if (attempt_ && !is_committed_ && !output_.is_next()) {
        attempt_->set_reading(false);
    }
}

auto caller_exchange::refuse(std::string_view reason, duration retry_after) -> void
{
    services_.metrics.count("refusals_total");
    respond(503, reason, retry_after);
}

auto caller_exchange::respond(int status, std::string_view reason,
                              std::optional<duration> retry_after) -> void
{
    if (phase_ == phase::done) {
        return;
    }
    if (output_.write) {
        output_.write(encode_gateway_response(status, info_.id, reason, retry_after,
                                              keeps_connection_, head_.method != "HEAD"));
    }
    finish(status, retry_after ? "refused" : "failed", reason);
}

auto caller_exchange::abort_response(std::string_view cause) -> void
{
    auto abort = output_.abort;
    output_ = {};
    finish(0, "response-cut", cause);
    if (abort) {
        abort();
    }
}

auto caller_exchange::finish(int status, std::string_view outcome, std::string_view cause) -> void
{
    auto self = shared_from_this();
    phase_ = phase::done;
    services_.loop.cancel(timer_);
    timer_ = 0;
    attempt_.reset();
    body_.reset();
    response_body_ = {};
    response_memory_.resize(0);
    auto total = services_.loop.now() - received_;
    auto line = services_.log.request_line("request");
    line.text("id", info_.id)
        .text("outcome", outcome)
        .number("status", status)
        .ms("total_ms", total);
    if (!cause.empty()) {
        line.text("cause", cause);
    }
    if (route_ != nullptr) {
        line.text("route", route_->name)
            .text("service", service_.value())
            .text("server", server_.value())
            .number("config_version", static_cast<std::int64_t>(configuration_->content.version))
            .number("sends", attempts_sent_)
            .ms("queued_ms", queue_time_)
            .number("queue", decision_.queue_length)
            .ms("deadline_ms", deadline_ - received_);
        if (decision_.cause != refusal_cause::none) {
            line.ms("expected_wait_ms", decision_.expected_wait)
                .ms("retry_after_ms", decision_.retry_after)
                .number("priority_level", decision_.valuation.level)
                .decimal("value", decision_.valuation.value)
                .decimal("favoured_value", decision_.valuation.favoured_value)
                .number("displaced", decision_.valuation.is_displaced ? 1 : 0)
                .number("returning", decision_.valuation.is_returning ? 1 : 0)
                .number("return_place", decision_.valuation.has_place ? 1 : 0);
        }
        if (decision_.rate_limit) {
            line.decimal("rate_limit", decision_.rate_limit->limit.per_second)
                .ms("rate_limit_age_ms", decision_.rate_limit->age)
                .text("rate_limit_from", decision_.rate_limit->reported_by.value());
        }
        if (expected_cold_time_ > duration::zero()) {
            line.ms("server_cold_ms", expected_cold_time_);
        }
        if (!decision_.decided_by.value().empty()) {
            line.text("decided_by", decision_.decided_by.value());
        }
        services_.metrics.observe("request_ms", route_->name, total);
    }
    if (std::exchange(holds_quota_, false) && attempts_sent_ == 0 && !may_have_run_) {
        services_.quotas.give_back(*workspace_);
    }
    if (workspace_ != nullptr) {
        if (outcome == "refused") {
            services_.quotas.count_refusal(*workspace_, cause);
        }
        line.text("workspace", workspace_->name.value());
    }
    if (info_.key && is_keyed_) {
        line.number("key", *info_.key);
    }
    services_.metrics.count("outcome_" +
                            std::string{outcome == "caller-left"    ? "caller_left"
                                        : outcome == "response-cut" ? "response_cut"
                                                                    : outcome} +
                            "_total");
    if (auto on_finish = std::exchange(output_.finish, nullptr)) {
        on_finish(keeps_connection_);
    }
}

} // namespace cornelswitch
