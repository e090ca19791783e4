#include "gateway/gateway.h"

#include "platform/discovery_codec.h"
#include "platform/store_names.h"

#include <algorithm>
#include <cstdlib>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Topic and group by which coordinators are chosen, and keys of the instances' own records.
constexpr std::string_view duty_topic = "cornelswitch-duties";
constexpr std::string_view duty_group = "cornelswitch-coordinators";
constexpr std::string_view instance_prefix = "instance/";
constexpr std::string_view service_prefix = "service/";

/// Heartbeats of servers come many times a second, so they are read in batches. A server that
/// leaves must get no request two seconds later, which leaves three of these intervals.
constexpr duration server_pace = milliseconds{600};
/// The store holds the read until a record comes. The wait is short, because a held read shows a
/// silent connection only by its end, and a configuration must be in force within two seconds.
constexpr duration operator_wait = milliseconds{1200};
constexpr duration operator_answer_timeout = milliseconds{700};
/// Without news from a coordinator for so long, an instance reads itself. The reads of a
/// coordinator start every 0.6 s (servers) or end after 1.2 s (operators, own records).
constexpr duration server_patience = milliseconds{900};
constexpr duration operator_patience = milliseconds{1450};
constexpr duration own_patience = milliseconds{2500};
constexpr duration own_wait = seconds{15};
/// A doubted coordinator makes an instance read the records at most this often.
constexpr duration refresh_interval = milliseconds{900};
constexpr duration own_pace = milliseconds{900};
/// A coordinator needs proof of its role within `unconfirmed_moves`.
constexpr duration coordinator_wait = milliseconds{1000};
constexpr duration coordinator_pace = milliseconds{200};
/// A lost coordinator is replaced before its key leases lapse: time to live, one interval, and one
/// renewal interval stay below the lease.
constexpr duration membership_ttl = milliseconds{2000};
constexpr duration join_interval = milliseconds{800};
/// Machines with less than this share of the largest processor become coordinators only when a
/// service has had none for `vacancy_time`: a coordinator handles the admissions of all instances.
constexpr double eligible_share = 0.75;
constexpr duration vacancy_time = seconds{4};
constexpr duration announce_time = milliseconds{700};
/// A coordinator that reached too few of the others stays out of the group for this long.
constexpr duration resign_time = seconds{6};
constexpr duration active_tick = milliseconds{25};
constexpr duration idle_tick = milliseconds{100};
constexpr duration slow_tick_interval = milliseconds{250};
/// Without a read of the servers' heartbeats for so long, the servers are asked themselves. Two
/// missed reads are no sign of an outage yet.
constexpr duration blind_after = milliseconds{2000};
/// A server that turned cold must not get a second's worth of full load.
constexpr duration health_interval = milliseconds{500};
constexpr duration health_timeout = milliseconds{400};
/// The load balancer needs two failed checks, a second apart, to take an instance out.
constexpr duration drain_before_close = milliseconds{2600};
/// Time before SIGKILL that is left for the last bytes.
constexpr duration kill_margin = milliseconds{400};

auto store_options() -> unary_client::options
{
    unary_client::options out;
    out.connect_timeout = milliseconds{800};
    out.stream = {milliseconds{1000}, seconds{1}};
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
      ownership_{loop, store_, log, std::string{own_topic_name()}}, pool_{loop, {}},
      services_{loop_,
                pool_,
                directory_,
                *this,
                log_,
                metrics_,
                [this] { return configuration_; },
                [this](const gateway_route& route) { return choose_target(route); }},
      context_{loop_,
               loop_.time(),
               log_,
               metrics_,
               settings_,
               directory_,
               ownership_,
               random_,
               boot_,
               [this](admission_source source, const peer_message& message) {
                   auto it = peers_.find(source);
                   if (it != peers_.end()) {
                       it->second->link->send(message);
                   }
               },
               [this] {
                   auto now = loop_.now();
                   if (own_topic_ && now >= next_refresh_) {
                       next_refresh_ = now + refresh_interval;
                       own_topic_->hurry();
                   }
               },
               [this] { apply_role(); },
               [this](const topic_news& news) { on_news(news); },
               [this] { return instances(); },
               [this] {
                   std::set<instance_id> nodes{settings_.node};
                   for (const auto& [source, it] : peers_) {
                       nodes.insert(it->node);
                   }
                   return static_cast<std::uint32_t>(nodes.size());
               }}
{
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
    make_topics();
    started_at_ = loop_.now();
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
    BOOST_OUTCOME_TRY(peers, listener::open(loop_, settings_.peers,
                                            [this](auto* socket) { accept_peer(socket); }));
    peer_listener_ = std::move(peers);
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
    return configuration_ != nullptr && server_topic_->is_loaded() && !is_shutting_down_;
}

auto gateway::make_topics() -> void
{
    store_topic::hooks for_operator;
    for_operator.on_read = [this](const auto& changes, time_point) {
        on_operator_records(changes);
    };
    for_operator.on_news = [this](const auto& changes, log_offset from, log_offset end) {
        share_news(shared_topic::operators, changes, from, end);
    };
    operator_topic_ = std::make_unique<store_topic>(
        loop_, store_, log_,
        topic_options{std::string{operator_topic_name()}, operator_wait, milliseconds{100},
                      operator_answer_timeout},
        std::move(for_operator));
    store_topic::hooks for_servers;
    for_servers.on_read = [this](const auto& changes, time_point) { on_server_records(changes); };
    for_servers.on_availability = [this](bool is_available) {
        directory_.set_store_available(is_available, loop_.now());
    };
    for_servers.on_news = [this](const auto& changes, log_offset from, log_offset end) {
        share_news(shared_topic::servers, changes, from, end);
    };
    server_topic_ = std::make_unique<store_topic>(
        loop_, store_, log_,
        topic_options{std::string{server_topic_name()}, duration::zero(), server_pace},
        std::move(for_servers));
    store_topic::hooks for_own;
    for_own.on_read = [this](const auto& changes, time_point proof) {
        on_own_records(changes, proof);
    };
    for_own.on_news = [this](const auto& changes, log_offset from, log_offset end) {
        share_news(shared_topic::own, changes, from, end);
    };
    own_topic_ = std::make_unique<store_topic>(
        loop_, store_, log_, topic_options{std::string{own_topic_name()}, own_wait, own_pace},
        std::move(for_own));
    ownership_.attach(*own_topic_);
    operator_topic_->start();
    server_topic_->start();
    own_topic_->start();
}

auto gateway::on_operator_records(const std::vector<store_topic::change>& changes) -> void
{
    bool is_evacuation_changed = false;
    for (const auto& it : changes) {
        if (is_configuration_key(it.key) && !it.value.empty()) {
            apply_configuration(it.value);
        } else if (evacuated_zone(it.key)) {
            is_evacuation_changed = true;
        }
    }
    if (!is_evacuation_changed) {
        return;
    }
    std::set<zone_id> zones;
    for (const auto& [key, value] : operator_topic_->records()) {
        if (auto zone = evacuated_zone(key)) {
            zones.insert(*zone);
        }
    }
    directory_.set_evacuated(std::move(zones), loop_.now());
    update_servers(loop_.now());
}

auto gateway::apply_configuration(const std::string& value) -> void
{
    auto decoded = decode_configuration(value);
    if (decoded.has_error()) {
        log_.line("configuration-malformed").text("cause", decoded.error().message);
        metrics_.count("configurations_malformed_total");
        return;
    }
    auto& next = decoded.value();
    if (configuration_ && next.version <= configuration_->content.version) {
        return;
    }
    log_.line("configuration")
        .number("version", static_cast<std::int64_t>(next.version))
        .number("earlier",
                configuration_ ? static_cast<std::int64_t>(configuration_->content.version) : 0)
        .number("routes", static_cast<std::int64_t>(next.routes.size()))
        .number("services", static_cast<std::int64_t>(next.services.size()));
    auto active = std::make_shared<active_configuration>();
    active->routes = route_table{next.routes};
    active->content = std::move(next);
    configuration_ = active;
    splits_.clear();
    for (const auto& [name, service] : active->content.services) {
        auto& it = runtimes_[name];
        if (it) {
            it->configure(service);
            continue;
        }
        it = std::make_unique<service_runtime>(context_, service);
        auto record = own_topic_->records().find(it->key());
        if (record != own_topic_->records().end()) {
            auto decoded_record = decode_ownership_record(record->second);
            if (decoded_record.has_value()) {
                it->on_record(decoded_record.value(), own_topic_->last_read());
            }
        }
    }
    apply_duties();
    update_servers(loop_.now());
}

auto gateway::on_server_records(const std::vector<store_topic::change>& changes) -> void
{
    auto now = loop_.now();
    for (const auto& it : changes) {
        directory_.apply(it.key, it.value, now);
    }
    if (directory_.revision() != seen_directory_revision_) {
        update_servers(now);
    }
}

auto gateway::update_servers(time_point now) -> void
{
    seen_directory_revision_ = directory_.revision();
    for (auto& [name, it] : runtimes_) {
        it->update_servers(now);
    }
}

auto gateway::on_own_records(const std::vector<store_topic::change>& changes, time_point proof)
    -> void
{
    for (const auto& it : changes) {
        if (!it.key.starts_with(service_prefix)) {
            continue;
        }
        auto name = service_id{it.key.substr(service_prefix.size())};
        auto* service = runtime(name);
        auto record = decode_ownership_record(it.value);
        if (record.has_error()) {
            log_.line("ownership-malformed")
                .text("key", it.key)
                .text("cause", record.error().message);
            continue;
        }
        if (service != nullptr) {
            service->on_record(record.value(), proof);
        }
    }
    for (auto& [name, it] : runtimes_) {
        it->on_proof(proof);
    }
    ownership_.on_read();
    if (!is_announced_ && !is_shutting_down_) {
        announce();
    }
}

auto gateway::apply_role() -> void
{
    bool is_coordinator =
        std::ranges::any_of(runtimes_, [](const auto& it) { return it.second->is_coordinator(); });
    if (is_coordinator == is_coordinator_) {
        return;
    }
    is_coordinator_ = is_coordinator;
    own_topic_->set_wait(is_coordinator ? coordinator_wait : own_wait);
    own_topic_->set_pace(is_coordinator ? coordinator_pace : own_pace);
    if (is_coordinator) {
        // The read in progress may be held for long; the role needs proof sooner.
        own_topic_->hurry();
    }
}

auto gateway::share_news(shared_topic topic, const std::vector<store_topic::change>& changes,
                         log_offset from, log_offset end) -> void
{
    // One coordinator reads for all, or each topic would arrive several times.
    if (runtimes_.empty() || !runtimes_.begin()->second->is_coordinator() || peers_.empty()) {
        shared_entries_.clear();
        return;
    }
    topic_news news{topic, from, end, duration::zero(), {}};
    for (const auto& it : changes) {
        if (topic == shared_topic::servers) {
            auto& last = shared_entries_[it.key];
            // Most heartbeats change nothing but their number.
            if (!it.value.empty() && is_same_but_sequence(last, it.value)) {
                continue;
            }
            last = it.value;
        }
        news.records.emplace_back(it.key, it.value);
    }
    auto read_at = topic == shared_topic::servers     ? server_topic_->read_started()
                   : topic == shared_topic::operators ? operator_topic_->read_started()
                                                      : own_topic_->read_started();
    news.age = loop_.now() - read_at;
    for (auto& [source, it] : peers_) {
        if (!it->node.value().empty()) {
            it->link->send(news);
        }
    }
}

auto gateway::on_news(const topic_news& news) -> void
{
    switch (news.topic) {
    case shared_topic::servers:
        server_topic_->accept(news.from, news.end, news.records, news.age, server_patience);
        return;
    case shared_topic::operators:
        operator_topic_->accept(news.from, news.end, news.records, news.age, operator_patience);
        return;
    case shared_topic::own:
        // A coordinator needs proof of its role from the store itself.
        if (!is_coordinator_) {
            own_topic_->accept(news.from, news.end, news.records, news.age, own_patience);
        }
        return;
    }
}

auto gateway::announce() -> void
{
    is_announced_ = true;
    auto key = std::string{instance_prefix} + settings_.node.value();
    auto value = std::to_string(settings_.cpu_share);
    auto known = own_topic_->records().find(key);
    if (known != own_topic_->records().end() && known->second == value) {
        return;
    }
    // Each instance has a key of its own, so the append needs no condition.
    store_.call(store_codec::append_request(own_topic_name(), std::nullopt, key, value),
                milliseconds{1000}, [this, alive = alive_](const result<http_response>& answer) {
                    if (*alive && (answer.has_error() || answer.value().head.status != 200)) {
                        // Repeated after the next read, which shows whether it took effect.
                        is_announced_ = false;
                    }
                });
}

auto gateway::instances() const -> std::uint32_t
{
    std::uint32_t out = 0;
    if (own_topic_) {
        for (const auto& [key, value] : own_topic_->records()) {
            out += key.starts_with(instance_prefix) ? 1 : 0;
        }
    }
    return std::max(1U, out);
}

auto gateway::runtime(const service_id& service) -> service_runtime*
{
    auto it = runtimes_.find(service);
    return it == runtimes_.end() ? nullptr : it->second.get();
}

auto gateway::is_eligible(time_point now) -> bool
{
    // The others need a moment to say how large they are.
    bool is_first_start = instances() <= 1;
    if (!own_topic_->is_loaded() || (is_first_start && now < started_at_ + announce_time)) {
        return false;
    }
    double largest = settings_.cpu_share;
    for (const auto& [key, value] : own_topic_->records()) {
        if (key.starts_with(instance_prefix)) {
            largest = std::max(largest, std::strtod(value.c_str(), nullptr));
        }
    }
    if (settings_.cpu_share >= eligible_share * largest) {
        return true;
    }
    // The large machines may all be gone.
    bool has_all =
        std::ranges::all_of(runtimes_, [](const auto& it) { return it.second->has_coordinator(); });
    if (has_all || vacant_since_ == time_point{}) {
        vacant_since_ = has_all ? time_point{} : now;
    }
    return vacant_since_ != time_point{} && now >= vacant_since_ + vacancy_time;
}

auto gateway::join_group() -> void
{
    auto now = loop_.now();
    if (is_joining_ || now < next_join_ || now < no_join_before_ || is_shutting_down_) {
        return;
    }
    if (!is_eligible(now)) {
        if (!partitions_.empty()) {
            leave_group();
        }
        return;
    }
    is_joining_ = true;
    next_join_ = now + join_interval;
    auto ttl = std::max<duration>(membership_ttl, settings_.min_membership_ttl);
    auto member = settings_.node.value() + "|" + std::to_string(boot_.value());
    store_.call(store_codec::join_request(duty_group, member, duty_topic, ttl, generation_),
                milliseconds{1000}, [this, now, ttl, alive = alive_](result<http_response> answer) {
                    if (!*alive) {
                        return;
                    }
                    is_joining_ = false;
                    auto membership = answer.has_value() ? store_codec::decode_join(answer.value())
                                                         : result<group_membership>{answer.error()};
                    if (membership.has_error()) {
                        // Without an answer the duties end with the membership's time to live.
                        if (loop_.now() > membership_until_ && !partitions_.empty()) {
                            log_.line("duties-lost").text("cause", membership.error().message);
                            partitions_.clear();
                            apply_duties();
                        }
                        return;
                    }
                    membership_until_ = now + ttl;
                    generation_ = membership.value().generation;
                    std::set<std::uint32_t> next{membership.value().partitions.begin(),
                                                 membership.value().partitions.end()};
                    if (next != partitions_) {
                        partitions_ = std::move(next);
                        log_.line("duties")
                            .number("partitions", static_cast<std::int64_t>(partitions_.size()))
                            .number("generation", static_cast<std::int64_t>(generation_));
                        apply_duties();
                    }
                });
}

auto gateway::leave_group() -> void
{
    partitions_.clear();
    apply_duties();
    auto member = settings_.node.value() + "|" + std::to_string(boot_.value());
    store_.call(store_codec::leave_request(duty_group, member), milliseconds{1000},
                [this, alive = alive_](const result<http_response>& answer) {
                    if (*alive && answer.has_error()) {
                        log_.line("leave-failed").text("cause", answer.error().message);
                    }
                });
}

auto gateway::apply_duties() -> void
{
    std::uint32_t n = 0;
    for (auto& [name, it] : runtimes_) {
        it->set_duty(partitions_.contains(n % std::max(1U, settings_.store_partitions)));
        ++n;
    }
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

auto gateway::accept_peer(st_h2o_socket_t* socket) -> void
{
    auto it = std::make_shared<peer_session>();
    it->source = admission_source{++last_source_};
    stream_options options{milliseconds{800}, seconds{1}};
    it->link = std::make_unique<peer_link>(loop_, std::make_unique<tcp_stream>(socket, options));
    auto source = it->source;
    peers_.emplace(source, it);
    peer_link::handlers handlers;
    handlers.on_message = [this, source](const peer_message& message) {
        on_peer_message(source, message);
    };
    handlers.on_end = [this, source] { drop_peer(source); };
    it->link->start(std::move(handlers));
}

auto gateway::drop_peer(admission_source source) -> void
{
    auto node = peers_.extract(source);
    if (node.empty()) {
        return;
    }
    log_.line("peer-lost").text("peer", node.mapped()->node.value());
    // Destroyed later: this may run inside one of its handlers.
    loop_.schedule(duration::zero(), [old = node.mapped()] {});
    for (auto& [name, it] : runtimes_) {
        it->drop_source(source);
    }
}

auto gateway::on_peer_message(admission_source source, const peer_message& message) -> void
{
    auto it = peers_.find(source);
    if (it == peers_.end()) {
        return;
    }
    if (const auto* hello = std::get_if<peer_hello>(&message)) {
        it->second->node = hello->node;
        it->second->zone = hello->zone;
        return;
    }
    if (std::holds_alternative<peer_ping>(message)) {
        it->second->link->send(peer_pong{});
        return;
    }
    auto zone = it->second->zone;
    std::visit(
        [&](const auto& content) {
            if constexpr (requires { content.service; }) {
                if (auto* service = runtime(content.service)) {
                    service->on_peer_message(source, zone, message);
                } else if constexpr (std::is_same_v<std::decay_t<decltype(content)>,
                                                    admission_query>) {
                    it->second->link->send(not_coordinator{content.service});
                }
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

auto gateway::tick() -> void
{
    auto now = loop_.now();
    for (auto& [name, it] : runtimes_) {
        it->tick(now);
    }
    join_group();
    if (now >= next_slow_tick_) {
        next_slow_tick_ = now + slow_tick_interval;
        slow_tick(now);
    }
    bool is_active =
        std::ranges::any_of(runtimes_, [](const auto& it) { return it.second->is_active(); });
    tick_timer_ = loop_.schedule(is_active ? active_tick : idle_tick, [this] { tick(); });
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
    if (auto n = instances(); n != seen_instances_ && configuration_) {
        seen_instances_ = n;
        for (auto& [name, it] : runtimes_) {
            it->configure(configuration_->content.services.at(name));
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

auto gateway::health_client(const server_id& server) -> unary_client*
{
    const auto* known = directory_.find(server);
    if (known == nullptr) {
        return nullptr;
    }
    auto& it = health_clients_[server];
    if (!it || it->server() != known->entry.address) {
        unary_client::options options;
        options.connect_timeout = health_timeout;
        it = std::make_unique<unary_client>(loop_, known->entry.address, options);
    }
    return it.get();
}

auto gateway::check_health(time_point now) -> void
{
    if (server_topic_->last_read() + blind_after > now || !server_topic_->is_loaded()) {
        health_clients_.clear();
        return;
    }
    if (now < next_health_check_) {
        return;
    }
    next_health_check_ = now + health_interval;
    for (auto& [name, it] : runtimes_) {
        for (const auto& server : it->recently_used(now)) {
            auto* client = it->health_path().empty() ? nullptr : health_client(server);
            if (client == nullptr) {
                continue;
            }
            http_request request;
            request.path = it->health_path();
            client->call(std::move(request), health_timeout,
                         [this, server](const result<http_response>& answer) {
                             auto cold = answer.has_value()
                                             ? decode_cold_time(answer.value().head.headers)
                                             : std::nullopt;
                             if (cold) {
                                 directory_.set_cold(server, *cold, loop_.now());
                                 update_servers(loop_.now());
                             }
                         });
        }
    }
    metrics_.count("health_checks_total");
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
    if (now < shutdown_started_ + drain_before_close) {
        return;
    }
    caller_listener_.reset();
    auto callers = callers_;
    for (auto& [raw, it] : callers) {
        it->shut_down(true);
    }
    bool is_late = now >= shutdown_started_ + settings_.shutdown_grace - kill_margin;
    if (is_idle() || is_late) {
        log_.line("stopped").number("unfinished", is_idle() ? 0 : 1);
        is_finished_ = true;
    }
}

} // namespace cornelswitch
