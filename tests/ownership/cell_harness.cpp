#include "tests/ownership/cell_harness.h"

#include "core/intervals.h"
#include "tests/ownership/message_text.h"

#include <algorithm>
#include <sstream>

namespace cornelswitch::test {

namespace {

using namespace std::chrono_literals;

auto make_configuration(const harness_options& options) -> std::shared_ptr<const configuration>
{
    auto out = std::make_shared<configuration>();
    profile policy;
    policy.name = profile_id{"default"};
    policy.yield_after = options.yield_after;
    policy.max_deadline = options.longest_request;
    out->profiles.push_back(policy);
    service_config it;
    it.name = service;
    it.profile = policy.name;
    it.hash_slots = options.slots;
    for (int n = 0; n < options.cells * options.servers; ++n) {
        server_config server;
        server.id = server_id{"s" + std::to_string(n)};
        server.zone = zone_id{"z" + std::to_string(n / options.servers)};
        server.checks_grants = options.checks_grants;
        it.servers.push_back(server);
    }
    out->services.push_back(it);
    return out;
}

} // namespace

cell_harness::cell_harness(const harness_options& options)
    : options_{options}, random_{options.seed}, config_{make_configuration(options)},
      log_state_{options.log_rules}
{
    for (int cell = 0; cell < options.cells; ++cell) {
        cell_record body{cell_id{static_cast<std::uint32_t>(cell)},
                         0,
                         zone_id{"z" + std::to_string(cell)},
                         {},
                         {}};
        body.yield_after_ms = yield_ms();
        for (int n = 0; n < options.members; ++n) {
            auto name = "i" + std::to_string(cell * options.members + n);
            start_instance(name);
            body.members.push_back(instances_.at(name).member);
        }
        for (int n = 0; n < options.servers; ++n) {
            auto name = "s" + std::to_string(cell * options.servers + n);
            add_process(name);
            backends_[name].table = std::make_unique<grant_table>(boot_id{++last_boot_});
            body.servers.emplace_back(name);
        }
        append(body);
    }
    assignment_record body{{{service, options.slots}}, {}, {}, {}};
    auto servers = static_cast<std::uint32_t>(options.cells * options.servers);
    for (std::uint32_t n = 0; n < servers; ++n) {
        assignment_entry entry{service, {}, server_id{"s" + std::to_string(n)}, 0};
        for (auto slot = n; slot < options.slots; slot += servers) {
            entry.slots.insert(slot_index{slot});
        }
        body.entries.push_back(entry);
    }
    append(body);
    schedule(1ms, [this] { issue_requests(); });
}

auto cell_harness::add_process(const std::string& name) -> void
{
    auto& it = processes_[name];
    ++it.incarnation;
    it.up = true;
    it.paused_until = {};
    // Half of the drift bound in each direction, so that any two clocks differ by at most the
    // bound.
    it.rate = options_.drift ? 1.0 + (uniform_below(random_, 2) == 0 ? 0.00495 : -0.00495) : 1.0;
    it.offset = std::chrono::seconds{uniform_below(random_, 1000)};
}

auto cell_harness::start_instance(const std::string& name) -> void
{
    add_process(name);
    auto& it = instances_[name];
    it = {};
    it.member = {instance_id{name}, boot_id{++last_boot_}};
    it.log = ownership_state{options_.log_rules};
    it.agent = std::make_unique<cell_agent>(it.member, local_time(name), options_.rules);
    it.agent->configuration_changed(config_, local_time(name));
    tick_instance(name, processes_.at(name).incarnation);
}

auto cell_harness::local_time(const std::string& name) const -> time_point
{
    const auto& it = processes_.at(name);
    auto passed = static_cast<double>((now_ - started_).count()) * it.rate;
    return started_ + it.offset + duration{static_cast<duration::rep>(passed)};
}

auto cell_harness::schedule(duration delay, action act) -> void
{
    events_.emplace(now_ + delay, std::move(act));
}

auto cell_harness::schedule_on(const std::string& name, duration delay, std::uint64_t incarnation,
                               action act) -> void
{
    schedule(delay, [this, name, incarnation, act = std::move(act)] {
        const auto& it = processes_.at(name);
        if (!it.up || it.incarnation != incarnation) {
            return;
        }
        if (now_ < it.paused_until) {
            schedule_on(name, it.paused_until - now_, incarnation, act);
            return;
        }
        act();
    });
}

auto cell_harness::transmit(const std::string& from, const std::string& to, action act) -> void
{
    auto lost =
        cut_links_.contains({from, to}) || uniform_below(random_, 100) < options_.loss_percent;
    auto late = uniform_below(random_, 100) < options_.late_percent;
    auto delay = duration{300us} + duration{1us} * uniform_below(random_, late ? 1'500'000 : 1'500);
    if (lost) {
        return;
    }
    auto stalled = stalled_sends_.find(from);
    if (stalled != stalled_sends_.end() && now_ <= stalled->second) {
        delay += processes_.at(from).paused_until - now_;
    }
    if (to == "log" || from == "log") {
        delay += log_delay_;
        schedule(delay, std::move(act));
        return;
    }
    // The connection to a process closes when the process ends; a new process never gets its data.
    schedule_on(to, delay, processes_.at(to).incarnation, std::move(act));
}

auto cell_harness::queue_delay(const std::string& queue) -> duration
{
    // The tasks of an instance may lag a little, but each queue keeps its order.
    auto& last = queues_[queue];
    last =
        std::max(last, time_point{now_ + std::chrono::microseconds{uniform_below(random_, 500)}});
    return last - now_;
}

auto cell_harness::run_for(duration time) -> void
{
    auto end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto node = events_.extract(events_.begin());
        now_ = node.key();
        node.mapped()();
    }
    now_ = end;
}

auto cell_harness::run_until(const std::function<bool()>& done, duration limit)
    -> std::optional<duration>
{
    auto begin = now_;
    while (!done()) {
        if (now_ - begin >= limit) {
            return std::nullopt;
        }
        run_for(5ms);
    }
    return now_ - begin;
}

auto cell_harness::add_violation(const std::string& text) -> void
{
    std::ostringstream out;
    out << "seed " << options_.seed << " at " << (now_ - started_).count() / 1000
        << " us: " << text;
    violations_.push_back(out.str());
}

auto cell_harness::add_trace_line(const std::string& line) -> void
{
    if (options_.trace) {
        auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - started_).count();
        trace_ += std::to_string(ms) + " " + line + "\n";
    }
}

auto cell_harness::trace_message(const std::string& from, const std::string& to,
                                 const std::string& text) -> void
{
    // Renewals have no text and are not traced.
    if (!text.empty()) {
        add_trace_line(from + " -> " + to + ": " + text);
    }
}

auto cell_harness::tick_instance(const std::string& name, std::uint64_t incarnation) -> void
{
    auto& it = instances_.at(name);
    it.agent->tick(local_time(name));
    take_actions(name);
    for (const auto& server : config_->services.front().servers) {
        dispatch_server(name, server.id);
    }
    if (!it.reading) {
        read_log(name);
    }
    schedule_on(name, 10ms, incarnation,
                [this, name, incarnation] { tick_instance(name, incarnation); });
}

auto cell_harness::take_actions(const std::string& name) -> void
{
    for (const auto& it : instances_.at(name).agent->take_actions()) {
        perform(name, it);
    }
}

auto cell_harness::perform(const std::string& name, const cell_action& it) -> void
{
    if (const auto* message = std::get_if<send_to_peer>(&it)) {
        deliver(name, message->peer.value(), message->message);
    } else if (const auto* for_dispatcher = std::get_if<dispatcher_message>(&it)) {
        trace_message(name, "dispatcher", to_text(*for_dispatcher));
        schedule_on(name, queue_delay(name + " dispatcher"), processes_.at(name).incarnation,
                    [this, name, message = *for_dispatcher] { on_dispatcher(name, message); });
    } else if (const auto* record = std::get_if<append_record>(&it)) {
        append_from(name, *record);
    }
}

auto cell_harness::deliver(const std::string& from, const std::string& to,
                           const cell_message& message) -> void
{
    if (!processes_.contains(to)) {
        return;
    }
    trace_message(from, to, to_text(message));
    auto bytes = encode_cell_message(message);
    auto member = instances_.at(from).member;
    transmit(from, to, [this, from, to, member, bytes] {
        auto decoded = decode_cell_message(bytes).value();
        auto answer = instances_.at(to).agent->receive(member, decoded, local_time(to));
        if (answer && instances_.at(from).member == member) {
            deliver(to, from, *answer);
        }
        take_actions(to);
    });
}

auto cell_harness::find_dispatch(const std::string& name, const server_id& server, lease_term term)
    -> dispatched_server*
{
    auto& all = instances_.at(name).dispatched_servers;
    auto it = all.find(server);
    return it == all.end() || it->second.assignment.term != term ? nullptr : &it->second;
}

auto cell_harness::on_dispatcher(const std::string& name, const dispatcher_message& message) -> void
{
    auto& all = instances_.at(name).dispatched_servers;
    if (const auto* assignment = std::get_if<dispatcher_assignment>(&message)) {
        auto* it = find_dispatch(name, assignment->server.id, assignment->term);
        if (it == nullptr) {
            auto& newest = newest_terms_[assignment->server.id];
            if (assignment->term <= newest) {
                add_violation("term of " + assignment->server.id.value() + " was used before");
            }
            newest = std::max(newest, assignment->term);
            all.erase(assignment->server.id);
            grant_tracker tracker{assignment->service, assignment->term,
                                  assignment->server.checks_grants, assignment->acquired_at};
            it = &all.emplace(assignment->server.id, dispatched_server{*assignment, tracker})
                      .first->second;
        }
        it->assignment = *assignment;
        dispatch_server(name, assignment->server.id);
    } else if (const auto* renewed = std::get_if<leases_renewed>(&message)) {
        for (const auto& lease : renewed->leases) {
            if (auto* it = find_dispatch(name, lease.server, lease.term)) {
                it->assignment.valid_until = lease.valid_until;
            }
        }
    } else if (const auto* ended = std::get_if<dispatcher_assignment_ended>(&message)) {
        if (find_dispatch(name, ended->server, ended->term) != nullptr) {
            all.erase(ended->server);
        }
    }
    check_leases();
}

auto cell_harness::dispatch_server(const std::string& name, const server_id& server) -> void
{
    auto& all = instances_.at(name).dispatched_servers;
    auto found = all.find(server);
    if (found == all.end()) {
        return;
    }
    auto& it = found->second;
    if (it.suspended && !it.lost && it.assignment.availability_reports_handled >= it.reports) {
        it.suspended = false;
    }
    std::vector<slot_grant> wanted;
    for (const auto& grant : it.assignment.slots) {
        auto draining =
            std::find(it.assignment.draining_slots.begin(), it.assignment.draining_slots.end(),
                      grant.slot) != it.assignment.draining_slots.end();
        if (!draining || it.in_flight[grant.slot] > 0) {
            wanted.push_back(grant);
        }
    }
    it.tracker.set_slots(wanted);
    check_server_timeout(name, server);
    if (!it.suspended) {
        send_grants(name, server);
        report_drained(name, server);
    }
}

template<typename message>
auto cell_harness::send_to_agent(const std::string& name, const message& it) -> void
{
    schedule_on(name, queue_delay(name + " agent"), processes_.at(name).incarnation,
                [this, name, it] {
                    instances_.at(name).agent->handle(it, local_time(name));
                    take_actions(name);
                });
}

auto cell_harness::send_grants(const std::string& name, const server_id& server) -> void
{
    auto& it = instances_.at(name).dispatched_servers.at(server);
    auto out = it.tracker.next(local_time(name), it.assignment.valid_until);
    if (!out) {
        return;
    }
    const auto& target = server.value();
    trace_message(name, target, to_text(out->message));
    auto term = it.assignment.term;
    auto incarnation = processes_.at(name).incarnation;
    transmit(name, target, [this, name, target, server, term, incarnation, out = *out] {
        auto& backend = backends_.at(target);
        auto reply = backend.table->apply(out.message, local_time(target));
        if (reply.term < backend.term) {
            add_violation("term of " + target + " went back");
        }
        backend.term = reply.term;
        check_grants(target);
        if (processes_.at(name).incarnation != incarnation) {
            return;
        }
        transmit(target, name, [this, name, server, term, out, reply] {
            auto* to = find_dispatch(name, server, term);
            if (to == nullptr) {
                return;
            }
            auto event = to->tracker.on_reply(out.ticket, reply, local_time(name));
            if (event.superseded_by) {
                instances_.at(name).agent->note_server_term(server, *event.superseded_by,
                                                            local_time(name));
                take_actions(name);
                return;
            }
            dispatch_server(name, server);
        });
    });
}

auto cell_harness::check_server_timeout(const std::string& name, const server_id& server) -> void
{
    auto& it = instances_.at(name).dispatched_servers.at(server);
    auto now = local_time(name);
    auto since = options_.checks_grants ? it.tracker.unanswered_since() : it.probe_sent;
    if (!it.suspended && since && now - *since >= loss_timeout) {
        it.suspended = true;
        it.lost = true;
        ++it.reports;
        add_trace_line(name + " reports " + server.value() + " lost");
        send_to_agent(name,
                      server_lost{server, it.assignment.term, it.tracker.grants_expired_at()});
    }
    if ((it.lost || !options_.checks_grants) && now >= it.next_probe) {
        it.next_probe = now + 100ms;
        it.probe_sent = it.probe_sent.value_or(now);
        probe_server(name, server);
    }
}

auto cell_harness::probe_server(const std::string& name, const server_id& server) -> void
{
    auto term = instances_.at(name).dispatched_servers.at(server).assignment.term;
    transmit(name, server.value(), [this, name, server, term] {
        transmit(server.value(), name, [this, name, server, term] {
            auto* to = find_dispatch(name, server, term);
            if (to == nullptr) {
                return;
            }
            to->probe_sent.reset();
            if (to->lost) {
                to->lost = false;
                ++to->reports;
                to->tracker.abandon();
                send_to_agent(name, server_available{server, term, boot_id{}});
            }
        });
    });
}

auto cell_harness::report_drained(const std::string& name, const server_id& server) -> void
{
    auto& it = instances_.at(name).dispatched_servers.at(server);
    slots_drained out{server, it.assignment.term, {}};
    for (const auto& grant : it.assignment.slots) {
        auto draining =
            std::find(it.assignment.draining_slots.begin(), it.assignment.draining_slots.end(),
                      grant.slot) != it.assignment.draining_slots.end();
        if (draining && it.in_flight[grant.slot] == 0 &&
            it.tracker.is_revoked(grant.slot, local_time(name))) {
            out.slots.push_back(grant);
        }
    }
    if (!out.slots.empty()) {
        send_to_agent(name, out);
    }
}

auto cell_harness::read_log(const std::string& name) -> void
{
    auto& it = instances_.at(name);
    it.reading = true;
    auto sent = local_time(name);
    auto incarnation = processes_.at(name).incarnation;
    schedule_on(name, 60ms, incarnation, [this, name] { instances_.at(name).reading = false; });
    transmit(name, "log", [this, name, sent, incarnation] {
        if (!log_up_) {
            return;
        }
        auto records = records_;
        transmit("log", name, [this, name, sent, incarnation, records] {
            schedule_on(name, {}, incarnation, [this, name, sent, records] {
                auto& to = instances_.at(name);
                for (auto n = to.log.end().value(); n < records.size(); ++n) {
                    to.log.apply(records[n]);
                    to.agent->ownership_changed(std::make_shared<ownership_state>(to.log),
                                                local_time(name));
                }
                to.agent->on_log_read(sent, local_time(name));
                take_actions(name);
            });
        });
    });
}

auto cell_harness::append_from(const std::string& name, const append_record& it) -> void
{
    auto& from = instances_.at(name);
    auto incarnation = processes_.at(name).incarnation;
    record_header header{from.member.instance, from.member.boot, writer_sequence{++from.sequence}};
    add_trace_line(name + " appends " + to_text(it.body));
    auto finish = [this, name, ticket = it.ticket] {
        instances_.at(name).agent->append_finished(ticket, local_time(name));
    };
    schedule_on(name, 1s, incarnation, finish);
    transmit(name, "log", [this, name, header, body = it.body, incarnation, finish] {
        if (!log_up_ || append_blocked_) {
            return;
        }
        add_record(header, body);
        if (!lose_answers_) {
            schedule_on(name, 2ms, incarnation, finish);
        }
    });
}

auto cell_harness::add_record(const record_header& header, const record_body& body) -> void
{
    records_.push_back({log_offset{records_.size()}, encode_record({header, body})});
    log_state_.apply(records_.back());
}

auto cell_harness::append(record_body body) -> void
{
    add_record({instance_id{"planner"}, boot_id{1}, writer_sequence{++harness_sequence_}}, body);
}

} // namespace cornelswitch::test
