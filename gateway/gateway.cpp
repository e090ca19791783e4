#include "gateway/gateway.h"

#include "platform/store_names.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A coordinator that resigned because it reached too few instances rejoins the group after this
/// time.
constexpr duration rejoin_delay = seconds{6};
constexpr duration active_tick_interval = milliseconds{25};
constexpr duration idle_tick_interval = milliseconds{100};
constexpr duration slow_tick_interval = milliseconds{250};
/// A tick delayed by this much is logged: the instance lacks CPU time or was suspended.
constexpr duration late_tick_threshold = milliseconds{150};
constexpr duration late_tick_report_interval = seconds{1};
/// Time from the start of the shutdown to the end of the listener. The load balancer removes an
/// instance after two failed readiness checks, which are a second apart.
constexpr duration listener_close_delay = milliseconds{2600};
/// Number of instances that is assumed until the real one is known. It is high, so that an instance
/// does not use too large a share of limits that all instances have in common.
constexpr std::uint32_t assumed_instances = 1000;
/// Time until the store has processed that another instance left the group.
constexpr duration leave_propagation_time = milliseconds{30};
/// Time before SIGKILL at which every request in progress gets a final response.
constexpr duration final_response_margin = milliseconds{700};
/// Time before SIGKILL at which the process ends; the last bytes are sent before it.
constexpr duration exit_margin = milliseconds{400};

/// Reading a configuration with many routes takes over a second on a shared 10 Mbit/s link.
constexpr duration max_store_response_time = seconds{4};

auto store_client_options() -> unary_client::options
{
    unary_client::options out;
    out.connect_timeout = milliseconds{500};
    out.stream = {milliseconds{1000}, seconds{1}};
    out.max_response_time = max_store_response_time;
    return out;
}

/// Kernel receive buffer of a caller's connection in bytes. It bounds what one read returns: with
/// the system's default of several megabytes one fast caller fills as much again in the process.
constexpr int caller_receive_buffer = 128 * 1024;
/// Part of the process's memory that the account covers. The rest is for the program, its tables,
/// connections and unused parts of the heap.
constexpr std::uint64_t account_share_percent = 66;
/// The part of the account that only small uses may take.
constexpr std::uint64_t small_share_divisor = 8;

auto account_capacity(std::uint32_t memory_mb) -> std::uint64_t
{
    return std::uint64_t{memory_mb} * 1'000'000 * account_share_percent / 100;
}

} // namespace

gateway::gateway(event_loop& loop, node_settings settings, event_log& log, boot_id boot)
    : loop_{loop}, settings_{std::move(settings)}, log_{log}, boot_{boot}, random_{boot.value()},
      store_connections_{loop, settings_.store_address, store_client_options()},
      store_{loop, store_connections_, log}, directory_{log},
      fleet_{{settings_.node, settings_.zone, settings_.peer_address, settings_.cpu_share},
             loop.now()},
      mesh_{loop, log, metrics_, fleet_.self(), boot, mesh_hooks()},
      replicator_{
          loop, store_, log, random_, fleet_, mesh_, settings_.is_first_start, replicator_hooks()},
      ownership_{loop, store_, log, std::string{coordination_topic_name()}},
      memory_{account_capacity(settings_.memory_mb),
              account_capacity(settings_.memory_mb) / small_share_divisor},
      pool_{loop, {}}, quotas_{loop, log, metrics_, mesh_, settings_.node, boot, quota_hooks()},
      services_{loop_,
                pool_,
                directory_,
                *this,
                log_,
                metrics_,
                [this] { return configuration_; },
                [this](const gateway_route& route) { return choose_target(route); },
                settings_.response_limits,
                quotas_,
                memory_,
                [this] { return free_memory(); },
                [this] { shed_responses(); },
                settings_.body_limits},
      context_{make_runtime_context()}
{
    quotas_.set_bounds(settings_.quota);
    ownership_.set_copy(replicator_.coordination());
    store_.set_on_new_era([this](store_era era) { on_store_era(era); });
    memory_.set_on_pressure([this](memory_pressure next) { on_memory_pressure(next); });
    directory_.set_on_ended(
        [this](const service_id& service, const server_id& server, std::int64_t incarnation) {
            if (auto* target = runtime(service)) {
                target->on_server_replaced(server, incarnation);
            }
            pool_.abandon(server);
        });
}

auto gateway::mesh_hooks() -> peer_mesh::hooks
{
    peer_mesh::hooks out;
    out.on_link_message = [this](const instance_id& from, const peer_message& message) {
        on_peer_answer(from, message);
    };
    out.on_session_message = [this](admission_source source, const peer_message& message) {
        on_peer_request(source, message);
    };
    out.on_link = [this](const instance_id& node, bool is_up) {
        replicator_.on_link(node, is_up);
        for (auto& [name, service] : runtimes_) {
            service->on_link(node, is_up);
        }
    };
    // The leaving instance may be a coordinator. The store then assigns its services to another
    // member of the group, so the membership is read again soon.
    out.on_leaving = [this](const instance_id&) {
        next_join_ = loop_.now() + leave_propagation_time;
    };
    out.on_session = [this](admission_source source) { replicator_.on_session(source); };
    out.on_session_end = [this](admission_source source) {
        replicator_.on_session_end(source);
        for (auto& [name, service] : runtimes_) {
            service->drop_source(source);
        }
    };
    out.is_response_outstanding = [this](const instance_id& node) {
        return std::ranges::any_of(
            runtimes_, [&](const auto& entry) { return entry.second->is_waiting_for(node); });
    };
    return out;
}

auto gateway::allocating_service() -> service_runtime*
{
    if (!configuration_ || configuration_->content.services.empty()) {
        return nullptr;
    }
    return runtime(configuration_->content.services.begin()->first);
}

auto gateway::quota_allocating_instance() -> std::optional<instance_id>
{
    auto* service = allocating_service();
    if (service == nullptr) {
        return std::nullopt;
    }
    if (service->is_coordinator()) {
        return settings_.node;
    }
    if (auto coordinator = service->reachable_coordinator()) {
        return coordinator;
    }
    // The instances of a zone that is cut off divide their shares among themselves: together they
    // need less reserve than each one by itself.
    for (const auto& it : fleet_.ranking("quota")) {
        if (it == settings_.node || mesh_.accepts_work(it)) {
            return it;
        }
    }
    return std::nullopt;
}

auto gateway::quota_hooks() -> quota_runtime::hooks
{
    quota_runtime::hooks out;
    out.allocator = [this] { return quota_allocating_instance(); };
    out.instances = [this] { return context_.instances(); };
    return out;
}

auto gateway::replicator_hooks() -> store_replicator::hooks
{
    store_replicator::hooks out;
    out.on_operators = [this](const auto& changes) { on_operator_records(changes); };
    out.on_servers = [this](const auto& changes) { on_server_records(changes); };
    out.on_coordination = [this](const auto& changes, time_point confirmed_at) {
        on_coordination_records(changes, confirmed_at);
    };
    out.on_store = [this](bool is_available) {
        directory_.set_store_available(is_available, loop_.now());
    };
    return out;
}

auto gateway::make_runtime_context() -> runtime_context
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
            [this] { replicator_.refresh_coordination(); },
            [this] { apply_role(); },
            [this](const server_id& server, std::int64_t incarnation) {
                auto now = loop_.now();
                if (directory_.on_shutdown_announced(server, incarnation, now)) {
                    update_servers(now);
                }
            },
            [this] {
                auto instances = replicator_.instances();
                return instances == 0 ? assumed_instances : instances;
            }};
}

gateway::~gateway()
{
    // Cancels requests in progress, because their timers refer to this object.
    auto callers = callers_;
    for (auto& [raw, caller] : callers) {
        caller->close();
    }
    *alive_ = false;
    loop_.cancel(tick_timer_);
}

auto gateway::start() -> result<void>
{
    BOOST_OUTCOME_TRY(open_listeners());
    replicator_.start();
    log_.line("start")
        .text("callers", settings_.caller_address.to_text())
        .text("peers", settings_.peer_address.to_text())
        .text("store", settings_.store_address.to_text())
        .decimal("cpu_share", settings_.cpu_share)
        .number("memory_mb", settings_.memory_mb);
    tick();
    return success();
}

auto gateway::open_listeners() -> result<void>
{
    BOOST_OUTCOME_TRY(callers,
                      listener::open(
                          loop_, settings_.caller_address,
                          [this](auto* socket) { accept_caller(socket); }, caller_receive_buffer));
    caller_listener_ = std::move(callers);
    BOOST_OUTCOME_TRY(mesh_.open());
    auto answer = [this](const std::string& path) { return status(path); };
    BOOST_OUTCOME_TRY(ready, status_server::open(loop_, settings_.readiness_address, answer));
    readiness_server_ = std::move(ready);
    endpoint metrics_address{settings_.peer_address.address,
                             static_cast<std::uint16_t>(settings_.peer_address.port + 1)};
    BOOST_OUTCOME_TRY(metrics, status_server::open(loop_, metrics_address, answer));
    metrics_server_ = std::move(metrics);
    return success();
}

auto gateway::status(const std::string& path) -> status_response
{
    if (path == "/metrics") {
        quotas_.update_metrics();
        metrics_.set("servers", static_cast<double>(directory_.size()));
        metrics_.set("caller_connections", static_cast<double>(callers_.size()));
        metrics_.set("server_connects_total", static_cast<double>(pool_.totals().connects));
        metrics_.set("server_requests_total", static_cast<double>(pool_.totals().requests));
        metrics_.set("stray_responses_total", static_cast<double>(pool_.totals().stray_responses));
        metrics_.set("store_calls_total", static_cast<double>(store_connections_.calls()));
        if (store_.era() != store_era{}) {
            metrics_.set("store_era", static_cast<double>(store_.era().value()));
            metrics_.set("store_stale_responses_total",
                         static_cast<double>(store_.tracker().stale_responses()));
            metrics_.set("store_records_dropped_total",
                         static_cast<double>(replicator_.dropped_records()));
        }
        metrics_.set("ownership_writes_total", static_cast<double>(ownership_.writes()));
        metrics_.set("log_lines_total", static_cast<double>(log_.written()));
        metrics_.set("log_lines_dropped_total", static_cast<double>(log_.dropped()));
        set_memory_metrics();
        std::size_t limited = 0;
        double limit = 0;
        for (const auto& [name, service] : runtimes_) {
            auto [servers, sum] = service->scheduler().rate_limits();
            limited += servers;
            limit += sum.per_second;
        }
        metrics_.set("limited_servers", static_cast<double>(limited));
        metrics_.set("limited_servers_requests_per_second", limit);
        return {200, metrics_.text()};
    }
    if (path == readiness_path()) {
        return {is_ready() ? 200 : 503, {}};
    }
    return {404, {}};
}

auto gateway::is_ready() const -> bool
{
    return configuration_ != nullptr && replicator_.is_loaded() && !is_shutting_down_;
}

auto gateway::update_servers(time_point now) -> void
{
    seen_directory_revision_ = directory_.revision();
    for (auto& [name, service] : runtimes_) {
        service->update_servers(now);
    }
}

auto gateway::runtime(const service_id& service) -> service_runtime*
{
    auto it = runtimes_.find(service);
    return it == runtimes_.end() ? nullptr : it->second.get();
}

auto gateway::on_peer_answer(const instance_id& from, const peer_message& message) -> void
{
    if (const auto* update = std::get_if<topic_update>(&message)) {
        replicator_.on_update(from, *update);
    } else if (const auto* keepalive = std::get_if<subscription_keepalive>(&message)) {
        replicator_.on_keepalive(from, keepalive->era);
    } else if (const auto* status = std::get_if<fleet_status>(&message)) {
        replicator_.on_status(*status);
    } else if (const auto* report = std::get_if<progress_report>(&message)) {
        replicator_.on_progress(from, *report);
    } else if (const auto* allocation = std::get_if<quota_allocation>(&message)) {
        quotas_.on_allocation(from, *allocation);
    } else if (const auto* decided = std::get_if<admission_answer>(&message)) {
        if (auto* target = runtime(decided->service)) {
            target->on_answer(from, *decided);
        }
    } else if (const auto* declined = std::get_if<admission_declined>(&message)) {
        if (auto* target = runtime(declined->service)) {
            target->on_declined(from, *declined);
        }
    }
}

auto gateway::on_peer_request(admission_source source, const peer_message& message) -> void
{
    if (const auto* wanted = std::get_if<update_subscription>(&message)) {
        replicator_.on_subscription(source, *wanted);
        return;
    }
    if (const auto* report = std::get_if<subscriber_count_report>(&message)) {
        replicator_.on_subscriber_count(source, *report);
        return;
    }
    if (const auto* usage = std::get_if<quota_report>(&message)) {
        quotas_.on_report(source, *usage);
        return;
    }
    if (std::holds_alternative<progress_query>(message)) {
        replicator_.on_progress_query(source);
        return;
    }
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            service_runtime* target = nullptr;
            if constexpr (requires { content.service; }) {
                target = runtime(content.service);
            }
            if (target != nullptr) {
                target->on_peer_message(source, message);
            } else if constexpr (std::is_same_v<type, admission_query>) {
                mesh_.send_to_session(source, admission_declined{content.service, content.id});
            }
        },
        message);
}

auto gateway::request(const service_id& service, admission_request request,
                      decision_handler handler) -> admission_id
{
    if (auto* target = runtime(service)) {
        return target->request(std::move(request), std::move(handler));
    }
    admission_decision decision;
    decision.cause = refusal_cause::no_server;
    decision.retry_after = milliseconds{500};
    handler(decision);
    return admission_id{0};
}

auto gateway::withdraw(const service_id& service, admission_id id) -> void
{
    if (auto* target = runtime(service)) {
        target->withdraw(id);
    }
}

auto gateway::complete(const service_id& service, admission_id id, const attempt_report& report)
    -> void
{
    if (auto* target = runtime(service)) {
        target->complete(id, report);
    }
}

auto gateway::on_key_not_held(const service_id& service, const server_id& server, std::uint16_t key)
    -> void
{
    if (auto* target = runtime(service)) {
        target->on_key_not_held(server, key);
    }
}

auto gateway::on_server_ended(const service_id& service, const server_id& server,
                              std::int64_t incarnation) -> void
{
    log_.line("server-replaced").text("server", server.value());
    if (auto* target = runtime(service)) {
        target->on_server_ended(server, incarnation);
    }
}

auto gateway::on_server_leaving(const service_id& service, const server_id& server,
                                std::int64_t incarnation) -> void
{
    auto now = loop_.now();
    if (directory_.on_shutdown_announced(server, incarnation, now)) {
        update_servers(now);
    }
    if (auto* target = runtime(service)) {
        target->on_server_leaving(server, incarnation);
    }
}

auto gateway::count_request(const service_id& service) -> void
{
    if (auto* target = runtime(service)) {
        target->budget().on_request(loop_.now());
    }
}

auto gateway::try_take_retry(const service_id& service) -> bool
{
    auto* target = runtime(service);
    return target != nullptr && target->budget().try_spend(loop_.now());
}

auto gateway::choose_target(const gateway_route& route) -> service_id
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    // Smooth weighted round robin: each service gains its weight as credit. The service with the
    // most credit is chosen and pays the sum of all weights.
    auto& state = target_selection_[route.name + "|" + route.prefix];
    state.credit.resize(route.targets.size());
    double total = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < route.targets.size(); ++index) {
        state.credit[index] += route.targets[index].weight;
        total += route.targets[index].weight;
        if (state.credit[index] > state.credit[best]) {
            best = index;
        }
    }
    state.credit[best] -= total;
    return route.targets[best].service;
}

auto gateway::report_late_ticks(time_point now) -> void
{
    auto delay = tick_due_ == time_point{} ? duration::zero() : now - tick_due_;
    max_tick_delay_ = std::max(max_tick_delay_, delay);
    if (max_tick_delay_ < late_tick_threshold || now < next_late_tick_report_) {
        return;
    }
    next_late_tick_report_ = now + late_tick_report_interval;
    log_.line("loop-late").ms("delay_ms", max_tick_delay_);
    metrics_.count("loop_late_total");
    max_tick_delay_ = duration::zero();
}

auto gateway::tick() -> void
{
    auto now = loop_.now();
    report_late_ticks(now);
    for (auto& [name, service] : runtimes_) {
        service->tick(now);
    }
    mesh_.tick(now);
    replicator_.tick(now);
    join_group();
    if (now >= next_slow_tick_) {
        next_slow_tick_ = now + slow_tick_interval;
        slow_tick(now);
    }
    bool is_active =
        std::ranges::any_of(runtimes_, [](const auto& entry) { return entry.second->is_active(); });
    auto pause = is_active ? active_tick_interval : idle_tick_interval;
    tick_due_ = loop_.now() + pause;
    tick_timer_ = loop_.schedule(pause, [this] { tick(); });
}

auto gateway::slow_tick(time_point now) -> void
{
    directory_.tick(now);
    peer_memory_.resize(mesh_.held_bytes());
    update_servers(now);
    pool_.tick(now, [this](const server_id& id) { return directory_.find(id) != nullptr; });
    auto callers = callers_;
    for (auto& [raw, caller] : callers) {
        caller->check_timeouts(now);
    }
    if (auto instances = context_.instances(); instances != seen_instances_ && configuration_) {
        seen_instances_ = instances;
        for (auto& [name, service] : runtimes_) {
            service->configure(service->service());
        }
    }
    for (auto& [name, service] : runtimes_) {
        if (service->should_resign(now) && now >= earliest_join_ && !is_shutting_down_) {
            log_.line("coordinator-resigns").text("service", name.value());
            earliest_join_ = now + rejoin_delay;
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
    settings_.retry_budget_burst = next.retry_budget_burst;
    settings_.retry_window = next.retry_window;
    settings_.cold_tolerance = next.cold_tolerance;
    settings_.cold_burst = next.cold_burst;
    settings_.quota = next.quota;
    quotas_.set_bounds(settings_.quota);
    settings_.shutdown_grace = next.shutdown_grace;
    seen_instances_ = 0;
    log_.line("reload").decimal("retry_ratio", settings_.retry_ratio);
}

auto gateway::shut_down() -> void
{
    if (std::exchange(is_shutting_down_, true)) {
        return;
    }
    shutdown_started_ = loop_.now();
    log_.line("stop").number("callers", static_cast<std::int64_t>(callers_.size()));
    leave_group();
    mesh_.announce_shutdown();
    auto callers = callers_;
    for (auto& [raw, caller] : callers) {
        caller->shut_down(false);
    }
}

auto gateway::has_no_request() const -> bool
{
    return std::ranges::all_of(callers_,
                               [](const auto& caller) { return caller.second->is_idle(); });
}

auto gateway::advance_shutdown(time_point now) -> void
{
    auto kill_time = shutdown_started_ + settings_.shutdown_grace;
    if (now < std::min(shutdown_started_ + listener_close_delay,
                       kill_time - final_response_margin - exit_margin)) {
        return;
    }
    if (caller_listener_) {
        caller_listener_->accept_pending();
        caller_listener_.reset();
    }
    auto callers = callers_;
    for (auto& [raw, caller] : callers) {
        if (now >= kill_time - final_response_margin) {
            caller->respond_now();
        }
        caller->shut_down(true);
    }
    bool is_late = now >= kill_time - exit_margin;
    if (callers_.empty() || is_late) {
        log_.line("stopped").number("unfinished", has_no_request() ? 0 : 1);
        is_finished_ = true;
    }
}

} // namespace cornelswitch
