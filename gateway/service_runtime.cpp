#include "gateway/service_runtime.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// Time during which an instance that declined a request is not asked again.
constexpr duration declined_retry_delay = milliseconds{400};
/// After this time no instance asks a previous coordinator any more, unless it is cut off.
constexpr duration max_predecessor_time = std::chrono::seconds{3};
/// A server without a request for this time needs no health check.
constexpr duration recent_use_window = std::chrono::seconds{1};
constexpr admission_source local_source{0};
/// Refusals of this and all less urgent priorities are counted together, which bounds the number of
/// metrics.
constexpr std::uint32_t max_counted_level = 3;

} // namespace

service_runtime::service_runtime(runtime_context& context, gateway_service service)
    : context_{context}, service_{std::move(service)},
      scheduler_{{},
                 context.random,
                 [this](const admission_decision& decision) { on_decision(decision); }},
      succession_{context.settings.node, context.boot, context.settings.peer_address}
{
    scheduler_.set_owner_lookup([this](std::uint16_t key) { return find_owner(key); });
    scheduler_.set_source_name([this](admission_source source) {
        const auto* session = context_.mesh.find(source);
        return source == local_source ? context_.settings.node
               : session != nullptr   ? session->sender.id
                                      : instance_id{};
    });
    scheduler_.set_rate_limit_callback(
        [this](const server_id& server, const std::optional<applied_rate_limit>& limit) {
            log_rate_limit(server, limit);
        });
    configure(service_);
}

service_runtime::~service_runtime()
{
    *alive_ = false;
}

auto service_runtime::log_rate_limit(const server_id& server,
                                     const std::optional<applied_rate_limit>& limit) -> void
{
    context_.metrics.count("rate_limit_changes_total");
    auto line = context_.log.line("rate-limit");
    line.text("service", service_.name.value()).text("server", server.value());
    line.text("state", limit ? "limited" : "ended");
    if (limit) {
        line.decimal("per_second", limit->limit.per_second)
            .text("reported_by", limit->reported_by.value());
    }
}

auto service_runtime::may_have_predecessor(time_point now) const -> bool
{
    return is_coordinator() && succession_.may_earlier_coordinator_act(now) &&
           now < coordinator_since_ + max_predecessor_time;
}

auto service_runtime::make_admission_settings() const -> admission_settings
{
    admission_settings out;
    out.is_coordinator = is_coordinator();
    out.may_have_predecessor = may_have_predecessor(context_.time.now());
    out.is_keyed = service_.is_keyed;
    out.instances = context_.instances();
    out.cold_limit =
        service_.cold_rate * context_.settings.cold_tolerance + context_.settings.cold_burst;
    return out;
}

auto service_runtime::configure(const gateway_service& service) -> void
{
    service_ = service;
    scheduler_.configure(make_admission_settings(), context_.time.now());
    budget_.configure({context_.settings.retry_ratio, context_.settings.retry_budget_burst,
                       context_.instances(), context_.settings.retry_window});
}

auto service_runtime::find_owner(std::uint16_t key) const -> key_owner
{
    auto now = context_.time.now();
    if (ranges_) {
        auto found = ranges_->authority().find(key, now);
        return {found.owner, found.free_at, found.keys.first};
    }
    auto it = recorded_ranges_.upper_bound(key);
    if (it == recorded_ranges_.begin() || !std::prev(it)->second.keys.contains(key)) {
        return {std::nullopt, now + milliseconds{500}, key};
    }
    return {std::prev(it)->second.owner, now, std::prev(it)->first};
}

auto service_runtime::update_servers(time_point now) -> void
{
    scheduler_.set_servers(context_.directory.schedulable(service_.name, service_.is_keyed, now),
                           now);
    if (ranges_) {
        ranges_->update_servers(now);
    }
}

auto service_runtime::is_active() const -> bool
{
    return scheduler_.waiting() > 0 || !pending_.empty() || is_coordinator();
}

auto service_runtime::tick(time_point now) -> void
{
    if (succession_.needs_takeover(now) && !is_taking_over_) {
        take_over();
    }
    if (is_coordinator() && ranges_) {
        request_predecessor_stop();
        ranges_->tick(now, scheduler_);
        record_ranges(now);
    }
    if (scheduler_.settings().may_have_predecessor != may_have_predecessor(now)) {
        scheduler_.configure(make_admission_settings(), now);
    }
    scheduler_.tick(now);
}

auto service_runtime::reachable_coordinator() const -> std::optional<instance_id>
{
    const auto& record = succession_.record();
    if (is_coordinator() || !record || !context_.mesh.accepts_work(record->coordinator)) {
        return std::nullopt;
    }
    bool has_declined =
        declined_by_ == record->coordinator && context_.time.now() < declined_until_;
    return has_declined ? std::nullopt : std::optional{record->coordinator};
}

auto service_runtime::is_waiting_for(const instance_id& node) const -> bool
{
    return std::ranges::any_of(
        pending_, [&](const auto& entry) { return entry.second.asked_instance == node; });
}

auto service_runtime::on_link(const instance_id& node, bool is_up) -> void
{
    if (!is_up) {
        const auto& record = succession_.record();
        if (record && record->coordinator == node) {
            context_.refresh();
        }
        reclaim_requests(node);
        return;
    }
    if (reachable_coordinator() != node) {
        return;
    }
    for (const auto& [id, admitted] : admitted_) {
        context_.mesh.send(node,
                           admission_adopted{service_.name, admission_id{id}, admitted.server});
    }
    for (auto& report : scheduler_.known_rate_limits(context_.time.now())) {
        context_.mesh.send(node, rate_limit_message{service_.name, std::move(report)});
    }
}

auto service_runtime::reclaim_requests(const instance_id& node) -> void
{
    std::vector<admission_request> reclaimed;
    for (auto& [id, pending] : pending_) {
        if (pending.asked_instance == node) {
            pending.asked_instance.reset();
            reclaimed.push_back(pending.request);
        }
    }
    for (auto& request : reclaimed) {
        scheduler_.submit(std::move(request), context_.time.now());
    }
}

auto service_runtime::on_declined(const instance_id& from, const admission_declined& answer) -> void
{
    auto it = pending_.find(answer.id.value());
    declined_by_ = from;
    declined_until_ = context_.time.now() + declined_retry_delay;
    context_.refresh();
    if (it != pending_.end() && it->second.asked_instance == from) {
        it->second.asked_instance.reset();
        auto request = it->second.request;
        scheduler_.submit(std::move(request), context_.time.now());
    }
}

auto service_runtime::on_answer(const instance_id& from, const admission_answer& answer) -> void
{
    auto it = pending_.find(answer.id.value());
    if (it == pending_.end() || it->second.asked_instance != from) {
        // The caller has disconnected or the request was decided elsewhere. The admission is
        // returned, so that the coordinator stops counting it.
        if (answer.outcome == admission_outcome::send) {
            attempt_report report;
            report.outcome = attempt_outcome::canceled;
            context_.mesh.send(from, admission_completed{service_.name, answer.id, report});
        }
        return;
    }
    auto now = context_.time.now();
    admission_decision decision;
    decision.source = local_source;
    decision.id = answer.id;
    decision.outcome = answer.outcome;
    decision.server = answer.server;
    decision.cause = answer.cause;
    decision.retry_after = answer.retry_after;
    decision.queue_length = answer.queue_length;
    decision.expected_wait = answer.expected_wait;
    decision.decided_by = from;
    decision.queue_time = now - it->second.request.received;
    decision.rate_limit = answer.rate_limit;
    decision.valuation = answer.valuation;
    if (answer.outcome == admission_outcome::send) {
        scheduler_.adopt(local_source, answer.id, answer.server, it->second.request.work, now, now);
    }
    resolve(answer.id, decision);
}

auto service_runtime::recently_used_servers(time_point now) -> std::vector<server_id>
{
    std::erase_if(last_sent_,
                  [&](const auto& entry) { return entry.second + recent_use_window < now; });
    std::vector<server_id> out;
    for (const auto& [id, at] : last_sent_) {
        out.push_back(id);
    }
    return out;
}

auto service_runtime::try_take_health_check(const server_id& server) -> bool
{
    return scheduler_.try_take_health_check(server, context_.time.now());
}

auto service_runtime::count_refusal(const admission_valuation& it) -> void
{
    auto level = std::min(it.level, max_counted_level);
    context_.metrics.count("admission_refused_level_" + std::to_string(level) + "_total");
    if (it.is_displaced) {
        context_.metrics.count("admission_displaced_total");
    } else if (it.favoured_value > it.value) {
        context_.metrics.count("admission_outvalued_total");
    }
    if (it.is_returning) {
        context_.metrics.count("admission_refused_again_total");
    }
    if (it.has_place) {
        context_.metrics.count("admission_return_places_total");
    }
}

auto service_runtime::on_decision(const admission_decision& decision) -> void
{
    if (decision.outcome == admission_outcome::refuse) {
        count_refusal(decision.valuation);
    } else if (decision.valuation.is_returning) {
        context_.metrics.count("admission_returned_total");
    }
    if (decision.outcome == admission_outcome::send) {
        last_sent_[decision.server] = context_.time.now();
        if (decision.rate_limit) {
            context_.metrics.count("limited_server_requests_total");
        }
    }
    if (decision.source == local_source) {
        resolve(decision.id, decision);
        return;
    }
    context_.mesh.send_to_session(
        decision.source,
        admission_answer{service_.name, decision.id, decision.outcome, decision.server,
                         decision.cause, decision.retry_after, decision.queue_length,
                         decision.expected_wait, decision.rate_limit, decision.valuation});
}

auto service_runtime::resolve(admission_id id, const admission_decision& decision) -> void
{
    auto extracted = pending_.extract(id.value());
    if (extracted.empty()) {
        return;
    }
    if (decision.outcome == admission_outcome::send) {
        admitted_[id.value()] = {decision.server};
    }
    extracted.mapped().handler(decision);
}

auto service_runtime::request(admission_request request, admission_client::decision_handler handler)
    -> admission_id
{
    auto now = context_.time.now();
    admission_id id{++last_admission_id_};
    request.source = local_source;
    request.id = id;
    request.zone = context_.settings.zone;
    auto coordinator = reachable_coordinator();
    pending_.emplace(id.value(), pending_request{request, std::move(handler), coordinator});
    if (is_coordinator() && request.key && ranges_) {
        ranges_->on_request(*request.key, now);
    }
    if (coordinator) {
        send_query(*coordinator, id, request);
    } else {
        scheduler_.submit(std::move(request), now);
    }
    return id;
}

auto service_runtime::send_query(const instance_id& node, admission_id id,
                                 const admission_request& request) -> void
{
    auto now = context_.time.now();
    admission_query query;
    query.service = service_.name;
    query.id = id;
    query.key = request.key;
    query.work = request.work;
    query.priority = request.priority;
    query.has_large_response = request.has_large_response;
    query.age = now - request.received;
    query.objective_left = request.objective - now;
    query.time_left = request.deadline - now;
    query.excluded = request.excluded;
    context_.mesh.send(node, query);
}

auto service_runtime::withdraw(admission_id id) -> void
{
    auto extracted = pending_.extract(id.value());
    if (extracted.empty()) {
        return;
    }
    if (const auto& decider = extracted.mapped().asked_instance) {
        context_.mesh.send(*decider, admission_withdrawn{service_.name, id});
    } else {
        scheduler_.withdraw(local_source, id);
    }
}

auto service_runtime::complete(admission_id id, const attempt_report& report) -> void
{
    admitted_.erase(id.value());
    if (auto coordinator = reachable_coordinator()) {
        context_.mesh.send(*coordinator, admission_completed{service_.name, id, report});
    }
    scheduler_.complete(local_source, id, report, context_.time.now());
}

auto service_runtime::on_key_not_held(const server_id& server, std::uint16_t key) -> void
{
    if (ranges_) {
        ranges_->authority().on_not_held(server, key, context_.time.now());
    } else if (auto coordinator = reachable_coordinator()) {
        context_.mesh.send(*coordinator, key_not_held{service_.name, server, key});
    }
}

auto service_runtime::on_server_ended(const server_id& server, std::int64_t incarnation) -> void
{
    if (ranges_) {
        ranges_->authority().on_server_ended(server, incarnation, context_.time.now());
    } else if (auto coordinator = reachable_coordinator()) {
        context_.mesh.send(*coordinator, server_ended{service_.name, server, incarnation});
    }
}

auto service_runtime::on_server_replaced(const server_id& server, std::int64_t incarnation) -> void
{
    if (ranges_) {
        ranges_->authority().on_server_ended(server, incarnation, context_.time.now());
    }
}

auto service_runtime::on_server_leaving(const server_id& server, std::int64_t incarnation) -> void
{
    if (auto coordinator = reachable_coordinator()) {
        context_.mesh.send(*coordinator, server_leaving{service_.name, server, incarnation});
    }
}

auto service_runtime::on_peer_message(admission_source source, const peer_message& message) -> void
{
    auto now = context_.time.now();
    if (const auto* leaving = std::get_if<server_leaving>(&message)) {
        context_.on_leaving(leaving->server, leaving->incarnation);
        return;
    }
    if (const auto* limit = std::get_if<rate_limit_message>(&message)) {
        const auto* session = context_.mesh.find(source);
        scheduler_.apply_rate_limit(limit->report,
                                    session != nullptr ? session->sender.id : instance_id{}, now);
        return;
    }
    if (const auto* superseded = std::get_if<role_superseded>(&message)) {
        if (succession_.on_superseded(superseded->term, now)) {
            step_down("superseded by a peer");
        }
        if (!is_coordinator()) {
            context_.mesh.send_to_session(source, make_stop_confirmation(superseded->term));
        }
        return;
    }
    if (!is_coordinator()) {
        if (const auto* query = std::get_if<admission_query>(&message)) {
            context_.mesh.send_to_session(source, admission_declined{service_.name, query->id});
        }
        return;
    }
    if (const auto* query = std::get_if<admission_query>(&message)) {
        on_query(source, *query);
    } else if (const auto* adopted = std::get_if<admission_adopted>(&message)) {
        scheduler_.adopt(source, adopted->id, adopted->server, work_class{0}, time_point{}, now);
    } else if (const auto* withdrawn = std::get_if<admission_withdrawn>(&message)) {
        scheduler_.withdraw(source, withdrawn->id);
    } else if (const auto* completed = std::get_if<admission_completed>(&message)) {
        scheduler_.complete(source, completed->id, completed->report, now);
    } else if (const auto* not_held = std::get_if<key_not_held>(&message)) {
        on_key_not_held(not_held->server, not_held->key);
    } else if (const auto* ended = std::get_if<server_ended>(&message)) {
        on_server_ended(ended->server, ended->incarnation);
    }
}

auto service_runtime::on_query(admission_source source, const admission_query& query) -> void
{
    const auto* session = context_.mesh.find(source);
    if (session == nullptr) {
        return;
    }
    auto now = context_.time.now();
    admission_request request;
    request.source = source;
    request.id = query.id;
    request.zone = session->sender.zone;
    request.key = query.key;
    request.work = query.work;
    request.priority = query.priority;
    request.has_large_response = query.has_large_response;
    request.received = now - query.age;
    request.objective = now + query.objective_left;
    request.deadline = now + query.time_left;
    request.excluded = query.excluded;
    if (request.key && ranges_) {
        ranges_->on_request(*request.key, now);
    }
    scheduler_.submit(std::move(request), now);
}

auto service_runtime::drop_source(admission_source source) -> void
{
    scheduler_.drop_source(source, context_.time.now());
}

} // namespace cornelswitch
