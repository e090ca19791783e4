#include "bench/policy_bench/simulation.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch::bench {

using namespace std::chrono_literals;

namespace {

// Between a dispatcher and its server, one way.
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

simulation::simulation(const deployment& input, const variant& policy, simulation_options options)
    : input_{input}, policy_{policy}, options_{std::move(options)}, random_{options_.seed},
      keys_{options_.keys, options_.zipf_exponent, options_.seed},
      table_{input.services.front().config, keys_}
{
    instance_accepts_.assign(input_.instances, true);
    last_send_.assign(input_.instances, events_.now());
    make_entries(policy);
    make_servers();
    publish();
    for (std::uint32_t n = 0; n < input_.services.size(); ++n) {
        const auto& names = options_.services;
        const auto& name = input_.services[n].config.name.value();
        if (names.empty() || std::find(names.begin(), names.end(), name) != names.end()) {
            schedule_arrival(n);
        }
    }
    events_.after(grant_interval, [this] { renew_grants(); });
    events_.after(server_scheduler::report_interval, [this] { ask_for_reports(); });
    if (options_.planner) {
        events_.after(plan_interval, [this] { plan(); });
    }
}

auto simulation::finish() -> void
{
    arriving_ = false;
    run_for(options_.deadline + 1s);
}

auto simulation::server(std::uint32_t service, std::uint32_t index) -> fake_server&
{
    return *servers_[box_of(service, index)].fake;
}

auto simulation::figures(std::uint32_t service, std::uint32_t index) const -> const server_figures&
{
    return servers_[box_of(service, index)].figures;
}

auto simulation::limit(std::uint32_t service, std::uint32_t index) const -> std::uint32_t
{
    return servers_[box_of(service, index)].schedulers.front()->scheduler->limit();
}

auto simulation::counters() const -> entry_router::counters
{
    entry_router::counters out;
    for (const auto& it : entries_) {
        const auto& one = it.router->statistics();
        out.requests += one.requests;
        out.retries += one.retries;
        out.hedges += one.hedges;
        out.redirects += one.redirects;
        out.held += one.held;
    }
    return out;
}

auto simulation::make_entries(const variant& policy) -> void
{
    for (std::uint32_t n = 0; n < input_.instances; ++n) {
        entry_state it;
        it.zone = n % static_cast<std::uint32_t>(input_.zones.size());
        router_options options;
        options.self = instance_id{"i" + std::to_string(n)};
        options.zone = input_.zones[it.zone];
        options.seed = options_.seed * 1000 + n;
        if (policy.make_choice) {
            options.choose_server = policy.make_choice();
        }
        it.router = std::make_unique<entry_router>(std::move(options));
        entries_.push_back(std::move(it));
    }
}

auto simulation::make_servers() -> void
{
    for (std::uint32_t service = 0; service < input_.services.size(); ++service) {
        const auto& of = input_.services[service];
        first_server_.push_back(servers_.size());
        for (std::uint32_t n = 0; n < of.config.servers.size(); ++n) {
            simulated_server box;
            box.service = service;
            box.index = n;
            auto zones = static_cast<std::uint32_t>(input_.zones.size());
            box.dispatcher = n % zones;
            // Spread over the instances of the server's zone.
            while (box.dispatcher + zones < input_.instances && (n / zones + service) % 2 == 1) {
                box.dispatcher += zones;
                break;
            }
            auto seed = options_.seed * 100'000 + servers_.size();
            box.fake = std::make_unique<fake_server>(
                events_, of.config.servers[n].concurrency, of.service_time, seed,
                [this](std::uint64_t attempt, bool ok) { ended_at_server(attempt, ok); });
            box.fake->set_restart_handler([this, server = servers_.size()] {
                events_.after(server_delay, [this, server] {
                    for (const auto& it : servers_[server].schedulers) {
                        it->scheduler->on_restart_suspected();
                    }
                });
            });
            auto schedulers = policy_.independent ? input_.instances : 1;
            for (std::uint32_t k = 0; k < schedulers; ++k) {
                box.schedulers.push_back(make_scheduler(box));
            }
            servers_.push_back(std::move(box));
        }
    }
}

auto simulation::make_scheduler(const simulated_server& box) -> scheduler_ptr
{
    const auto& config = input_.services[box.service].config.servers[box.index];
    limit_hook hook;
    if (policy_.independent) {
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
    out->out = out_;
    for (std::uint32_t n = 0; n < input_.services.size(); ++n) {
        auto view = std::make_shared<service_view>();
        view->config = input_.services[n].config;
        view->policy = input_.policy;
        view->policy.default_deadline = options_.deadline;
        if (view->config.keyed) {
            table_.fill(*view);
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

auto simulation::publish() -> void
{
    auto view = make_view();
    for (std::uint32_t entry = 0; entry < entries_.size(); ++entry) {
        if (!entries_[entry].alive) {
            continue;
        }
        for (const auto& it : entries_[entry].router->set_view(view, events_.now())) {
            decided(entry, it.id.value(), it.decision);
        }
        arm_entry(entry);
    }
}

auto simulation::schedule_arrival(std::uint32_t service) -> void
{
    auto rate = input_.services[service].capacity() * options_.load;
    auto seconds = -std::log(1 - uniform_real(random_)) / rate;
    auto delay = std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
    events_.after(delay, [this, service] {
        if (arriving_) {
            arrive(service);
            schedule_arrival(service);
        }
    });
}

auto simulation::arrive(std::uint32_t service) -> void
{
    const auto& of = input_.services[service];
    auto id = records_.size();
    request_record record;
    record.service = service;
    record.entry = pick_entry();
    record.arrival = events_.now();
    record.idempotent = of.idempotent;
    auto bulk = uniform_below(random_, 100) < bulk_percent;
    record.priority = bulk ? request_class::bulk : request_class::interactive;
    record.key = keys_.draw(random_);
    records_.push_back(record);

    request_head head;
    auto path = "/" + of.config.name.value() + "/" + keys_.name(record.key);
    head.method = of.idempotent ? "GET" : "POST";
    head.path = path;
    head.tenant = draw_tenant(random_);
    head.priority = to_string(record.priority);
    auto& router = *entries_[record.entry].router;
    decided(record.entry, id, router.route(request_id{id}, head, events_.now()));
    arm_entry(record.entry);
}

auto simulation::pick_entry() -> std::uint32_t
{
    std::uint32_t out = 0;
    do {
        out = static_cast<std::uint32_t>(uniform_below(random_, entries_.size()));
    } while (!entries_[out].gets_arrivals);
    return out;
}

auto simulation::decided(std::uint32_t entry, std::size_t request, const route_decision& decision)
    -> void
{
    if (const auto* sent = std::get_if<send_attempt>(&decision)) {
        send(entry, request, *sent);
    } else if (const auto* refused = std::get_if<refusal>(&decision)) {
        auto not_run = refused->outcome == request_outcome::not_run;
        end(request, not_run ? request_end::not_run : request_end::unknown, refused->reason);
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
    it.server = box_of(records_[request].service, index);
    auto id = attempts_.size();
    attempts_.push_back(it);
    records_[request].attempts.push_back(id);
    events_.after(link(entry, it.instance), [this, id] { deliver(id); });
}

auto simulation::end(std::size_t request, request_end how, refusal_reason reason) -> void
{
    auto& record = records_[request];
    if (record.end != request_end::open) {
        return;
    }
    record.end = how;
    record.reason = reason;
    record.latency = events_.now() - record.arrival;
}

auto simulation::arm_entry(std::uint32_t entry) -> void
{
    auto& state = entries_[entry];
    auto at = state.router->next_wakeup();
    if (!at || (state.armed && *state.armed <= *at)) {
        return;
    }
    state.armed = at;
    events_.at(*at, [this, entry, when = *at] {
        auto& it = entries_[entry];
        if (!it.alive || it.armed != when) {
            return;
        }
        it.armed.reset();
        for (const auto& due : it.router->poll(events_.now())) {
            decided(entry, due.id.value(), due.decision);
        }
        arm_entry(entry);
    });
}

auto simulation::deliver(std::uint64_t attempt) -> void
{
    if (!attempts_[attempt].open) {
        return;
    }
    if (auto kind = refuse_delivery(attempt)) {
        fail(attempt, *kind,
             link(records_[attempts_[attempt].request].entry, attempts_[attempt].instance));
        return;
    }
    auto& it = attempts_[attempt];
    auto& box = servers_[it.server];
    const auto& record = records_[it.request];
    it.scheduler = box.schedulers[policy_.independent ? record.entry : 0];
    request_info info;
    info.id = request_id{attempt};
    info.tenant = entries_[record.entry].router->find(request_id{it.request})->tenant;
    info.priority = record.priority;
    info.idempotent = record.idempotent;
    info.hedge = it.hedge;
    info.deadline = record.arrival + options_.deadline;
    if (box.service == keyed_service_) {
        info.slot = slot_of(record);
        table_.count(record.key);
    }
    auto scheduler = it.scheduler;
    auto server = it.server;
    refused(server, scheduler->scheduler->submit(info, events_.now()).refusals);
    pump(server, scheduler);
}

auto simulation::refuse_delivery(std::uint64_t attempt) -> std::optional<failure_kind>
{
    const auto& it = attempts_[attempt];
    const auto& box = servers_[it.server];
    const auto& record = records_[it.request];
    if (!entries_[it.instance].alive && !policy_.independent) {
        return failure_kind::connection_refused;
    }
    if (!policy_.independent && box.dispatcher != it.instance) {
        return failure_kind::wrong_dispatcher;
    }
    if (box.lost) {
        return failure_kind::server_unavailable;
    }
    if (box.service == keyed_service_ &&
        (table_.owner_of(table_.slot_of(record.key)) != box.index ||
         table_.is_moving(record.key))) {
        return failure_kind::slot_moved;
    }
    return std::nullopt;
}

auto simulation::fail(std::uint64_t attempt, failure_kind kind, duration delay) -> void
{
    if (!attempts_[attempt].open) {
        return;
    }
    attempts_[attempt].open = false;
    attempt_failure failure;
    failure.attempt = attempts_[attempt].number;
    failure.kind = kind;
    const auto& box = servers_[attempts_[attempt].server];
    if (kind == failure_kind::wrong_dispatcher && entries_[box.dispatcher].alive) {
        failure.redirect = instance_id{"i" + std::to_string(box.dispatcher)};
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
        decided(entry, request, router.on_failure(request_id{request}, failure, events_.now()));
        arm_entry(entry);
    });
}

auto simulation::refused(std::size_t, const std::vector<refusal>& refusals) -> void
{
    for (const auto& it : refusals) {
        auto attempt = it.id.value();
        auto kind = it.outcome == request_outcome::unknown  ? failure_kind::unknown_outcome
                    : it.reason == refusal_reason::draining ? failure_kind::server_unavailable
                                                            : failure_kind::overloaded;
        const auto& record = records_[attempts_[attempt].request];
        fail(attempt, kind, link(record.entry, attempts_[attempt].instance));
    }
}

auto simulation::pump(std::size_t server, const scheduler_ptr& scheduler) -> void
{
    auto now = events_.now();
    refused(server, scheduler->scheduler->expire(now));
    while (auto request = scheduler->scheduler->take_next(now)) {
        start(server, scheduler, request->id.value());
    }
    refused(server, scheduler->scheduler->expire(now));
    arm_scheduler(server, scheduler);
}

auto simulation::arm_scheduler(std::size_t server, const scheduler_ptr& scheduler) -> void
{
    auto at = scheduler->scheduler->next_wakeup();
    if (!at || (scheduler->armed && *scheduler->armed <= *at)) {
        return;
    }
    auto when = std::max(*at, events_.now() + duration{1});
    scheduler->armed = when;
    events_.at(when, [this, server, scheduler, when] {
        if (scheduler->armed == when) {
            scheduler->armed.reset();
            pump(server, scheduler);
        }
    });
}

auto simulation::start(std::size_t server, const scheduler_ptr& scheduler, std::uint64_t attempt)
    -> void
{
    attempts_[attempt].running = true;
    last_send_[attempts_[attempt].instance] = events_.now();
    events_.after(server_delay, [this, server, scheduler, attempt] {
        auto& box = servers_[server];
        auto& it = attempts_[attempt];
        it.started = events_.now();
        auto allowed = scheduler->scheduler->limit();
        if (!box.fake->start(attempt)) {
            scheduler->scheduler->on_connection_failed(
                request_id{attempt}, send_progress::before_first_byte, events_.now());
            it.running = false;
            fail(attempt, failure_kind::server_unavailable,
                 link(records_[it.request].entry, it.instance));
            arm_scheduler(server, scheduler);
            return;
        }
        ++records_[it.request].starts;
        ++box.figures.starts;
        box.figures.over_limit += box.fake->in_progress() > allowed ? 1 : 0;
        box.figures.last_start = events_.now();
    });
}

auto simulation::ended_at_server(std::uint64_t attempt, bool success) -> void
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
            respond(attempt, state.load());
        } else {
            state.on_connection_failed(response.id, send_progress::after_first_byte, events_.now());
            fail(attempt, failure_kind::unknown_outcome,
                 link(records_[it.request].entry, it.instance));
        }
        pump(server, scheduler);
    });
}

auto simulation::respond(std::uint64_t attempt, const load_sample& load) -> void
{
    auto& it = attempts_[attempt];
    // The connection to the entry is gone when its dispatcher or the entry has stopped.
    if (!it.open || (!entries_[it.instance].alive && !policy_.independent)) {
        return;
    }
    it.open = false;
    auto request = it.request;
    auto entry = records_[request].entry;
    events_.after(link(entry, it.instance), [this, attempt, request, entry, load] {
        if (!entries_[entry].alive || records_[request].end != request_end::open) {
            return;
        }
        auto& router = *entries_[entry].router;
        auto fresh = options_.report_delay == duration{0};
        auto sample = fresh ? std::optional{load} : std::nullopt;
        auto others = router.on_response(request_id{request}, attempts_[attempt].number, sample,
                                         events_.now());
        end(request, request_end::success, {});
        for (const auto& other : others) {
            cancel(records_[request].attempts[other.attempt - 1]);
        }
        arm_entry(entry);
    });
}

auto simulation::cancel(std::uint64_t attempt) -> void
{
    if (!attempts_[attempt].open) {
        return;
    }
    attempts_[attempt].open = false;
    auto delay = link(records_[attempts_[attempt].request].entry, attempts_[attempt].instance);
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
        pump(it.server, it.scheduler);
    });
}

auto simulation::renew_grants() -> void
{
    for (std::size_t n = 0; n < servers_.size(); ++n) {
        report(n);
    }
    events_.after(grant_interval, [this] { renew_grants(); });
}

auto simulation::ask_for_reports() -> void
{
    for (std::size_t n = 0; n < servers_.size(); ++n) {
        if (servers_[n].schedulers.front()->scheduler->needs_report()) {
            report(n);
        }
    }
    events_.after(server_scheduler::report_interval, [this] { ask_for_reports(); });
}

auto simulation::report(std::size_t server) -> void
{
    auto& box = servers_[server];
    if (box.lost) {
        return;
    }
    for (const auto& it : box.schedulers) {
        it->scheduler->on_report(box.fake->boot(), box.fake->in_progress(), events_.now());
        pump(server, it);
    }
}

auto simulation::link(std::uint32_t from, std::uint32_t to) const -> duration
{
    auto same = entries_[from].zone == entries_[to].zone;
    return same ? input_.local_delay : input_.zone_delay;
}

auto simulation::box_of(std::uint32_t service, std::uint32_t index) const -> std::size_t
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
