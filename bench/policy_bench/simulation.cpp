#include "bench/policy_bench/simulation.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch::bench {

using namespace std::chrono_literals;

namespace {

// One-way delay between a dispatcher and its server.
constexpr duration server_delay = 50us;
constexpr duration grant_interval = 200ms;
constexpr duration plan_interval = 500ms;
constexpr std::uint64_t bulk_percent = 20;

auto draw_tenant(random_engine& random) -> const char*
{
    auto n = uniform_below(random, 10);
    return n < 5 ? "t0" : n < 8 ? "t1" : "t2";
}

} // namespace

simulation::simulation(const deployment& input, const policy_variant& variant,
                       simulation_options options)
    : input_{input}, variant_{variant}, options_{std::move(options)}, random_{options_.seed},
      keys_{options_.keys, options_.zipf_exponent, options_.seed},
      table_{input.services.front().config, keys_}
{
    instance_accepts_.assign(input_.instances, true);
    last_send_.assign(input_.instances, events_.now());
    make_entries(variant);
    make_servers();
    publish_view();
    for (std::uint32_t n = 0; n < input_.services.size(); ++n) {
        const auto& names = options_.services;
        const auto& name = input_.services[n].config.name.value();
        if (names.empty() || std::find(names.begin(), names.end(), name) != names.end()) {
            schedule_arrival(n);
        }
    }
    events_.after(grant_interval, [this] { renew_grants(); });
    events_.after(server_scheduler::report_interval, [this] { request_reports(); });
    if (options_.planner_enabled) {
        events_.after(plan_interval, [this] { plan(); });
    }
}

auto simulation::finish() -> void
{
    arrivals_enabled_ = false;
    run_for(options_.deadline + 1s);
}

auto simulation::server(std::uint32_t service, std::uint32_t index) -> fake_server&
{
    return *servers_[server_position(service, index)].fake;
}

auto simulation::metrics(std::uint32_t service, std::uint32_t index) const -> const server_metrics&
{
    return servers_[server_position(service, index)].metrics;
}

auto simulation::limit(std::uint32_t service, std::uint32_t index) const -> std::uint32_t
{
    return servers_[server_position(service, index)].schedulers.front()->scheduler->limit();
}

auto simulation::counters() const -> entry_router::counters
{
    entry_router::counters out;
    for (const auto& it : entries_) {
        const auto& counters = it.router->statistics();
        out.requests += counters.requests;
        out.retries += counters.retries;
        out.hedges += counters.hedges;
        out.redirects += counters.redirects;
        out.held += counters.held;
    }
    return out;
}

auto simulation::make_entries(const policy_variant& variant) -> void
{
    for (std::uint32_t n = 0; n < input_.instances; ++n) {
        entry_state it;
        it.zone = n % static_cast<std::uint32_t>(input_.zones.size());
        router_options options;
        options.self = instance_id{"i" + std::to_string(n)};
        options.zone = input_.zones[it.zone];
        options.seed = options_.seed * 1000 + n;
        if (variant.make_choice) {
            options.choose_server = variant.make_choice();
        }
        it.router = std::make_unique<entry_router>(std::move(options));
        entries_.push_back(std::move(it));
    }
}

auto simulation::make_servers() -> void
{
    for (std::uint32_t service = 0; service < input_.services.size(); ++service) {
        const auto& workload = input_.services[service];
        first_server_.push_back(servers_.size());
        for (std::uint32_t n = 0; n < workload.config.servers.size(); ++n) {
            simulated_server backend;
            backend.service = service;
            backend.index = n;
            auto zones = static_cast<std::uint32_t>(input_.zones.size());
            backend.dispatcher = n % zones;
            // Spreads the servers over two instances of their zone.
            while (backend.dispatcher + zones < input_.instances &&
                   (n / zones + service) % 2 == 1) {
                backend.dispatcher += zones;
                break;
            }
            auto seed = options_.seed * 100'000 + servers_.size();
            backend.fake = std::make_unique<fake_server>(
                events_, workload.config.servers[n].concurrency, workload.service_time, seed,
                [this](std::uint64_t attempt, bool ok) { handle_server_end(attempt, ok); });
            backend.fake->set_restart_handler([this, server = servers_.size()] {
                events_.after(server_delay, [this, server] {
                    for (const auto& it : servers_[server].schedulers) {
                        it->scheduler->on_restart_suspected();
                    }
                });
            });
            auto schedulers = variant_.independent ? input_.instances : 1;
            for (std::uint32_t k = 0; k < schedulers; ++k) {
                backend.schedulers.push_back(make_scheduler(backend));
            }
            servers_.push_back(std::move(backend));
        }
    }
}

auto simulation::make_scheduler(const simulated_server& backend) -> scheduler_ptr
{
    const auto& config = input_.services[backend.service].config.servers[backend.index];
    limit_hook hook;
    if (variant_.independent) {
        hook = [n = config.concurrency](std::uint32_t) { return n; };
    }
    auto out = std::make_shared<scheduler_state>();
    out->scheduler = std::make_unique<server_scheduler>(config, input_.policy, std::move(hook));
    return out;
}

auto simulation::make_view() const -> std::shared_ptr<const routing_view>
{
    auto out = std::make_shared<routing_view>();
    out->ready = true;
    out->out_of_service = out_of_service_;
    for (std::uint32_t n = 0; n < input_.services.size(); ++n) {
        auto view = std::make_shared<service_view>();
        view->config = input_.services[n].config;
        view->policy = input_.policy;
        view->policy.default_deadline = options_.deadline;
        if (view->config.keyed) {
            table_.fill_view(*view);
        }
        out->services[view->config.name] = std::move(view);
    }
    for (std::uint32_t n = 0; n < entries_.size(); ++n) {
        auto id = instance_id{"i" + std::to_string(n)};
        out->instances[id] = {id, input_.zones[entries_[n].zone], {}, instance_accepts_[n]};
    }
    for (const auto& it : servers_) {
        const auto& config = input_.services[it.service].config.servers[it.index];
        out->dispatchers[config.id] = instance_id{"i" + std::to_string(it.dispatcher)};
    }
    return out;
}

auto simulation::publish_view() -> void
{
    auto view = make_view();
    for (std::uint32_t entry = 0; entry < entries_.size(); ++entry) {
        if (!entries_[entry].alive) {
            continue;
        }
        for (const auto& it : entries_[entry].router->set_view(view, events_.now())) {
            apply_decision(entry, it.id.value(), it.decision);
        }
        schedule_entry_wakeup(entry);
    }
}

auto simulation::schedule_arrival(std::uint32_t service) -> void
{
    auto rate = input_.services[service].capacity() * options_.load;
    auto seconds = -std::log(1 - uniform_real(random_)) / rate;
    auto delay = std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
    events_.after(delay, [this, service] {
        if (arrivals_enabled_) {
            handle_arrival(service);
            schedule_arrival(service);
        }
    });
}

auto simulation::handle_arrival(std::uint32_t service) -> void
{
    const auto& workload = input_.services[service];
    auto id = records_.size();
    request_record record;
    record.service = service;
    record.entry = pick_entry();
    record.arrival = events_.now();
    record.idempotent = workload.idempotent;
    auto bulk = uniform_below(random_, 100) < bulk_percent;
    record.priority = bulk ? request_class::bulk : request_class::interactive;
    record.key = keys_.draw(random_);
    records_.push_back(record);

    request_head head;
    auto path = "/" + workload.config.name.value() + "/" + keys_.name(record.key);
    head.method = workload.idempotent ? "GET" : "POST";
    head.path = path;
    head.tenant = draw_tenant(random_);
    head.priority = to_string(record.priority);
    auto& router = *entries_[record.entry].router;
    apply_decision(record.entry, id, router.route(request_id{id}, head, events_.now()));
    schedule_entry_wakeup(record.entry);
}

auto simulation::pick_entry() -> std::uint32_t
{
    std::uint32_t out = 0;
    do {
        out = static_cast<std::uint32_t>(uniform_below(random_, entries_.size()));
    } while (!entries_[out].gets_arrivals);
    return out;
}

auto simulation::apply_decision(std::uint32_t entry, std::size_t request,
                                const route_decision& decision) -> void
{
    if (const auto* sent = std::get_if<send_attempt>(&decision)) {
        send(entry, request, *sent);
    } else if (const auto* refused = std::get_if<refusal>(&decision)) {
        auto not_run = refused->outcome == request_outcome::not_run;
        finish_request(request, not_run ? request_result::not_run : request_result::unknown,
                       refused->reason);
        auto attempts = records_[request].attempts;
        for (auto it : attempts) {
            cancel(it);
        }
    }
}

auto simulation::send(std::uint32_t entry, std::size_t request, const send_attempt& sent) -> void
{
    attempt_record it;
    it.request = request;
    it.number = sent.attempt;
    it.hedge = sent.hedge;
    it.instance = static_cast<std::uint32_t>(std::stoul(sent.instance.value().substr(1)));
    auto dash = sent.server.value().rfind('-');
    auto index = static_cast<std::uint32_t>(std::stoul(sent.server.value().substr(dash + 1)));
    it.server = server_position(records_[request].service, index);
    auto id = attempts_.size();
    attempts_.push_back(it);
    records_[request].attempts.push_back(id);
    events_.after(link_delay(entry, it.instance), [this, id] { deliver(id); });
}

auto simulation::finish_request(std::size_t request, request_result result, refusal_reason reason)
    -> void
{
    auto& record = records_[request];
    if (record.result != request_result::pending) {
        return;
    }
    record.result = result;
    record.reason = reason;
    record.latency = events_.now() - record.arrival;
}

auto simulation::schedule_entry_wakeup(std::uint32_t entry) -> void
{
    auto& state = entries_[entry];
    auto at = state.router->next_wakeup();
    if (!at || (state.wakeup_at && *state.wakeup_at <= *at)) {
        return;
    }
    state.wakeup_at = at;
    events_.at(*at, [this, entry, when = *at] {
        auto& it = entries_[entry];
        if (!it.alive || it.wakeup_at != when) {
            return;
        }
        it.wakeup_at.reset();
        for (const auto& due : it.router->poll(events_.now())) {
            apply_decision(entry, due.id.value(), due.decision);
        }
        schedule_entry_wakeup(entry);
    });
}

auto simulation::deliver(std::uint64_t attempt) -> void
{
    if (!attempts_[attempt].pending) {
        return;
    }
    if (auto kind = find_delivery_failure(attempt)) {
        fail(attempt, *kind,
             link_delay(records_[attempts_[attempt].request].entry, attempts_[attempt].instance));
        return;
    }
    auto& it = attempts_[attempt];
    auto& backend = servers_[it.server];
    const auto& record = records_[it.request];
    it.scheduler = backend.schedulers[variant_.independent ? record.entry : 0];
    request_info info;
    info.id = request_id{attempt};
    info.tenant = entries_[record.entry].router->find(request_id{it.request})->tenant;
    info.priority = record.priority;
    info.idempotent = record.idempotent;
    info.hedge = it.hedge;
    info.deadline = record.arrival + options_.deadline;
    if (backend.service == keyed_service_) {
        info.slot = slot_of(record);
        table_.count_request(record.key);
    }
    auto scheduler = it.scheduler;
    auto server = it.server;
    handle_refusals(server, scheduler->scheduler->submit(info, events_.now()).refusals);
    run_scheduler(server, scheduler);
}

auto simulation::find_delivery_failure(std::uint64_t attempt) -> std::optional<failure_kind>
{
    const auto& it = attempts_[attempt];
    const auto& backend = servers_[it.server];
    const auto& record = records_[it.request];
    if (!entries_[it.instance].alive && !variant_.independent) {
        return failure_kind::connection_refused;
    }
    if (!variant_.independent && backend.dispatcher != it.instance) {
        return failure_kind::wrong_dispatcher;
    }
    if (backend.lost) {
        return failure_kind::server_unavailable;
    }
    if (backend.service == keyed_service_ &&
        (table_.owner_of(table_.slot_of(record.key)) != backend.index ||
         table_.is_moving(record.key))) {
        return failure_kind::slot_moved;
    }
    return std::nullopt;
}

auto simulation::fail(std::uint64_t attempt, failure_kind kind, duration delay) -> void
{
    if (!attempts_[attempt].pending) {
        return;
    }
    attempts_[attempt].pending = false;
    attempt_failure failure;
    failure.attempt = attempts_[attempt].number;
    failure.kind = kind;
    const auto& backend = servers_[attempts_[attempt].server];
    if (kind == failure_kind::wrong_dispatcher && entries_[backend.dispatcher].alive) {
        failure.redirect = instance_id{"i" + std::to_string(backend.dispatcher)};
    }
    if (attempts_[attempt].scheduler) {
        failure.load = attempts_[attempt].scheduler->scheduler->load();
    }
    events_.after(delay, [this, attempt, failure] {
        auto request = attempts_[attempt].request;
        auto entry = records_[request].entry;
        if (!entries_[entry].alive) {
            return;
        }
        auto& router = *entries_[entry].router;
        apply_decision(entry, request,
                       router.on_failure(request_id{request}, failure, events_.now()));
        schedule_entry_wakeup(entry);
    });
}

auto simulation::handle_refusals(std::size_t, const std::vector<refusal>& refusals) -> void
{
    for (const auto& it : refusals) {
        auto attempt = it.id.value();
        auto kind = it.outcome == request_outcome::unknown  ? failure_kind::unknown_outcome
                    : it.reason == refusal_reason::draining ? failure_kind::server_unavailable
                                                            : failure_kind::overloaded;
        const auto& record = records_[attempts_[attempt].request];
        fail(attempt, kind, link_delay(record.entry, attempts_[attempt].instance));
    }
}

auto simulation::run_scheduler(std::size_t server, const scheduler_ptr& scheduler) -> void
{
    auto now = events_.now();
    handle_refusals(server, scheduler->scheduler->expire(now));
    while (auto request = scheduler->scheduler->take_next(now)) {
        start(server, scheduler, request->id.value());
    }
    handle_refusals(server, scheduler->scheduler->expire(now));
    schedule_scheduler_wakeup(server, scheduler);
}

auto simulation::schedule_scheduler_wakeup(std::size_t server, const scheduler_ptr& scheduler)
    -> void
{
    auto at = scheduler->scheduler->next_wakeup();
    if (!at || (scheduler->wakeup_at && *scheduler->wakeup_at <= *at)) {
        return;
    }
    auto when = std::max(*at, events_.now() + duration{1});
    scheduler->wakeup_at = when;
    events_.at(when, [this, server, scheduler, when] {
        if (scheduler->wakeup_at == when) {
            scheduler->wakeup_at.reset();
            run_scheduler(server, scheduler);
        }
    });
}

auto simulation::start(std::size_t server, const scheduler_ptr& scheduler, std::uint64_t attempt)
    -> void
{
    attempts_[attempt].running = true;
    last_send_[attempts_[attempt].instance] = events_.now();
    events_.after(server_delay, [this, server, scheduler, attempt] {
        auto& backend = servers_[server];
        auto& it = attempts_[attempt];
        it.started = events_.now();
        auto allowed = scheduler->scheduler->limit();
        if (!backend.fake->start(attempt)) {
            scheduler->scheduler->on_connection_failed(
                request_id{attempt}, send_progress::before_first_byte, events_.now());
            it.running = false;
            fail(attempt, failure_kind::server_unavailable,
                 link_delay(records_[it.request].entry, it.instance));
            schedule_scheduler_wakeup(server, scheduler);
            return;
        }
        ++records_[it.request].starts;
        ++backend.metrics.starts;
        backend.metrics.over_limit += backend.fake->in_progress() > allowed ? 1 : 0;
        backend.metrics.last_start = events_.now();
    });
}

auto simulation::handle_server_end(std::uint64_t attempt, bool success) -> void
{
    auto server = attempts_[attempt].server;
    const auto& fake = *servers_[server].fake;
    server_response response;
    response.id = request_id{attempt};
    response.latency = events_.now() - attempts_[attempt].started + 2 * server_delay;
    response.boot = fake.boot();
    response.running = fake.in_progress();
    events_.after(server_delay, [this, attempt, success, response, server] {
        auto& it = attempts_[attempt];
        it.running = false;
        auto scheduler = it.scheduler;
        auto& state = *scheduler->scheduler;
        if (success) {
            state.on_response(response, events_.now());
            send_response(attempt, state.load());
        } else {
            state.on_connection_failed(response.id, send_progress::after_first_byte, events_.now());
            fail(attempt, failure_kind::unknown_outcome,
                 link_delay(records_[it.request].entry, it.instance));
        }
        run_scheduler(server, scheduler);
    });
}

auto simulation::send_response(std::uint64_t attempt, const load_sample& load) -> void
{
    auto& it = attempts_[attempt];
    // If the dispatcher or the entry has stopped, the connection between them is closed.
    if (!it.pending || (!entries_[it.instance].alive && !variant_.independent)) {
        return;
    }
    it.pending = false;
    auto request = it.request;
    auto entry = records_[request].entry;
    events_.after(link_delay(entry, it.instance), [this, attempt, request, entry, load] {
        if (!entries_[entry].alive || records_[request].result != request_result::pending) {
            return;
        }
        auto& router = *entries_[entry].router;
        auto has_sample = options_.report_delay == duration{0};
        auto sample = has_sample ? std::optional{load} : std::nullopt;
        auto others = router.on_response(request_id{request}, attempts_[attempt].number, sample,
                                         events_.now());
        finish_request(request, request_result::success, {});
        for (const auto& other : others) {
            cancel(records_[request].attempts[other.attempt - 1]);
        }
        schedule_entry_wakeup(entry);
    });
}

auto simulation::cancel(std::uint64_t attempt) -> void
{
    if (!attempts_[attempt].pending) {
        return;
    }
    attempts_[attempt].pending = false;
    auto delay =
        link_delay(records_[attempts_[attempt].request].entry, attempts_[attempt].instance);
    events_.after(delay, [this, attempt] {
        auto& it = attempts_[attempt];
        if (!it.scheduler) {
            return;
        }
        auto& scheduler = *it.scheduler->scheduler;
        auto result = scheduler.cancel(request_id{attempt}, events_.now());
        if (result != cancel_result::not_found && servers_[it.server].fake->cancel(attempt)) {
            scheduler.on_cancel_confirmed(request_id{attempt});
        }
        run_scheduler(it.server, it.scheduler);
    });
}

auto simulation::renew_grants() -> void
{
    for (std::size_t n = 0; n < servers_.size(); ++n) {
        report_running_count(n);
    }
    events_.after(grant_interval, [this] { renew_grants(); });
}

auto simulation::request_reports() -> void
{
    for (std::size_t n = 0; n < servers_.size(); ++n) {
        if (servers_[n].schedulers.front()->scheduler->needs_report()) {
            report_running_count(n);
        }
    }
    events_.after(server_scheduler::report_interval, [this] { request_reports(); });
}

auto simulation::report_running_count(std::size_t server) -> void
{
    auto& backend = servers_[server];
    if (backend.lost) {
        return;
    }
    for (const auto& it : backend.schedulers) {
        it->scheduler->on_report(backend.fake->boot(), backend.fake->in_progress(), events_.now());
        run_scheduler(server, it);
    }
}

auto simulation::link_delay(std::uint32_t from, std::uint32_t to) const -> duration
{
    auto same = entries_[from].zone == entries_[to].zone;
    return same ? input_.local_delay : input_.zone_delay;
}

auto simulation::server_position(std::uint32_t service, std::uint32_t index) const -> std::size_t
{
    return first_server_[service] + index;
}

auto simulation::slot_of(const request_record& request) const -> slot_index
{
    return slot_index{table_.slot_of(request.key)};
}

auto simulation::zone_of(std::uint32_t, std::uint32_t index) const -> std::uint32_t
{
    return index % static_cast<std::uint32_t>(input_.zones.size());
}

} // namespace cornelswitch::bench
