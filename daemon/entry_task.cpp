#include "daemon/entry_task.h"

#include "adapters/response_status.h"
#include "daemon/entry_mapping.h"
#include "routing/request_classifier.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelswitch {

namespace {

constexpr duration drain_check_interval = std::chrono::milliseconds{20};
/// A download that is interrupted more often is aborted.
constexpr std::uint32_t max_resumptions = 8;
constexpr duration overload_retry_after = std::chrono::milliseconds{100};

auto router_settings(const entry_options& options) -> router_options
{
    router_options out;
    out.self = options.self;
    out.zone = options.zone;
    out.seed = options.seed;
    out.max_held_requests = options.max_held_requests;
    out.choose_server = options.choose_server;
    return out;
}

auto refusal_with(int status, std::string name, std::string message) -> refusal_answer
{
    refusal_answer out;
    out.status = status;
    out.name = std::move(name);
    out.message = std::move(message);
    out.step = "accept-request";
    return out;
}

auto is_range_header(const header_field& it) -> bool
{
    return it.name == "range" || it.name == "if-range";
}

} // namespace

entry_task::entry_task(event_loop& loop, entry_options options, const clock& time, logger& log,
                       mailbox<agent_message> to_agent)
    : loop_{loop}, options_{std::move(options)}, time_{time}, log_{log},
      to_agent_{std::move(to_agent)}, router_{router_settings(options_)}
{
}

entry_task::~entry_task()
{
    loop_.cancel(wakeup_);
    loop_.cancel(drain_timer_);
    loop_.cancel(metrics_timer_);
    auto requests = std::exchange(requests_, {});
    for (auto& [id, it] : requests) {
        it->ended = true;
        it->caller->on_closed = nullptr;
        it->caller->on_sent = nullptr;
    }
    // The handlers of open calls refer to this task and keep their client alive. Closing the client
    // drops them.
    for (auto& [address, peer] : peers_) {
        peer->close();
    }
    peers_.clear();
    server_.reset();
}

auto entry_task::open() -> result<void>
{
    auto handler = [this](std::shared_ptr<exchange> it) { on_request(std::move(it)); };
    BOOST_OUTCOME_TRY(opened, http_server::open(loop_, options_.server, handler));
    server_ = std::move(opened);
    publish_metrics();
    return success();
}

auto entry_task::publish_metrics() -> void
{
    metrics_timer_ = loop_.schedule(options_.report_interval, [this] { publish_metrics(); });
    if (options_.metrics) {
        options_.metrics(std::make_shared<const request_metrics>(metrics_));
    }
}

auto entry_task::handle(entry_message message) -> void
{
    std::visit([this](const auto& it) { on_message(it); }, message);
}

auto entry_task::on_message(const view_changed& changed) -> void
{
    view_ = changed.view;
    remove_unlisted_peers();
    apply(router_.set_view(view_, time_.now()));
    schedule_wakeup();
}

auto entry_task::on_message(const entry_shutdown&) -> void
{
    if (!std::exchange(shutting_down_, true)) {
        server_->shut_down();
        report_drained();
    }
}

auto entry_task::on_request(std::shared_ptr<exchange> caller) -> void
{
    if (auto answer = check_request(*caller)) {
        send_refusal(*caller, *answer);
        return;
    }
    auto it = std::make_shared<entry_request>();
    it->id = request_id{++last_request_id_};
    it->caller = std::move(caller);
    it->received = time_.now();
    it->body_bytes = it->caller->request().body.size();
    buffered_bytes_ += it->body_bytes;
    requests_.emplace(it->id, it);
    it->caller->on_closed = [this, weak = std::weak_ptr{it}] {
        if (auto request = weak.lock()) {
            on_caller_disconnected(request);
        }
    };
    route(it);
    schedule_wakeup();
}

auto entry_task::check_request(const exchange& caller) const -> std::optional<refusal_answer>
{
    const auto& request = caller.request();
    std::size_t header_bytes = request.path.size();
    for (const auto& it : request.headers) {
        header_bytes += it.name.size() + it.value.size();
        bool is_internal = it.name.starts_with(internal_prefix);
        if (is_internal && count_headers(request.headers, it.name) > 1) {
            return refusal_with(400, "invalid-request", it.name + ": header is repeated");
        }
    }
    if (header_bytes > options_.max_header_bytes) {
        return refusal_with(431, "headers-too-large", "request headers exceed the limit");
    }
    if (request.method == "CONNECT" || request.method == "TRACE") {
        return refusal_with(405, "method-not-allowed", request.method + " is not supported");
    }
    if (buffered_bytes_ + request.body.size() > options_.max_buffered_bytes) {
        auto answer = refusal_with(503, "bodies-full", "memory limit for request bodies reached");
        answer.retry_after = overload_retry_after;
        return answer;
    }
    return std::nullopt;
}

auto entry_task::check_body(const entry_request& it) const -> std::optional<refusal_answer>
{
    const auto* classified = router_.find(it.id);
    if (classified == nullptr || it.body_bytes <= classified->view->config.max_request_body) {
        return std::nullopt;
    }
    return refusal_with(413, "body-too-large", "request body exceeds max_request_body");
}

auto entry_task::route(const request_ptr& it) -> void
{
    const auto& request = it->caller->request();
    auto now = time_.now();
    auto decision = router_.route(it->id, head_of(request), now);
    if (const auto* classified = router_.find(it->id)) {
        it->tenant = classified->tenant;
        it->priority = classified->priority;
        it->idempotent = classified->idempotent;
    }
    if (auto answer = check_body(*it)) {
        router_.cancel(it->id);
        refuse(it, *answer);
        return;
    }
    const auto* refused = std::get_if<refusal>(&decision);
    if (refused != nullptr && refused->reason == refusal_reason::invalid_request && view_) {
        auto answer = make_refusal(*refused, "accept-request", {});
        auto classified = classify_request(head_of(request), *view_, now);
        answer.message = classified.has_error() ? classified.error().message : "invalid request";
        refuse(it, std::move(answer));
        return;
    }
    apply(it, decision);
}

auto entry_task::apply(const std::vector<routed_request>& decisions) -> void
{
    for (const auto& it : decisions) {
        auto found = requests_.find(it.id);
        if (found != requests_.end()) {
            apply(request_ptr{found->second}, it.decision);
        }
    }
}

auto entry_task::apply(const request_ptr& it, const route_decision& decision) -> void
{
    if (const auto* sent = std::get_if<send_attempt>(&decision)) {
        start_attempt(it, *sent);
    } else if (const auto* refused = std::get_if<refusal>(&decision)) {
        refuse(it, *refused);
    }
}

auto entry_task::refuse(const request_ptr& it, const refusal& refused) -> void
{
    auto answer = make_refusal(refused, "route-request", {});
    if (it->last_refusal) {
        const auto& last = *it->last_refusal;
        answer.message = last.name + (last.message.empty() ? "" : ": " + last.message);
        answer.step = last.step;
        answer.peer = last.peer;
    }
    refuse(it, std::move(answer));
}

auto entry_task::refuse(const request_ptr& it, refusal_answer answer) -> void
{
    if (it->resuming) {
        abort_response(it);
        return;
    }
    if (it->ended || it->selected) {
        return;
    }
    it->caller->on_closed = nullptr;
    send_refusal(*it->caller, answer);
    bool is_not_run = answer.outcome == request_outcome::not_run;
    finish(it, is_not_run ? request_end::not_run : request_end::unknown);
}

auto entry_task::start_attempt(const request_ptr& it, const send_attempt& sent) -> void
{
    auto attempt = std::make_shared<entry_attempt>();
    attempt->sent = sent;
    attempt->peer = peer_of(sent.instance);
    it->attempts.push_back(attempt);
    if (attempt->peer == nullptr) {
        attempt_failure failure;
        failure.attempt = sent.attempt;
        failure.kind = failure_kind::connection_refused;
        on_attempt_failed(it, failure);
        return;
    }
    response_handlers handlers;
    handlers.on_head = [this, it, attempt](response_head head) {
        on_head(it, attempt, std::move(head));
    };
    handlers.on_data = [this, it, attempt](std::string_view data) { on_data(it, attempt, data); };
    handlers.on_end = [this, it, attempt](const call_result& outcome) {
        on_end(it, attempt, outcome);
    };
    attempt->call = attempt->peer->send(make_request(*it, sent), std::move(handlers));
}

auto entry_task::make_request(const entry_request& it, const send_attempt& sent) const
    -> http_request
{
    const auto& from = it.caller->request();
    forwarded_request info;
    const auto* classified = router_.find(it.id);
    if (classified != nullptr) {
        info.service = classified->service;
        info.key = classified->key;
    }
    info.server = sent.server;
    info.tenant = it.tenant;
    info.priority = it.priority;
    info.remaining = std::max<duration>(sent.deadline - time_.now(), duration{1});
    info.slot = sent.slot;
    info.epoch = sent.epoch;
    info.hedge = sent.hedge;
    http_request out{from.method, from.path, without_internal(from.headers), from.body};
    for (auto& header : forward_headers(info)) {
        out.headers.push_back(std::move(header));
    }
    if (it.resuming) {
        std::erase_if(out.headers, is_range_header);
        auto rest = it.resume->next_request();
        out.headers.push_back({"range", rest.range});
        out.headers.push_back({"if-range", rest.if_range});
    }
    return out;
}

auto entry_task::peer_of(const instance_id& instance) -> std::shared_ptr<peer_client>
{
    if (!view_) {
        return nullptr;
    }
    auto it = view_->instances.find(instance);
    if (it == view_->instances.end()) {
        return nullptr;
    }
    auto& peer = peers_[it->second.data_endpoint];
    if (!peer) {
        peer = std::make_shared<peer_client>(loop_, it->second.data_endpoint, options_.peer);
    }
    return peer;
}

auto entry_task::remove_unlisted_peers() -> void
{
    std::set<endpoint> known;
    for (const auto& [id, instance] : view_->instances) {
        known.insert(instance.data_endpoint);
    }
    std::erase_if(peers_, [&](const auto& it) {
        return !known.contains(it.first) && it.second->open_calls() == 0;
    });
}

auto entry_task::on_head(const request_ptr& it, const attempt_ptr& attempt, response_head head)
    -> void
{
    if (it->ended || it->selected) {
        return;
    }
    if (auto answer = parse_refusal(head)) {
        attempt->refused = true;
        on_refused(it, attempt, *answer);
        return;
    }
    auto others =
        router_.on_response(it->id, attempt->sent.attempt, load_of(head.headers), time_.now());
    for (const auto& other : others) {
        if (auto canceled = it->find_attempt(other.attempt); canceled && canceled->peer) {
            canceled->peer->cancel(canceled->call);
        }
    }
    if (promises_no_execution(head.status) && !it->idempotent) {
        replace_response(it, attempt, head.status);
        return;
    }
    it->selected = attempt;
    if (it->resuming) {
        on_resumed_head(it, head);
    } else {
        start_response(it, attempt, std::move(head));
    }
}

auto entry_task::replace_response(const request_ptr& it, const attempt_ptr& attempt, int status)
    -> void
{
    refusal_answer answer;
    answer.status = 502;
    answer.name = "server-error";
    answer.message = "backend server answered " + std::to_string(status) +
                     " without stating that the request did not run";
    answer.outcome = request_outcome::unknown;
    answer.step = "read-response";
    answer.peer = attempt->sent.server.value();
    log_.log(log_level::warning, answer.step, answer.peer, answer.message);
    refuse(it, std::move(answer));
}

auto entry_task::start_response(const request_ptr& it, const attempt_ptr& attempt,
                                response_head head) -> void
{
    const auto& method = it->caller->request().method;
    it->resume = download_resume::start(method, it->idempotent, download_of(head));
    it->has_length = head.content_length.has_value();
    it->caller->on_sent = [it = it.get()](std::size_t n) {
        auto of_ended = std::min(n, it->unsent_of_ended_calls);
        it->unsent_of_ended_calls -= of_ended;
        it->unsent -= std::min(n, it->unsent);
        it->selected->peer->consumed(it->selected->call, n - of_ended);
    };
    head.headers = without_internal(head.headers);
    head.headers.push_back({"cornelswitch-server", attempt->sent.server.value()});
    it->caller->start(head);
}

auto entry_task::on_resumed_head(const request_ptr& it, const response_head& head) -> void
{
    auto decision = it->resume->on_response(download_of(head));
    switch (decision.action) {
    case resume_action::append:
        it->skip_bytes = 0;
        break;
    case resume_action::skip_then_append:
        it->skip_bytes = decision.skip_bytes;
        break;
    case resume_action::complete:
        it->caller->on_closed = nullptr;
        it->caller->finish();
        finish(it, request_end::answered);
        break;
    case resume_action::retry:
        if (!resume(it)) {
            abort_response(it);
        }
        break;
    case resume_action::abort:
        abort_response(it);
    }
}

auto entry_task::resume(const request_ptr& it) -> bool
{
    if (!it->resume || it->resumptions >= max_resumptions) {
        return false;
    }
    ++it->resumptions;
    cancel_attempts(*it);
    it->attempts.clear();
    it->resuming = true;
    it->selected.reset();
    it->unsent_of_ended_calls = it->unsent;
    // The router treats the resumption as a new request, with a new deadline.
    requests_.erase(it->id);
    it->id = request_id{++last_request_id_};
    requests_.emplace(it->id, it);
    route(it);
    schedule_wakeup();
    return true;
}

auto entry_task::abort_response(const request_ptr& it) -> void
{
    it->caller->on_closed = nullptr;
    it->caller->abort();
    finish(it, request_end::failed);
}

auto entry_task::on_refused(const request_ptr& it, const attempt_ptr& attempt,
                            const refusal_answer& answer) -> void
{
    it->last_refusal = answer;
    if (answer.name.starts_with("idempotency-")) {
        router_.cancel(it->id);
        refuse(it, answer);
        return;
    }
    on_attempt_failed(it, failure_of(attempt->sent.attempt, answer));
}

auto entry_task::on_data(const request_ptr& it, const attempt_ptr& attempt, std::string_view data)
    -> void
{
    if (it->selected != attempt || it->ended) {
        attempt->peer->consumed(attempt->call, data.size());
        return;
    }
    auto skipped = std::min<std::uint64_t>(it->skip_bytes, data.size());
    it->skip_bytes -= skipped;
    attempt->peer->consumed(attempt->call, skipped);
    data.remove_prefix(skipped);
    if (it->resume) {
        it->resume->on_body(data.size());
    }
    it->unsent += data.size();
    it->caller->write(data);
}

auto entry_task::on_end(const request_ptr& it, const attempt_ptr& attempt,
                        const call_result& outcome) -> void
{
    if (it->ended || attempt->refused) {
        return;
    }
    if (it->selected == attempt) {
        on_response_end(it, outcome);
        return;
    }
    bool is_current = it->find_attempt(attempt->sent.attempt) == attempt;
    if (it->selected || outcome.has_value() || !is_current) {
        return;
    }
    const auto& failure = outcome.error();
    log_.log(log_level::info, failure.cause.step, failure.cause.peer, failure.cause.message);
    it->last_refusal = refusal_answer{};
    it->last_refusal->name = to_string(failure.cause.code);
    it->last_refusal->message = failure.cause.message;
    it->last_refusal->step = failure.cause.step;
    it->last_refusal->peer = failure.cause.peer;
    on_attempt_failed(it, failure_of(attempt->sent.attempt, failure));
}

auto entry_task::on_response_end(const request_ptr& it, const call_result& outcome) -> void
{
    bool is_incomplete = it->resuming && it->has_length && !it->resume->finished();
    if (outcome.has_value() && !is_incomplete) {
        it->caller->on_closed = nullptr;
        it->caller->finish();
        finish(it, request_end::answered);
    } else if (!resume(it)) {
        abort_response(it);
    }
}

auto entry_task::on_attempt_failed(const request_ptr& it, const attempt_failure& failure) -> void
{
    apply(it, router_.on_failure(it->id, failure, time_.now()));
    schedule_wakeup();
}

auto entry_task::on_caller_disconnected(const request_ptr& it) -> void
{
    if (it->ended) {
        return;
    }
    router_.cancel(it->id);
    it->caller->abort();
    finish(it, request_end::canceled);
}

auto entry_task::cancel_attempts(entry_request& it) -> void
{
    for (const auto& attempt : it.attempts) {
        if (attempt->peer != nullptr && !attempt->refused) {
            attempt->peer->cancel(attempt->call);
        }
    }
}

auto entry_task::finish(const request_ptr& it, request_end end) -> void
{
    if (std::exchange(it->ended, true)) {
        return;
    }
    metrics_.record_end(it->tenant, it->priority, end, time_.now() - it->received);
    cancel_attempts(*it);
    buffered_bytes_ -= it->body_bytes;
    it->caller->on_sent = nullptr;
    requests_.erase(it->id);
}

auto entry_task::poll() -> void
{
    apply(router_.poll(time_.now()));
    schedule_wakeup();
}

auto entry_task::schedule_wakeup() -> void
{
    loop_.cancel(wakeup_);
    if (auto at = router_.next_wakeup()) {
        wakeup_ = loop_.schedule(*at - time_.now(), [this] { poll(); });
    }
}

auto entry_task::report_drained() -> void
{
    if (requests_.empty() && server_->open_requests() == 0 && !std::exchange(drained_, true)) {
        to_agent_(task_drained{});
        return;
    }
    if (!drained_) {
        drain_timer_ = loop_.schedule(drain_check_interval, [this] { report_drained(); });
    }
}

} // namespace cornelswitch
