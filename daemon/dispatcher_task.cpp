#include "daemon/dispatcher_task.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{20};

} // namespace

dispatcher_task::dispatcher_task(event_loop& loop, dispatcher_options options, const clock& time,
                                 logger& log, mailbox<agent_message> to_agent)
    : loop_{loop}, options_{std::move(options)}, time_{time}, log_{log}, to_agent_{std::move(
                                                                             to_agent)},
      context_{loop, time, log, to_agent_, metrics_, options_.boot, options_.max_buffered_bytes}
{
}

dispatcher_task::~dispatcher_task()
{
    loop_.cancel(tick_timer_);
    ended_.clear();
    workers_.clear();
    server_.reset();
}

auto dispatcher_task::open() -> result<void>
{
    auto handler = [this](std::shared_ptr<exchange> it) { on_request(std::move(it)); };
    BOOST_OUTCOME_TRY(opened, peer_server::open(loop_, options_.server, log_, handler));
    server_ = std::move(opened);
    tick();
    return success();
}

auto dispatcher_task::handle(dispatcher_message message) -> void
{
    std::visit([this](auto& it) { on_message(std::move(it)); }, message);
}

auto dispatcher_task::on_message(dispatcher_assignment assignment) -> void
{
    auto it = workers_.find(assignment.server.id);
    bool is_same_lease = it != workers_.end() && it->second->assignment().term == assignment.term &&
                         it->second->assignment().server.address == assignment.server.address;
    if (is_same_lease) {
        it->second->update(std::move(assignment));
        return;
    }
    if (it != workers_.end()) {
        on_message(
            dispatcher_assignment_ended{assignment.server.id, it->second->assignment().term});
    }
    auto id = assignment.server.id;
    auto worker = std::make_unique<server_worker>(context_, std::move(assignment));
    if (draining_) {
        worker->drain();
    }
    workers_.emplace(id, std::move(worker));
}

auto dispatcher_task::on_message(const leases_renewed& renewed) -> void
{
    for (const auto& lease : renewed.leases) {
        auto it = workers_.find(lease.server);
        if (it != workers_.end()) {
            it->second->renew(lease.term, lease.valid_until);
        }
    }
}

auto dispatcher_task::on_message(const dispatcher_assignment_ended& ended) -> void
{
    auto it = workers_.find(ended.server);
    if (it == workers_.end() || it->second->assignment().term > ended.term) {
        return;
    }
    it->second->end();
    ended_.push_back(std::move(it->second));
    workers_.erase(it);
}

auto dispatcher_task::on_message(const drain_all&) -> void
{
    draining_ = true;
    for (auto& [id, worker] : workers_) {
        worker->drain();
    }
    server_->shut_down();
}

auto dispatcher_task::on_message(view_changed changed) -> void
{
    view_ = std::move(changed.view);
}

auto dispatcher_task::on_request(std::shared_ptr<exchange> request) -> void
{
    auto info = parse_forwarded(request->request().headers);
    if (info.has_error()) {
        refusal_answer answer;
        answer.status = 400;
        answer.name = to_string(refusal_reason::invalid_request);
        answer.message = info.error().message;
        answer.step = "dispatch";
        send_refusal(*request, answer);
        return;
    }
    auto it = workers_.find(info.value().server);
    if (it == workers_.end()) {
        refuse_wrong_dispatcher(*request, info.value().server);
        return;
    }
    it->second->submit(std::move(request), std::move(info).value());
}

auto dispatcher_task::refuse_wrong_dispatcher(exchange& request, const server_id& server) -> void
{
    refusal_answer answer;
    answer.status = 421;
    answer.name = refusal_name::wrong_dispatcher;
    answer.message = "this instance does not dispatch for the server";
    answer.retry_after = std::chrono::milliseconds{100};
    answer.step = "dispatch";
    answer.peer = server.value();
    auto it = view_ ? view_->dispatchers.find(server) : decltype(view_->dispatchers.end()){};
    if (view_ && it != view_->dispatchers.end() && it->second != options_.self) {
        answer.dispatcher = it->second;
    }
    send_refusal(request, answer);
}

auto dispatcher_task::tick() -> void
{
    tick_timer_ = loop_.schedule(tick_interval, [this] { tick(); });
    for (auto& [id, worker] : workers_) {
        worker->tick();
    }
    for (auto& worker : ended_) {
        worker->tick();
    }
    if (time_.now() >= next_report_) {
        report();
    }
    remove_ended();
    report_drained();
}

auto dispatcher_task::report() -> void
{
    next_report_ = time_.now() + options_.report_interval;
    for (auto& [id, worker] : workers_) {
        worker->report();
    }
    if (options_.metrics) {
        options_.metrics(std::make_shared<const request_metrics>(metrics_));
    }
}

auto dispatcher_task::remove_ended() -> void
{
    std::erase_if(ended_, [](const auto& it) { return it->idle(); });
}

auto dispatcher_task::report_drained() -> void
{
    auto is_idle = [](const auto& it) { return it.second->idle(); };
    bool is_done = draining_ && !drained_ && ended_.empty() &&
                   std::ranges::all_of(workers_, is_idle) && server_->open_streams() == 0;
    if (is_done) {
        drained_ = true;
        to_agent_(task_drained{});
    }
}

} // namespace cornelswitch
