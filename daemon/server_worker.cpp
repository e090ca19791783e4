#include "daemon/server_worker.h"

#include "daemon/server_protocol.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

/// A dispatcher that has lost a lease is replaced within about one lease time.
constexpr duration takeover_retry = std::chrono::milliseconds{200};
/// An abandoned request is taken to have ended this long after its deadline at the latest.
constexpr duration abandoned_margin = std::chrono::seconds{1};

/// Connections for requests; the server's limit also covers those of the grant link.
auto data_connections(const server_config& server) -> std::size_t
{
    auto reserved = grant_link::control_connections;
    return server.connections > reserved ? server.connections - reserved : 1;
}

} // namespace

server_worker::server_worker(worker_context& context, server_duty duty)
    : context_{context}, duty_{std::move(duty)}, slots_{duty_, context.time},
      scheduler_{duty_.server, duty_.policy}, data_{context.loop, duty_.server.address,
                                                    http_client_options{
                                                        data_connections(duty_.server)}},
      grants_{context,
              duty_,
              {[this](auto boot, auto running) { on_server_answer(boot, running); },
               [this] { on_server_lost(); }, [this](lease_term) { end(); }}}
{
    scheduler_.take_over(0, context_.time.now());
    apply_slots();
    if (duty_.draining) {
        scheduler_.drain(context_.time.now());
    }
}

server_worker::~server_worker()
{
    *alive_ = false;
    context_.loop.cancel(wakeup_);
    for (auto& [id, it] : jobs_) {
        context_.buffered_bytes -= it->body_bytes;
        if (!it->answered) {
            auto answer = refusal_for(refusal_name::server_lost, 503, "dispatcher stops");
            answer.outcome = it->sent ? request_outcome::unknown : request_outcome::not_run;
            it->request->on_closed = nullptr;
            it->request->on_sent = nullptr;
            it->started ? it->request->abort() : send_refusal(*it->request, answer);
        }
    }
}

auto server_worker::apply_slots() -> void
{
    slots_.apply(duty_);
    std::vector<slot_grant> wanted;
    for (const auto& [slot, epoch] : slots_.epochs()) {
        bool drains = std::ranges::count(duty_.draining_slots, slot) > 0;
        if (!drains || activity_.in_use(slot)) {
            wanted.push_back({slot, epoch});
        }
    }
    grants_.set_slots(wanted);
    grants_.set_valid_until(duty_.valid_until);
    grants_.set_availability_reports_handled(duty_.availability_reports_handled);
}

auto server_worker::tick() -> void
{
    auto now = context_.time.now();
    activity_.expire(now);
    idempotency_.expire(now);
    if (ended_) {
        return;
    }
    report_drained_slots();
    grants_.tick();
    if (scheduler_.needs_report()) {
        grants_.ask_for_report();
    }
    queue_waiting();
}

auto server_worker::report_drained_slots() -> void
{
    if (duty_.draining_slots.empty()) {
        return;
    }
    apply_slots();
    slots_drained drained{duty_.server.id, duty_.term, {}};
    auto is_done = [&](slot_index slot) {
        auto it = slots_.find(slot);
        bool is_free = !activity_.in_use(slot) && grants_.is_revoked(slot, context_.time.now());
        if (is_free && it) {
            drained.slots.push_back(*it);
        }
        return is_free;
    };
    // The slot stays in `slots_` and out of the grants until the next duty.
    auto& draining = duty_.draining_slots;
    auto done = std::remove_if(draining.begin(), draining.end(), is_done);
    for (const auto& it : drained.slots) {
        std::erase_if(duty_.slots, [&](const auto& grant) { return grant.slot == it.slot; });
    }
    draining.erase(done, draining.end());
    if (!drained.slots.empty()) {
        apply_slots();
        context_.to_agent(std::move(drained));
    }
}

auto server_worker::report() -> void
{
    auto load = scheduler_.load();
    server_load_report out{duty_.server.id, load.queued, load.in_flight, load.limit, {}, {}};
    activity_.take(out);
    context_.to_agent(std::move(out));
}

auto server_worker::on_server_answer(boot_id boot, std::optional<std::uint32_t> running) -> void
{
    auto now = context_.time.now();
    if (running && !std::exchange(load_known_, true)) {
        scheduler_.take_over(*running, now);
    }
    if (running) {
        scheduler_.on_report(boot, *running, now);
    }
    queue_waiting();
    pump();
}

auto server_worker::on_server_lost() -> void
{
    std::vector<request_id> hopeless;
    for (const auto& [id, it] : jobs_) {
        bool may_repeat = it->idempotent && !it->started;
        if (!it->sent || may_repeat) {
            hopeless.push_back(id);
        }
    }
    for (auto id : hopeless) {
        auto* it = find(id);
        auto answer = refusal_for(refusal_name::server_lost, 503, "backend server does not answer");
        answer.outcome = it->sent ? request_outcome::unknown : request_outcome::not_run;
        scheduler_.cancel(id, context_.time.now());
        drop(*it, std::move(answer));
    }
}

auto server_worker::update(server_duty duty) -> void
{
    auto was_draining = duty_.draining;
    duty_ = std::move(duty);
    apply_slots();
    scheduler_.configure(duty_.server, duty_.policy);
    data_.set_max_connections(data_connections(duty_.server));
    if (duty_.draining) {
        scheduler_.drain(context_.time.now());
    } else if (was_draining) {
        scheduler_.resume();
    }
    grants_.tick();
    queue_waiting();
    pump();
}

auto server_worker::renew(lease_term term, time_point valid_until) -> void
{
    if (term == duty_.term) {
        duty_.valid_until = std::max(duty_.valid_until, valid_until);
        grants_.set_valid_until(duty_.valid_until);
    }
}

auto server_worker::submit(std::shared_ptr<exchange> request, forwarded_request info) -> void
{
    auto body_bytes = request->request().body.size();
    auto answer = state_refusal(info);
    if (!answer && context_.buffered_bytes + body_bytes > context_.max_buffered_bytes) {
        answer = refusal_for("bodies-full", 503, "too many request bodies are buffered");
    }
    if (answer) {
        send_refusal(*request, *answer);
        return;
    }
    auto held = std::make_unique<job>();
    auto& it = *held;
    it.id = request_id{++last_request_};
    it.request = std::move(request);
    it.body_bytes = body_bytes;
    context_.buffered_bytes += body_bytes;
    it.info = std::move(info);
    it.deadline = context_.time.now() + it.info.remaining;
    it.idempotent = duty_.idempotent_methods.contains(it.request->request().method);
    it.request->on_closed = [this, id = it.id] { on_caller_gone(id); };
    jobs_.emplace(it.id, std::move(held));
    activity_.begin(it.info.slot, it.info.key);
    if (!begin_idempotent(it)) {
        forget(it.id);
        return;
    }
    if (awaits_grant(it)) {
        waiting_.push_back(it.id);
        return;
    }
    queue(it);
    pump();
}

auto server_worker::awaits_grant(const job& it) const -> bool
{
    auto slot = slots_.find(it.info.slot);
    return duty_.keyed && slot && !grants_.may_send(*slot, context_.time.now());
}

auto server_worker::queue(job& it) -> void
{
    request_info queued;
    queued.id = it.id;
    queued.tenant = it.info.tenant;
    queued.priority = it.info.priority;
    queued.idempotent = it.idempotent;
    queued.hedge = it.info.hedge;
    queued.deadline = it.deadline;
    queued.slot = it.info.slot;
    auto outcome = scheduler_.submit(queued, context_.time.now());
    for (const auto& refused : outcome.refusals) {
        refuse(refused);
    }
}

auto server_worker::queue_waiting() -> void
{
    auto waiting = std::exchange(waiting_, {});
    for (auto id : waiting) {
        auto* it = find(id);
        if (it == nullptr) {
            continue;
        }
        bool is_late = context_.time.now() >= it->deadline;
        auto answer = is_late ? refusal_for("deadline-passed", 504, "slot is not granted yet")
                              : state_refusal(it->info);
        if (answer) {
            drop(*it, *answer);
        } else if (awaits_grant(*it)) {
            waiting_.push_back(id);
        } else {
            queue(*it);
        }
    }
    if (!waiting.empty()) {
        pump();
    }
}

auto server_worker::state_refusal(const forwarded_request& info) const
    -> std::optional<refusal_answer>
{
    auto now = context_.time.now();
    if (ended_ || now >= duty_.valid_until) {
        return refusal_for(refusal_name::wrong_dispatcher, 421, "dispatcher lease has lapsed");
    }
    if (!grants_.may_write(now)) {
        return refusal_for(refusal_name::server_lost, 503, "backend server does not answer");
    }
    if (waiting_.size() >= duty_.policy.queue_limit) {
        return refusal_for("queue-full", 503, "too many requests wait for grants");
    }
    return slot_refusal(info);
}

auto server_worker::slot_refusal(const forwarded_request& info) const
    -> std::optional<refusal_answer>
{
    if (!duty_.keyed) {
        return std::nullopt;
    }
    auto it = slots_.find(info.slot);
    bool drains = info.slot && std::ranges::count(duty_.draining_slots, *info.slot) > 0;
    // An entry with another major epoch may map keys to slots differently: a key that was split off
    // since then would be served under its old slot, beside the owner of its own slot.
    bool is_current = it && info.epoch.major == it->epoch.major && info.epoch <= it->epoch;
    if (!is_current || drains) {
        return refusal_for(refusal_name::slot_moved, 409, "slot is not served here");
    }
    return std::nullopt;
}

auto server_worker::begin_idempotent(job& it) -> bool
{
    if (it.idempotent) {
        return true;
    }
    auto verdict = idempotency_.begin(it.run, it.request->request(), it.info,
                                      slots_.tenure_of(it.info.slot), context_.time.now());
    if (verdict.refused) {
        refuse(it, *verdict.refused);
    } else if (verdict.replay) {
        it.answered = true;
        it.request->on_closed = nullptr;
        send_recorded(*it.request, *verdict.replay);
    }
    return verdict.may_run();
}

auto server_worker::settle_idempotent(job& it, request_outcome outcome) -> void
{
    idempotency_.settle(it.run, outcome, context_.time.now());
}

auto server_worker::drain() -> void
{
    scheduler_.drain(context_.time.now());
    pump();
}

auto server_worker::end() -> void
{
    ended_ = true;
    std::vector<request_id> unsent;
    for (const auto& [id, it] : jobs_) {
        if (!it->sent) {
            unsent.push_back(id);
        }
    }
    for (auto id : unsent) {
        scheduler_.cancel(id, context_.time.now());
        if (auto* it = find(id)) {
            drop(*it, refusal_for(refusal_name::wrong_dispatcher, 421, "lease has ended"));
        }
    }
}

auto server_worker::refusal_for(std::string_view name, int status, std::string message) const
    -> refusal_answer
{
    refusal_answer out;
    out.status = status;
    out.name = name;
    out.message = std::move(message);
    out.retry_after = takeover_retry;
    out.step = "dispatch";
    out.peer = duty_.server.id.value();
    out.load = scheduler_.load();
    return out;
}

auto server_worker::refuse(job& it, refusal_answer answer) -> void
{
    if (std::exchange(it.answered, true)) {
        return;
    }
    it.request->on_closed = nullptr;
    it.request->on_sent = nullptr;
    send_refusal(*it.request, answer);
}

auto server_worker::refuse(const refusal& refused) -> void
{
    auto* it = find(refused.id);
    if (it == nullptr) {
        return;
    }
    auto answer = make_refusal(refused, "dispatch", duty_.server.id.value());
    answer.load = scheduler_.load();
    if (it->started) {
        return; // The deadline bounds the time to the response head, not the transfer.
    }
    drop(*it, std::move(answer));
}

auto server_worker::drop(job& it, refusal_answer answer) -> void
{
    settle_idempotent(it, answer.outcome);
    refuse(it, std::move(answer));
    if (it.sent) {
        cancel_at_server(it);
    }
    forget(it.id);
}

auto server_worker::pump() -> void
{
    if (!ended_) {
        while (auto next = scheduler_.take_next(context_.time.now())) {
            if (auto* it = find(next->id)) {
                write(*it);
            }
        }
        expire();
    }
    schedule_wakeup();
}

auto server_worker::expire() -> void
{
    for (const auto& it : scheduler_.expire(context_.time.now())) {
        refuse(it);
    }
}

auto server_worker::schedule_wakeup() -> void
{
    context_.loop.cancel(wakeup_);
    if (auto at = scheduler_.next_wakeup()) {
        wakeup_ = context_.loop.schedule(*at - context_.time.now(), [this] { pump(); });
    }
}

auto server_worker::write(job& it) -> void
{
    it.sent = true;
    it.sent_at = context_.time.now();
    it.response.id = it.id;
    context_.metrics.record_queue_time(it.info.tenant, it.info.priority,
                                       it.info.remaining - (it.deadline - it.sent_at));
    response_handlers handlers;
    handlers.on_head = [this, &it](response_head head) { on_head(it, std::move(head)); };
    handlers.on_data = [this, &it](std::string_view data) { on_data(it, data); };
    handlers.on_end = [this, &it](const call_result& outcome) { on_end(it, outcome); };
    it.request->on_sent = [this, &it](std::size_t n) { data_.consumed(it.call, n); };
    it.call = data_.send(
        make_server_request(it, duty_.term, epoch_of(it), grants_.version(), context_.boot),
        std::move(handlers), [this, &it] {
            auto denied = check_write(it);
            if (!denied) {
                it.sent_at = context_.time.now();
                grants_.on_request_sent(it.sent_at, it.deadline);
            }
            return denied;
        });
}

auto server_worker::epoch_of(const job& it) const -> slot_epoch
{
    auto slot = slots_.find(it.info.slot);
    return slot ? slot->epoch : it.info.epoch;
}

auto server_worker::check_write(const job& it) const -> std::optional<error>
{
    auto deny = [&](std::string message) -> error {
        return {error_code::conflict, "lease-check", duty_.server.id.value(), std::move(message)};
    };
    auto now = context_.time.now();
    if (ended_ || now >= duty_.valid_until) {
        return deny("dispatcher lease has lapsed");
    }
    if (!grants_.may_write(now)) {
        return deny("backend server is lost");
    }
    bool is_stopping = std::ranges::count(duty_.draining_slots, it.info.slot) > 0;
    if ((slot_refusal(it.info) && !is_stopping) || awaits_grant(it)) {
        return deny("slot is not served here");
    }
    return std::nullopt;
}

auto server_worker::on_data(job& it, std::string_view data) -> void
{
    grants_.note_received(context_.time.now());
    idempotency_.on_data(it.run, data);
    if (it.started && !it.answered) {
        it.request->write(data);
    } else {
        data_.consumed(it.call, data.size());
    }
}

auto server_worker::on_head(job& it, response_head head) -> void
{
    grants_.note_received(context_.time.now());
    if (is_server_refusal(head)) {
        on_server_refusal(it, head);
        return;
    }
    read_server_head(head, it.response);
    if (it.answered) {
        return;
    }
    it.started = true;
    head.headers = without_internal(head.headers);
    head.headers.push_back({"cornelswitch-server", duty_.server.id.value()});
    idempotency_.on_head(it.run, head);
    head.headers.push_back({"cornelswitch-load", to_text(scheduler_.load())});
    it.request->start(head);
}

auto server_worker::on_server_refusal(job& it, const response_head& head) -> void
{
    read_server_head(head, it.response);
    it.response.signal = response_signal::shed;
    bool is_slot = head.status == 409;
    auto name = is_slot ? refusal_name::slot_moved : refusal_name::server_refused;
    settle_idempotent(it, request_outcome::not_run);
    refuse(it, refusal_for(name, head.status, "refused by the backend server"));
}

auto server_worker::on_end(job& it, const call_result& outcome) -> void
{
    if (outcome.has_error()) {
        on_failure(it, outcome.error());
        return;
    }
    auto now = context_.time.now();
    it.response.latency = now - it.sent_at;
    scheduler_.on_response(it.response, now);
    it.released = true;
    idempotency_.complete(it.run, now);
    if (!std::exchange(it.answered, true)) {
        it.request->on_closed = nullptr;
        it.request->on_sent = nullptr;
        it.request->finish();
    }
    forget(it.id);
    pump();
}

auto server_worker::on_failure(job& it, const call_failure& failure) -> void
{
    auto now = context_.time.now();
    bool is_not_run = failure.outcome == request_outcome::not_run;
    auto progress = is_not_run ? send_progress::before_first_byte : send_progress::after_first_byte;
    auto outcome = scheduler_.on_connection_failed(it.id, progress, now);
    context_.log.log(log_level::warning, failure.cause.step, failure.cause.peer,
                     failure.cause.message);
    it.released = is_not_run;
    settle_idempotent(it, outcome);
    if (it.started && !std::exchange(it.answered, true)) {
        it.request->on_closed = nullptr;
        it.request->on_sent = nullptr;
        it.request->abort();
    }
    bool is_lapsed = failure.cause.step == "lease-check";
    auto name = is_lapsed ? refusal_name::wrong_dispatcher : refusal_name::server_lost;
    auto answer = refusal_for(name, is_lapsed ? 421 : 502, failure.cause.message);
    answer.outcome = outcome;
    answer.step = failure.cause.step;
    refuse(it, std::move(answer));
    forget(it.id);
    pump();
}

auto server_worker::on_caller_gone(request_id id) -> void
{
    auto* it = find(id);
    if (it == nullptr) {
        return;
    }
    it->answered = true;
    settle_idempotent(*it, it->sent ? request_outcome::unknown : request_outcome::not_run);
    auto canceled = scheduler_.cancel(id, context_.time.now());
    if (canceled == cancel_result::in_flight || it->sent) {
        cancel_at_server(*it);
    }
    forget(id);
    pump();
}

auto server_worker::cancel_at_server(job& it) -> void
{
    data_.cancel(it.call);
    grants_.cancel_request(request_name(context_.boot, it.id), [this, id = it.id] {
        scheduler_.on_cancel_confirmed(id);
        activity_.release(id);
        pump();
    });
}

auto server_worker::forget(request_id id) -> void
{
    // Deferred: the job may be in use by the handler that ends it.
    auto node = jobs_.extract(id);
    if (!node.empty()) {
        auto held = std::make_shared<std::unique_ptr<job>>(std::move(node.mapped()));
        auto& it = **held;
        it.request->on_sent = nullptr;
        context_.buffered_bytes -= it.body_bytes;
        if (it.sent && !it.released) {
            activity_.abandon(id, it.info.slot, it.deadline + abandoned_margin);
        } else {
            activity_.end(it.info.slot);
        }
        context_.loop.schedule(duration::zero(), [held] {});
    }
}

auto server_worker::find(request_id id) -> job*
{
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

} // namespace cornelswitch
