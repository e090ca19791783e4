#include "gateway/gateway.h"

#include "platform/store_names.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A coordinator that reached too few of the others stays out of the group for this long.
constexpr duration resign_time = seconds{6};
constexpr duration active_tick = milliseconds{25};
constexpr duration idle_tick = milliseconds{100};
constexpr duration slow_tick_interval = milliseconds{250};
/// Delay of the loop that is logged: the instance is short of processor time or was suspended.
constexpr duration reported_delay = milliseconds{150};
constexpr duration delay_report_interval = seconds{1};
/// The load balancer needs two failed checks, a second apart, to take an instance out.
constexpr duration drain_before_close = milliseconds{2600};
/// Instances that are assumed until the fleet's number is known, so that nobody uses too large a
/// part of a common budget.
constexpr std::uint32_t unknown_instances = 1000;
/// Time in which the store hears that an instance leaves.
constexpr duration leave_time = milliseconds{30};
/// Time before SIGKILL at which every request gets its answer ...
constexpr duration last_answers = milliseconds{700};
/// ... and that is left for the last bytes.
constexpr duration kill_margin = milliseconds{400};

/// A configuration with many routes takes over a second on a link of 10 Mbit/s that others share.
constexpr duration longest_store_answer = seconds{4};

auto store_options() -> unary_client::options
{
    unary_client::options out;
    out.connect_timeout = milliseconds{500};
    out.stream = {milliseconds{1000}, seconds{1}};
    out.longest_answer = longest_store_answer;
    return out;
}

auto caller_stream_options() -> stream_options
{
    return {milliseconds{5000}, seconds{5}};
}

} // namespace

gateway::gateway(event_loop& loop, node_settings settings, event_log& log, boot_id boot)
    : loop_{loop}, settings_{std::move(settings)}, log_{log}, boot_{boot}, random_{boot.value()},
      store_{loop, settings_.store, store_options()}, directory_{log},
      fleet_{{settings_.node, settings_.zone, settings_.peers, settings_.cpu_share}, loop.now()},
      mesh_{loop, log, metrics_, fleet_.self(), boot, mesh_hooks()},
      knowledge_{
          loop, store_, log, random_, fleet_, mesh_, settings_.is_first_start, knowledge_hooks()},
      ownership_{loop, store_, log, std::string{own_topic_name()}}, pool_{loop, {}},
      services_{loop_,
                pool_,
                directory_,
                *this,
                log_,
                metrics_,
                [this] { return configuration_; },
                [this](const gateway_route& route) { return choose_target(route); },
                settings_.answers},
      context_{make_context()}
{
    ownership_.attach(knowledge_.own());
}

auto gateway::mesh_hooks() -> peer_mesh::hooks
{
    peer_mesh::hooks out;
    out.on_answer = [this](const instance_id& from, const peer_message& message) {
        on_peer_answer(from, message);
    };
    out.on_request = [this](admission_source source, const peer_message& message) {
        on_peer_request(source, message);
    };
    out.on_link = [this](const instance_id& node, bool is_up) {
        knowledge_.on_link(node, is_up);
        for (auto& [name, it] : runtimes_) {
            it->on_link(node, is_up);
        }
    };
    // The leaving one may be a coordinator, whose duty is then dealt to another member of the
    // group.
    out.on_leaving = [this](const instance_id&) { next_join_ = loop_.now() + leave_time; };
    out.on_session = [this](admission_source source) { knowledge_.on_session(source); };
    out.on_session_end = [this](admission_source source) {
        knowledge_.on_session_end(source);
        for (auto& [name, it] : runtimes_) {
            it->drop_source(source);
        }
    };
    out.is_waiting = [this](const instance_id& node) {
        return std::ranges::any_of(runtimes_,
                                   [&](const auto& it) { return it.second->is_waiting_for(node); });
    };
    return out;
}

auto gateway::knowledge_hooks() -> knowledge::hooks
{
    knowledge::hooks out;
    out.on_operators = [this](const auto& changes) { on_operator_records(changes); };
    out.on_servers = [this](const auto& changes) { on_server_records(changes); };
    out.on_own = [this](const auto& changes, time_point proof) { on_own_records(changes, proof); };
    out.on_store = [this](bool is_available) {
        directory_.set_store_available(is_available, loop_.now());
    };
    return out;
}

auto gateway::make_context() -> runtime_context
{
    return {loop_,
            loop_.time(),
            log_,
            metrics_,
            settings_,
            directory_,
            fleet_,
            mesh_,
            ownership_,
            random_,
            boot_,
            [this] { knowledge_.refresh(); },
            [this] { apply_role(); },
            [this](const server_id& server, std::int64_t incarnation) {
                auto now = loop_.now();
                if (directory_.on_leaving(server, incarnation, now)) {
                    update_servers(now);
                }
            },
            [this] {
                auto n = knowledge_.instances();
                return n == 0 ? unknown_instances : n;
            }};
}

gateway::~gateway()
{
    // Requests in progress end here, since their timers refer to this object.
    auto callers = callers_;
    for (auto& [raw, it] : callers) {
        it->close();
    }
    *alive_ = false;
    loop_.cancel(tick_timer_);
}

auto gateway::start() -> result<void>
{
    BOOST_OUTCOME_TRY(open_listeners());
    knowledge_.start();
    log_.line("start")
        .text("callers", settings_.callers.to_text())
        .text("peers", settings_.peers.to_text())
        .text("store", settings_.store.to_text())
        .real("cpu_share", settings_.cpu_share)
        .number("memory_mb", settings_.memory_mb);
    tick();
    return success();
}

auto gateway::open_listeners() -> result<void>
{
    BOOST_OUTCOME_TRY(callers, listener::open(loop_, settings_.callers,
                                              [this](auto* socket) { accept_caller(socket); }));
    caller_listener_ = std::move(callers);
    BOOST_OUTCOME_TRY(mesh_.open());
    auto answer = [this](const std::string& path) { return status(path); };
    BOOST_OUTCOME_TRY(ready, status_server::open(loop_, settings_.readiness, answer));
    readiness_ = std::move(ready);
    endpoint metrics_address{settings_.peers.address,
                             static_cast<std::uint16_t>(settings_.peers.port + 1)};
    BOOST_OUTCOME_TRY(metrics, status_server::open(loop_, metrics_address, answer));
    metrics_server_ = std::move(metrics);
    return success();
}

auto gateway::status(const std::string& path) -> status_answer
{
    if (path == "/metrics") {
        metrics_.set("servers", static_cast<double>(directory_.size()));
        metrics_.set("caller_connections", static_cast<double>(callers_.size()));
        metrics_.set("server_connects_total", static_cast<double>(pool_.count().connects));
        metrics_.set("server_requests_total", static_cast<double>(pool_.count().requests));
        metrics_.set("stray_responses_total", static_cast<double>(pool_.count().stray_responses));
        metrics_.set("store_calls_total", static_cast<double>(store_.calls()));
        metrics_.set("ownership_writes_total", static_cast<double>(ownership_.writes()));
        metrics_.set("log_lines_total", static_cast<double>(log_.written()));
        metrics_.set("log_lines_dropped_total", static_cast<double>(log_.dropped()));
        return {200, metrics_.text()};
    }
    if (path == readiness_path()) {
        return {is_ready() ? 200 : 503, {}};
    }
    return {404, {}};
}

auto gateway::is_ready() const -> bool
{
    return configuration_ != nullptr && knowledge_.is_loaded() && !is_shutting_down_;
}

auto gateway::update_servers(time_point now) -> void
{
    seen_directory_revision_ = directory_.revision();
    for (auto& [name, it] : runtimes_) {
        it->update_servers(now);
    }
}

auto gateway::runtime(const service_id& service) -> service_runtime*
{
    auto it = runtimes_.find(service);
    return it == runtimes_.end() ? nullptr : it->second.get();
}

auto gateway::accept_caller(st_h2o_socket_t* socket) -> void
{
    auto limits = configuration_ ? configuration_->content.limits : caller_limits{};
    auto stream = std::make_unique<tcp_stream>(socket, caller_stream_options());
    auto it = std::make_shared<caller_connection>(
        services_, std::move(stream), limits, [this](caller_connection* closed) {
            // Deferred, because the connection's own functions are running.
            loop_.schedule(duration::zero(), [this, closed, alive = alive_] {
                if (*alive) {
                    callers_.erase(closed);
                }
            });
        });
    callers_.emplace(it.get(), it);
    it->start();
    if (is_shutting_down_) {
        it->shut_down(false);
    }
}

auto gateway::on_peer_answer(const instance_id& from, const peer_message& message) -> void
{
    if (const auto* news = std::get_if<topic_news>(&message)) {
        knowledge_.on_news(from, *news);
    } else if (std::holds_alternative<news_pause>(message)) {
        knowledge_.on_pause(from);
    } else if (const auto* status = std::get_if<fleet_status>(&message)) {
        knowledge_.on_status(*status);
    } else if (const auto* report = std::get_if<progress_report>(&message)) {
        knowledge_.on_progress(from, *report);
    } else if (const auto* decided = std::get_if<admission_answer>(&message)) {
        if (auto* it = runtime(decided->service)) {
            it->on_answer(from, *decided);
        }
    } else if (const auto* declined = std::get_if<admission_declined>(&message)) {
        if (auto* it = runtime(declined->service)) {
            it->on_declined(from, *declined);
        }
    }
}

auto gateway::on_peer_request(admission_source source, const peer_message& message) -> void
{
    if (const auto* wanted = std::get_if<news_subscription>(&message)) {
        knowledge_.on_subscription(source, *wanted);
        return;
    }
    if (const auto* report = std::get_if<audience_report>(&message)) {
        knowledge_.on_audience(source, *report);
        return;
    }
    if (std::holds_alternative<progress_query>(message)) {
        knowledge_.on_progress_query(source);
        return;
    }
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            service_runtime* it = nullptr;
            if constexpr (requires { content.service; }) {
                it = runtime(content.service);
            }
            if (it != nullptr) {
                it->on_peer_message(source, message);
            } else if constexpr (std::is_same_v<type, admission_query>) {
                mesh_.answer(source, admission_declined{content.service, content.id});
            }
        },
        message);
}

auto gateway::request(const service_id& service, admission_request request,
                      decision_handler handler) -> admission_id
{
    if (auto* it = runtime(service)) {
        return it->request(std::move(request), std::move(handler));
    }
    admission_decision decision;
    decision.cause = refusal_cause::no_server;
    decision.retry_after = milliseconds{500};
    handler(decision);
    return admission_id{0};
}

auto gateway::withdraw(const service_id& service, admission_id id) -> void
{
    if (auto* it = runtime(service)) {
        it->withdraw(id);
    }
}

auto gateway::complete(const service_id& service, admission_id id, const attempt_report& report)
    -> void
{
    if (auto* it = runtime(service)) {
        it->complete(id, report);
    }
}

auto gateway::on_key_not_held(const service_id& service, const server_id& server, std::uint16_t key)
    -> void
{
    if (auto* it = runtime(service)) {
        it->on_key_not_held(server, key);
    }
}

auto gateway::on_server_ended(const service_id& service, const server_id& server,
                              std::int64_t incarnation) -> void
{
    log_.line("server-replaced").text("server", server.value());
    if (auto* it = runtime(service)) {
        it->on_server_ended(server, incarnation);
    }
}

auto gateway::on_server_leaving(const service_id& service, const server_id& server,
                                std::int64_t incarnation) -> void
{
    auto now = loop_.now();
    if (directory_.on_leaving(server, incarnation, now)) {
        update_servers(now);
    }
    if (auto* it = runtime(service)) {
        it->on_server_leaving(server, incarnation);
    }
}

auto gateway::count_request(const service_id& service) -> void
{
    if (auto* it = runtime(service)) {
        it->allowance().on_request(loop_.now());
    }
}

auto gateway::try_repeat(const service_id& service) -> bool
{
    auto* it = runtime(service);
    return it != nullptr && it->allowance().try_take(loop_.now());
}

auto gateway::choose_target(const gateway_route& route) -> service_id
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    // Smooth weighted round robin: each part gains its weight, the richest pays the sum.
    auto& state = splits_[route.name + "|" + route.prefix];
    state.credit.resize(route.targets.size());
    double total = 0;
    std::size_t best = 0;
    for (std::size_t n = 0; n < route.targets.size(); ++n) {
        state.credit[n] += route.targets[n].weight;
        total += route.targets[n].weight;
        if (state.credit[n] > state.credit[best]) {
            best = n;
        }
    }
    state.credit[best] -= total;
    return route.targets[best].service;
}

auto gateway::watch_loop(time_point now) -> void
{
    auto delay = tick_due_ == time_point{} ? duration::zero() : now - tick_due_;
    longest_delay_ = std::max(longest_delay_, delay);
    if (longest_delay_ < reported_delay || now < next_delay_report_) {
        return;
    }
    next_delay_report_ = now + delay_report_interval;
    log_.line("loop-late").ms("delay_ms", longest_delay_);
    metrics_.count("loop_late_total");
    longest_delay_ = duration::zero();
}

auto gateway::tick() -> void
{
    auto now = loop_.now();
    watch_loop(now);
    for (auto& [name, it] : runtimes_) {
        it->tick(now);
    }
    mesh_.tick(now);
    knowledge_.tick(now);
    join_group();
    if (now >= next_slow_tick_) {
        next_slow_tick_ = now + slow_tick_interval;
        slow_tick(now);
    }
    bool is_active =
        std::ranges::any_of(runtimes_, [](const auto& it) { return it.second->is_active(); });
    auto pause = is_active ? active_tick : idle_tick;
    tick_due_ = loop_.now() + pause;
    tick_timer_ = loop_.schedule(pause, [this] { tick(); });
}

auto gateway::slow_tick(time_point now) -> void
{
    directory_.tick(now);
    update_servers(now);
    pool_.tick(now, [this](const server_id& id) { return directory_.find(id) != nullptr; });
    auto callers = callers_;
    for (auto& [raw, it] : callers) {
        it->check_timeouts(now);
    }
    if (auto n = context_.instances(); n != seen_instances_ && configuration_) {
        seen_instances_ = n;
        for (auto& [name, it] : runtimes_) {
            it->configure(it->service());
        }
    }
    for (auto& [name, it] : runtimes_) {
        if (it->should_resign(now) && now >= no_join_before_ && !is_shutting_down_) {
            log_.line("coordinator-resigns").text("service", name.value());
            no_join_before_ = now + resign_time;
            leave_group();
        }
    }
    check_health(now);
    if (is_shutting_down_) {
        advance_shutdown(now);
    }
    log_.flush();
}

auto gateway::reload(const node_settings& next) -> void
{
    settings_.retry_ratio = next.retry_ratio;
    settings_.retry_burst = next.retry_burst;
    settings_.retry_window = next.retry_window;
    settings_.cold_tolerance = next.cold_tolerance;
    settings_.cold_burst = next.cold_burst;
    settings_.shutdown_grace = next.shutdown_grace;
    seen_instances_ = 0;
    log_.line("reload").real("retry_ratio", settings_.retry_ratio);
}

auto gateway::shut_down() -> void
{
    if (std::exchange(is_shutting_down_, true)) {
        return;
    }
    shutdown_started_ = loop_.now();
    log_.line("stop").number("callers", static_cast<std::int64_t>(callers_.size()));
    leave_group();
    mesh_.leave();
    auto callers = callers_;
    for (auto& [raw, it] : callers) {
        it->shut_down(false);
    }
}

auto gateway::is_idle() const -> bool
{
    return std::ranges::all_of(callers_, [](const auto& it) { return it.second->is_idle(); });
}

auto gateway::advance_shutdown(time_point now) -> void
{
    auto kill = shutdown_started_ + settings_.shutdown_grace;
    if (now < std::min(shutdown_started_ + drain_before_close, kill - last_answers - kill_margin)) {
        return;
    }
    if (caller_listener_) {
        caller_listener_->accept_waiting();
        caller_listener_.reset();
    }
    auto callers = callers_;
    for (auto& [raw, it] : callers) {
        if (now >= kill - last_answers) {
            it->answer_now();
        }
        it->shut_down(true);
    }
    bool is_late = now >= kill - kill_margin;
    if (callers_.empty() || is_late) {
        log_.line("stopped").number("unfinished", is_idle() ? 0 : 1);
        is_finished_ = true;
    }
}

} // namespace cornelswitch
