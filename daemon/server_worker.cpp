#include "daemon/server_worker.h"

#include "daemon/server_protocol.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

/// Retry delay that the worker's refusals suggest to callers. After the loss of a dispatcher lease
/// another dispatcher takes over within about one lease duration.
constexpr duration takeover_retry_after = std::chrono::milliseconds{200};
/// An abandoned request is assumed to have ended by this long after its deadline.
constexpr duration abandoned_margin = std::chrono::seconds{1};

/// Connections for requests. The server's limit includes those of the grant link.
auto data_connections(const server_config& server) -> std::size_t
{
    auto reserved = grant_link::control_connections;
    return server.connections > reserved ? server.connections - reserved : 1;
}

} // namespace

server_worker::server_worker(worker_context& context, dispatcher_assignment assignment)
    : context_{context}, assignment_{std::move(assignment)}, slots_{assignment_, context.time},
      scheduler_{assignment_.server, assignment_.policy},
      data_{context.loop, assignment_.server.address,
            http_client_options{data_connections(assignment_.server)}},
      grants_{context,
              assignment_,
              {[this](auto boot, auto running) { on_server_answer(boot, running); },
               [this] { on_server_lost(); }, [this](lease_term) { end(); }}}
{
    scheduler_.take_over(0, context_.time.now());
    apply_slots();
    if (assignment_.draining) {
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
            auto answer = refusal_for(refusal_name::server_lost, 503, "dispatcher is stopping");
            answer.outcome = it->sent ? request_outcome::unknown : request_outcome::not_run;
            it->request->on_closed = nullptr;
            it->request->on_sent = nullptr;
            it->started ? it->request->abort() : send_refusal(*it->request, answer);
        }
    }
}

auto server_worker::apply_slots() -> void
{
    slots_.apply(assignment_);
    std::vector<slot_grant> wanted;
    for (const auto& [slot, epoch] : slots_.epochs()) {
        bool drains = std::ranges::count(assignment_.draining_slots, slot) > 0;
        if (!drains || activity_.in_use(slot)) {
            wanted.push_back({slot, epoch});
        }
    }
    grants_.set_slots(wanted);
    grants_.set_valid_until(assignment_.valid_until);
    grants_.set_availability_reports_handled(assignment_.availability_reports_handled);
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
        grants_.request_report();
    }
    queue_granted();
}

auto server_worker::report_drained_slots() -> void
{
    if (assignment_.draining_slots.empty()) {
        return;
    }
    apply_slots();
    slots_drained drained{assignment_.server.id, assignment_.term, {}};
    auto is_done = [&](slot_index slot) {
        auto it = slots_.find(slot);
        bool is_free = !activity_.in_use(slot) && grants_.is_revoked(slot, context_.time.now());
        if (is_free && it) {
            drained.slots.push_back(*it);
        }
        return is_free;
    };
    // A drained slot is also removed from the assigned slots, so that it is not granted again
    // before the next assignment.
    auto& draining = assignment_.draining_slots;
    auto done = std::remove_if(draining.begin(), draining.end(), is_done);
    for (const auto& it : drained.slots) {
        std::erase_if(assignment_.slots, [&](const auto& grant) { return grant.slot == it.slot; });
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
    server_load_report out{assignment_.server.id, load.queued, load.in_flight, load.limit, {}, {}};
    activity_.fill_report(out);
    context_.to_agent(std::move(out));
}

auto server_worker::on_server_answer(boot_id boot, std::optional<std::uint32_t> running) -> void
{
    auto now = context_.time.now();
    if (running && !std::exchange(running_known_, true)) {
        scheduler_.take_over(*running, now);
    }
    if (running) {
        scheduler_.on_report(boot, *running, now);
    }
    queue_granted();
    dispatch_queued();
}

auto server_worker::on_server_lost() -> void
{
    std::vector<request_id> to_drop;
    for (const auto& [id, it] : jobs_) {
        bool may_repeat = it->idempotent && !it->started;
        if (!it->sent || may_repeat) {
            to_drop.push_back(id);
        }
    }
    for (auto id : to_drop) {
        auto* it = find(id);
        auto answer = refusal_for(refusal_name::server_lost, 503, "backend server does not answer");
        answer.outcome = it->sent ? request_outcome::unknown : request_outcome::not_run;
        scheduler_.cancel(id, context_.time.now());
        drop(*it, std::move(answer));
    }
}

auto server_worker::update(dispatcher_assignment assignment) -> void
{
    auto was_draining = assignment_.draining;
    assignment_ = std::move(assignment);
    apply_slots();
    scheduler_.configure(assignment_.server, assignment_.policy);
    data_.set_max_connections(data_connections(assignment_.server));
    if (assignment_.draining) {
        scheduler_.drain(context_.time.now());
    } else if (was_draining) {
        scheduler_.resume();
    }
    grants_.tick();
    queue_granted();
    dispatch_queued();
}

auto server_worker::renew(lease_term term, time_point valid_until) -> void
{
    if (term == assignment_.term) {
        assignment_.valid_until = std::max(assignment_.valid_until, valid_until);
        grants_.set_valid_until(assignment_.valid_until);
    }
}

auto server_worker::submit(std::shared_ptr<exchange> request, forwarded_request info) -> void
{
    auto body_bytes = request->request().body.size();
    auto answer = state_refusal(info);
    if (!answer && context_.buffered_bytes + body_bytes > context_.max_buffered_bytes) {
        answer = refusal_for("bodies-full", 503, "memory limit for request bodies reached");
    }
    if (answer) {
        send_refusal(*request, *answer);
        return;
    }
    auto held = std::make_unique<job>();
    auto& it = *held;
    it.id = request_id{++last_request_id_};
    it.request = std::move(request);
    it.body_bytes = body_bytes;
    context_.buffered_bytes += body_bytes;
    it.info = std::move(info);
    it.deadline = context_.time.now() + it.info.remaining;
    it.idempotent = assignment_.idempotent_methods.contains(it.request->request().method);
    it.request->on_closed = [this, id = it.id] { on_caller_disconnected(id); };
    jobs_.emplace(it.id, std::move(held));
    activity_.begin(it.info.slot, it.info.key);
    if (!begin_idempotent(it)) {
        remove_job(it.id);
        return;
    }
    if (awaits_grant(it)) {
        awaiting_grant_.push_back(it.id);
        return;
    }
    queue(it);
    dispatch_queued();
}

auto server_worker::awaits_grant(const job& it) const -> bool
{
    auto slot = slots_.find(it.info.slot);
    return assignment_.keyed && slot && !grants_.may_send(*slot, context_.time.now());
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

auto server_worker::queue_granted() -> void
{
    auto waiting = std::exchange(awaiting_grant_, {});
    for (auto id : waiting) {
        auto* it = find(id);
        if (it == nullptr) {
            continue;
        }
        bool is_late = context_.time.now() >= it->deadline;
        auto answer = is_late ? refusal_for("deadline-passed", 504,
                                            "deadline passed before the slot was granted")
                              : state_refusal(it->info);
        if (answer) {
            drop(*it, *answer);
        } else if (awaits_grant(*it)) {
            awaiting_grant_.push_back(id);
        } else {
            queue(*it);
        }
    }
    if (!waiting.empty()) {
        dispatch_queued();
    }
}

auto server_worker::state_refusal(const forwarded_request& info) const
    -> std::optional<refusal_answer>
{
    auto now = context_.time.now();
    if (ended_ || now >= assignment_.valid_until) {
        return refusal_for(refusal_name::wrong_dispatcher, 421, "dispatcher lease has lapsed");
    }
    if (!grants_.may_write(now)) {
        return refusal_for(refusal_name::server_lost, 503, "backend server does not answer");
    }
    if (awaiting_grant_.size() >= assignment_.policy.queue_limit) {
        return refusal_for("queue-full", 503, "too many requests are waiting for grants");
    }
    return slot_refusal(info);
}

auto server_worker::slot_refusal(const forwarded_request& info) const
    -> std::optional<refusal_answer>
{
    if (!assignment_.keyed) {
        return std::nullopt;
    }
    auto it = slots_.find(info.slot);
    bool drains = info.slot && std::ranges::count(assignment_.draining_slots, *info.slot) > 0;
    // An entry with a different major epoch may map keys to slots differently: a key that was split
    // off in the meantime would be served under its old slot as well as by the owner of its own
    // slot.
    bool is_current = it && info.epoch.major == it->epoch.major && info.epoch <= it->epoch;
    if (!is_current || drains) {
        return refusal_for(refusal_name::slot_moved, 409,
                           "this dispatcher does not serve the slot");
    }
    return std::nullopt;
}

auto server_worker::begin_idempotent(job& it) -> bool
{
    if (it.idempotent) {
        return true;
    }
    auto admission = idempotency_.begin(it.run, it.request->request(), it.info,
                                        slots_.takeover_of(it.info.slot), context_.time.now());
    if (admission.refused) {
        refuse(it, *admission.refused);
    } else if (admission.replay) {
        it.answered = true;
        it.request->on_closed = nullptr;
        send_recorded(*it.request, *admission.replay);
    }
    return admission.may_run();
}

auto server_worker::settle_idempotent(job& it, request_outcome outcome) -> void
{
    idempotency_.settle(it.run, outcome, context_.time.now());
}

auto server_worker::drain() -> void
{
    scheduler_.drain(context_.time.now());
    dispatch_queued();
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
            drop(*it,
                 refusal_for(refusal_name::wrong_dispatcher, 421, "dispatcher lease has ended"));
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
    out.retry_after = takeover_retry_after;
    out.step = "dispatch";
    out.peer = assignment_.server.id.value();
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
    auto answer = make_refusal(refused, "dispatch", assignment_.server.id.value());
    answer.load = scheduler_.load();
    if (it->started) {
        return; // The deadline applies to the response head, not to the transfer of the body.
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
    remove_job(it.id);
}

auto server_worker::dispatch_queued() -> void
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
        wakeup_ = context_.loop.schedule(*at - context_.time.now(), [this] { dispatch_queued(); });
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
        make_server_request(it, assignment_.term, epoch_of(it), grants_.version(), context_.boot),
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
        return {error_code::conflict, "lease-check", assignment_.server.id.value(),
                std::move(message)};
    };
    auto now = context_.time.now();
    if (ended_ || now >= assignment_.valid_until) {
        return deny("dispatcher lease has lapsed");
    }
    if (!grants_.may_write(now)) {
        return deny("backend server is lost");
    }
    bool is_stopping = std::ranges::count(assignment_.draining_slots, it.info.slot) > 0;
    if ((slot_refusal(it.info) && !is_stopping) || awaits_grant(it)) {
        return deny("this dispatcher does not serve the slot");
    }
    return std::nullopt;
}

auto server_worker::on_data(job& it, std::string_view data) -> void
{
    grants_.on_bytes_received(context_.time.now());
    idempotency_.on_data(it.run, data);
    if (it.started && !it.answered) {
        it.request->write(data);
    } else {
        data_.consumed(it.call, data.size());
    }
}

auto server_worker::on_head(job& it, response_head head) -> void
{
    grants_.on_bytes_received(context_.time.now());
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
    head.headers.push_back({"cornelswitch-server", assignment_.server.id.value()});
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
    refuse(it, refusal_for(name, head.status, "backend server refused the request"));
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
    it.ended_at_server = true;
    idempotency_.complete(it.run, now);
    if (!std::exchange(it.answered, true)) {
        it.request->on_closed = nullptr;
        it.request->on_sent = nullptr;
        it.request->finish();
    }
    remove_job(it.id);
    dispatch_queued();
}

auto server_worker::on_failure(job& it, const call_failure& failure) -> void
{
    auto now = context_.time.now();
    bool is_not_run = failure.outcome == request_outcome::not_run;
    auto progress = is_not_run ? send_progress::before_first_byte : send_progress::after_first_byte;
    auto outcome = scheduler_.on_connection_failed(it.id, progress, now);
    context_.log.log(log_level::warning, failure.cause.step, failure.cause.peer,
                     failure.cause.message);
    it.ended_at_server = is_not_run;
    settle_idempotent(it, outcome);
    if (it.started && !std::exchange(it.answered, true)) {
        it.request->on_closed = nullptr;
        it.request->on_sent = nullptr;
        it.request->abort();
    }
    bool is_lease_expired = failure.cause.step == "lease-check";
    auto name = is_lease_expired ? refusal_name::wrong_dispatcher : refusal_name::server_lost;
    auto answer = refusal_for(name, is_lease_expired ? 421 : 502, failure.cause.message);
    answer.outcome = outcome;
    answer.step = failure.cause.step;
    refuse(it, std::move(answer));
    remove_job(it.id);
    dispatch_queued();
}

auto server_worker::on_caller_disconnected(request_id id) -> void
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
    remove_job(id);
    dispatch_queued();
}

auto server_worker::cancel_at_server(job& it) -> void
{
    data_.cancel(it.call);
    grants_.cancel_request(wire_request_id(context_.boot, it.id), [this, id = it.id] {
        scheduler_.on_cancel_confirmed(id);
        activity_.release(id);
        dispatch_queued();
    });
}

auto server_worker::remove_job(request_id id) -> void
{
    // The job is destroyed on the next loop iteration, because the calling handler may still use
    // it.
    auto node = jobs_.extract(id);
    if (!node.empty()) {
        auto held = std::make_shared<std::unique_ptr<job>>(std::move(node.mapped()));
        auto& it = **held;
        it.request->on_sent = nullptr;
        context_.buffered_bytes -= it.body_bytes;
        if (it.sent && !it.ended_at_server) {
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
