#include "daemon/agent_task.h"

#include "config/configuration_reader.h"
#include "daemon/metrics_documents.h"

#include <utility>

namespace cornelswitch {

namespace {

constexpr duration list_interval = std::chrono::seconds{1};
// The platform's instance list may lose entries, so the instance is published periodically.
constexpr duration publish_interval = std::chrono::seconds{1};
constexpr duration plan_interval = std::chrono::milliseconds{500};
constexpr duration control_timeout = std::chrono::milliseconds{500};
constexpr duration state_copy_timeout = std::chrono::seconds{2};
constexpr duration append_timeout = std::chrono::seconds{10};
// Time for the release messages to reach the peers before the process exits.
constexpr duration handover_wait = std::chrono::milliseconds{300};
constexpr std::string_view state_copy_path = "/state-copy";

auto is_other_instance(const instance_info& it, const cell_member& self) -> bool
{
    return it.id != self.instance;
}

} // namespace

agent_task::agent_task(event_loop& loop, agent_options options, agent_dependencies dependencies)
    : loop_{loop}, options_{std::move(options)},
      dependencies_{std::move(dependencies)}, self_{options_.self.id, options_.self.boot},
      started_{loop.now()}, network_{loop, self_, dependencies_.diagnostics},
      log_{loop,
           dependencies_.log,
           self_,
           dependencies_.diagnostics,
           {[this](log_stream stream) {
                stream == log_stream::config ? on_config_changed() : on_ownership_changed();
            },
            [this](time_point read_sent) { on_log_caught_up(read_sent); },
            [this] { request_state_copies(); }}},
      planner_{loop,
               self_.instance,
               log_,
               network_,
               dependencies_.diagnostics,
               {[this](cell_id id, const release_request& it) { release_locally(id, it); },
                [this](cell_id id) { return active_membership(id); }}},
      api_{make_sources()}, config_{std::make_shared<configuration>()},
      ownership_{std::make_shared<ownership_state>()}, view_{std::make_shared<routing_view>()},
      timers_{loop}
{
}

agent_task::~agent_task() = default;

auto agent_task::start() -> result<void>
{
    auto control = network_.open(
        options_.control, [this](const control_message& it) { return on_control_message(it); });
    if (control.has_error()) {
        return control.error();
    }
    control_address_ = control.value();
    if (options_.self.control.port == 0) {
        options_.self.control = control_address_;
    }
    http_server_options operations;
    operations.address = options_.operations;
    BOOST_OUTCOME_TRY(opened,
                      http_server::open(loop_, operations, [this](auto it) { api_.serve(*it); }));
    operations_ = std::move(opened);
    log_.start();
    republish_self();
    poll_instances();
    tick();
    return success();
}

auto agent_task::tick() -> void
{
    auto now = loop_.now();
    for_each_cell([now](cell_agent& it) { it.tick(now); });
    // A released slot has no owner until it is assigned, so a change of the ownership state is
    // planned for immediately. Planning at the interval alone makes planned moves take up to one
    // interval longer, for example up to 250 ms longer at an interval of 250 ms.
    if (now >= next_plan_ || ownership_changed_) {
        ownership_changed_ = false;
        plan();
    }
    refresh_moved_slots();
    if (view_changed_) {
        publish_view();
    }
    timers_.schedule(cell_tick_interval, [this] { tick(); });
}

auto agent_task::poll_instances() -> void
{
    dependencies_.instances.list([this](result<std::vector<instance_info>> listed) {
        if (listed.has_value()) {
            on_instances(listed.value());
        }
        timers_.schedule(list_interval, [this] { poll_instances(); });
    });
}

auto agent_task::on_instances(const std::vector<instance_info>& listed) -> void
{
    // Instances that are no longer listed are kept, because the list may lose entries temporarily.
    for (const auto& it : listed) {
        auto& known = instances_[it.id];
        if (known == it) {
            continue;
        }
        known = it;
        network_.set_address(it.id, it.control);
        view_changed_ = true;
    }
    listed_ = listed;
}

auto agent_task::publish_self() -> void
{
    dependencies_.instances.publish(options_.self, [this](const result<void>& done) {
        if (done.has_error()) {
            dependencies_.diagnostics.log(log_level::warning, "instance-publish", done.error().peer,
                                          done.error().message);
        }
    });
}

auto agent_task::republish_self() -> void
{
    publish_self();
    timers_.schedule(publish_interval, [this] { republish_self(); });
}

auto agent_task::on_config_changed() -> void
{
    const auto& state = log_.follower().config();
    if (state.version() == version_) {
        return;
    }
    auto read =
        read_configuration(state.text(), "version " + std::to_string(state.version().value()));
    if (read.has_error()) {
        // The command line tool validates before it publishes, but another writer may not.
        dependencies_.diagnostics.log(log_level::error, "config-apply", "", to_text(read.error()));
        return;
    }
    version_ = state.version();
    config_ = std::make_shared<configuration>(std::move(read.value()));
    dependencies_.diagnostics.log(log_level::info, "config-apply", "",
                                  "version " + std::to_string(version_.value()) + " applied");
    auto now = loop_.now();
    for_each_cell([&](cell_agent& it) { it.configuration_changed(config_, now); });
    view_changed_ = true;
}

auto agent_task::on_ownership_changed() -> void
{
    ownership_ = std::make_shared<ownership_state>(log_.follower().ownership());
    update_cells();
    auto now = loop_.now();
    for_each_cell([&](cell_agent& it) { it.ownership_changed(ownership_, now); });
    ownership_changed_ = true;
    view_changed_ = true;
}

auto agent_task::on_log_caught_up(time_point read_sent) -> void
{
    auto now = loop_.now();
    for_each_cell([&](cell_agent& it) { it.on_log_read(read_sent, now); });
}

auto agent_task::update_cells() -> void
{
    for (const auto& [id, it] : ownership_->cells()) {
        bool is_member =
            it.current.contains(self_.instance) || it.previous.contains(self_.instance);
        if (!is_member || cells_.contains(id)) {
            continue;
        }
        auto agent = std::make_unique<cell_agent>(self_, started_, safety_rules{}, id);
        agent->configuration_changed(config_, loop_.now());
        cells_[id] = {std::move(agent), {}};
        dependencies_.diagnostics.log(log_level::info, "cell-join", "",
                                      "joined cell " + std::to_string(id.value()));
    }
}

auto agent_task::release_locally(cell_id id, const release_request& request) -> void
{
    auto it = cells_.find(id);
    if (it != cells_.end()) {
        it->second.agent->receive(self_, request, loop_.now());
        run(id);
    }
}

auto agent_task::active_membership(cell_id id) const -> std::uint64_t
{
    auto it = cells_.find(id);
    return it == cells_.end() ? 0 : it->second.agent->status(loop_.now()).active_epoch;
}

auto agent_task::on_control_message(const control_message& message) -> result<std::string>
{
    if (message.path == active_membership_path) {
        return std::to_string(active_membership(message.cell));
    }
    if (message.path == moved_slots_path) {
        return on_moved_slots(message);
    }
    if (message.path != state_copy_path) {
        return on_cell_message(message);
    }
    auto copy = log_.follower().copy_state();
    if (!copy) {
        return error{error_code::unavailable, "state-copy", "",
                     "this instance has no ownership state yet"};
    }
    return std::move(*copy);
}

auto agent_task::on_cell_message(const control_message& message) -> result<std::string>
{
    auto it = cells_.find(message.cell);
    if (it == cells_.end()) {
        return error{error_code::unavailable, "cell-message", message.sender.instance.value(),
                     "this instance is not a member of the cell"};
    }
    auto decoded = decode_cell_message(message.body);
    if (decoded.has_error()) {
        return decoded.error();
    }
    auto answer = it->second.agent->receive(message.sender, decoded.value(), loop_.now());
    run(message.cell);
    return answer ? encode_cell_message(*answer) : std::string{};
}

auto agent_task::on_moved_slots(const control_message& message) -> result<std::string>
{
    BOOST_OUTCOME_TRY(decoded, decode_cell_message(message.body));
    const auto* copy = std::get_if<register_copy>(&decoded);
    if (copy == nullptr) {
        return error{error_code::invalid_message, "moved-slots", message.sender.instance.value(),
                     "unexpected kind of message"};
    }
    if (moved_.set_announced(message.cell, copy->entries)) {
        view_changed_ = true;
    }
    return std::string{};
}

auto agent_task::refresh_moved_slots() -> void
{
    auto now = loop_.now();
    for (const auto& [id, it] : cells_) {
        if (moved_.set_own(id, it.agent->unrecorded_transfers(), now)) {
            view_changed_ = true;
        }
    }
    for (auto id : moved_.take_due_announcements(now)) {
        announce_moved_slots(id);
    }
}

auto agent_task::announce_moved_slots(cell_id id) -> void
{
    auto entries = moved_.own(id);
    register_copy copy;
    copy.entries = entries;
    auto body = encode_cell_message(copy);
    for (const auto& [peer, it] : instances_) {
        if (!is_other_instance(it, self_) || !moved_.is_unconfirmed(id, peer)) {
            continue;
        }
        auto on_answer = [this, id, entries, peer = peer](const result<control_message>& answer) {
            if (answer.has_value()) {
                moved_.confirm(id, entries, peer);
            }
        };
        network_.call(peer, id, std::string{moved_slots_path}, body, control_timeout, on_answer);
    }
}

auto agent_task::request_state_copies() -> void
{
    for (const auto& [id, it] : instances_) {
        if (!is_other_instance(it, self_)) {
            continue;
        }
        network_.call(id, cell_id{}, std::string{state_copy_path}, {}, state_copy_timeout,
                      [this](result<control_message> answer) {
                          if (answer.has_value()) {
                              log_.on_state_copy(answer.value().body);
                          }
                      });
    }
}

template<typename function>
auto agent_task::for_each_cell(function visit) -> void
{
    for (auto& [id, it] : cells_) {
        visit(*it.agent);
        run(id);
    }
}

auto agent_task::run(cell_id id) -> void
{
    for (const auto& action : cells_.at(id).agent->take_actions()) {
        std::visit([&](const auto& it) { run(id, it); }, action);
    }
}

auto agent_task::run(cell_id id, const send_to_peer& action) -> void
{
    auto on_answer = [this, id](result<control_message> answer) {
        if (answer.has_error() || answer.value().body.empty()) {
            return;
        }
        auto decoded = decode_cell_message(answer.value().body);
        if (decoded.has_error()) {
            dependencies_.diagnostics.log(log_level::warning, "cell-answer",
                                          answer.value().sender.instance.value(),
                                          decoded.error().message);
            return;
        }
        cells_.at(id).agent->receive(answer.value().sender, decoded.value(), loop_.now());
        run(id);
    };
    network_.call(action.peer, id, std::string{control_path(action.message)},
                  encode_cell_message(action.message), control_timeout, on_answer);
}

auto agent_task::run(cell_id, const dispatcher_message& action) -> void
{
    dependencies_.dispatcher(action);
}

auto agent_task::run(cell_id id, const append_record& action) -> void
{
    auto on_settled = [this, id, ticket = action.ticket](const append_settled&) {
        cells_.at(id).agent->append_finished(ticket, loop_.now());
        run(id);
    };
    if (log_.submit(action.body, append_timeout, on_settled).has_error()) {
        // The cell's agent appends the record again later, because it does not find it in the log.
        timers_.schedule(append_timeout / 10, [this, id, ticket = action.ticket] {
            cells_.at(id).agent->append_finished(ticket, loop_.now());
        });
    }
}

auto agent_task::run(cell_id id, const dispatcher_hints& action) -> void
{
    cells_.at(id).dispatchers = action.dispatchers;
    view_changed_ = true;
}

auto agent_task::plan() -> void
{
    next_plan_ = loop_.now() + plan_interval;
    bool may_plan = phase_ == phase::running && log_.reachable() && log_.follower().ready();
    if (may_plan && version_ != config_version{}) {
        planner_.plan({*config_, version_, listed_, *ownership_});
    }
}

auto agent_task::publish_view() -> void
{
    view_changed_ = false;
    std::map<server_id, instance_id> dispatchers;
    for (const auto& [id, it] : cells_) {
        dispatchers.insert(it.dispatchers.begin(), it.dispatchers.end());
    }
    view_ = build_view({*config_, version_, *ownership_, instances_, dispatchers, moved_.all(),
                        log_.follower().ready()});
    dependencies_.dispatcher(view_changed{view_});
    for (const auto& it : dependencies_.entries) {
        it(view_changed{view_});
    }
}

auto agent_task::make_sources() -> operator_sources
{
    return {[this] { return make_status(); },
            [this](const service_id& service, const std::string& key) {
                return build_owner(*view_, service, key);
            },
            [this](std::string_view tenant, std::string_view priority) {
                return make_histograms(merged_metrics(), tenant, priority);
            },
            [this] { return merged_metrics().to_text(); }};
}

auto agent_task::update_metrics(std::size_t source, std::shared_ptr<const request_metrics> snapshot)
    -> void
{
    metrics_[source] = std::move(snapshot);
}

auto agent_task::merged_metrics() const -> request_metrics
{
    request_metrics out;
    for (const auto& [source, it] : metrics_) {
        out.merge(*it);
    }
    return out;
}

auto agent_task::make_status() const -> status_document
{
    auto cells = cell_reports();
    auto out = build_status({options_.self, state_text(), started_, loop_.now(), version_, *config_,
                             *view_, instances_, cells, loads_, log_.reachable(),
                             log_.last_answer(), log_.follower().ready()});
    out.requests = make_counts(merged_metrics());
    return out;
}

auto agent_task::cell_reports() const -> std::vector<cell_report>
{
    std::vector<cell_report> out;
    for (const auto& [id, it] : cells_) {
        const auto* state = ownership_->find_cell(id);
        auto membership = state == nullptr ? cell_membership{} : state->current;
        out.push_back({id, membership, it.agent->status(loop_.now())});
    }
    return out;
}

auto agent_task::state_text() const -> std::string_view
{
    if (phase_ != phase::running) {
        return "draining";
    }
    if (!log_.follower().ready()) {
        return "starting";
    }
    return accepts_work(options_.self, *config_) ? "serving" : "out";
}

auto agent_task::handle(agent_message message) -> void
{
    auto now = loop_.now();
    if (std::holds_alternative<task_drained>(message)) {
        on_task_drained();
        return;
    }
    if (const auto* report = std::get_if<server_load_report>(&message)) {
        loads_[report->server] = *report;
        return;
    }
    for_each_cell([&](cell_agent& agent) {
        std::visit(
            [&](const auto& it) {
                if constexpr (requires { agent.handle(it, now); }) {
                    agent.handle(it, now);
                }
            },
            message);
    });
}

auto agent_task::shut_down() -> void
{
    if (phase_ != phase::running) {
        return;
    }
    dependencies_.diagnostics.log(log_level::info, "shutdown", "", "graceful shutdown started");
    phase_ = phase::draining_entries;
    draining_entries_ = dependencies_.entries.size();
    options_.self.state = instance_state::leaving;
    publish_self();
    auto now = loop_.now();
    for_each_cell([now](cell_agent& it) { it.begin_shutdown(now); });
    for (const auto& it : dependencies_.entries) {
        it(entry_shutdown{});
    }
    timers_.schedule(options_.shutdown_timeout, [this] { begin_handover(); });
}

auto agent_task::on_task_drained() -> void
{
    if (phase_ == phase::draining_entries && --draining_entries_ == 0) {
        phase_ = phase::draining_dispatcher;
        dependencies_.dispatcher(drain_all{});
    } else if (phase_ == phase::draining_dispatcher) {
        begin_handover();
    }
}

auto agent_task::begin_handover() -> void
{
    if (phase_ == phase::handing_over) {
        return;
    }
    phase_ = phase::handing_over;
    auto now = loop_.now();
    for_each_cell([now](cell_agent& it) { it.release_all(now); });
    timers_.schedule(handover_wait, [this] {
        dependencies_.diagnostics.log(log_level::info, "shutdown", "",
                                      "graceful shutdown complete");
        dependencies_.on_finished();
    });
}

} // namespace cornelswitch
