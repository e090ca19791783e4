#include "tests/ownership/cell_harness.h"

#include <algorithm>

namespace cornelswitch::test {

using namespace std::chrono_literals;

auto cell_harness::advance_moves() -> void
{
    for (auto& it : moves_) {
        auto view = log_state_.slot(service, it.slot);
        if (it.assigned || !log_up_) {
            continue;
        }
        if (!view.released) {
            for (auto& [name, node] : instances_) {
                if (processes_.at(name).up && now_ >= processes_.at(name).paused_until) {
                    node.agent->request_release(*view.server, {it.slot}, local_time(name));
                    take_actions(name);
                }
            }
            continue;
        }
        assignment_record body;
        slot_set slots;
        slots.insert(it.slot);
        body.entries.push_back({service, slots, server_id{it.server}, view.epoch.major});
        if (it.split) {
            key_hash key{it.slot.value() + std::uint64_t{options_.slots} * 1000};
            body.splits.push_back({service, key, it.slot, server_id{it.server}, view.epoch.major});
        }
        append(body);
        it.assigned = true;
    }
}

auto cell_harness::move_slot(std::uint32_t slot, const std::string& server, bool split) -> void
{
    moves_.push_back({slot_index{slot}, server, split});
}

auto cell_harness::kill(const std::string& instance) -> void
{
    processes_.at(instance).up = false;
    add_trace_line("kill " + instance);
}

auto cell_harness::restart(const std::string& instance) -> void
{
    start_instance(instance);
    add_trace_line("restart " + instance);
    for (const auto& [id, cell] : log_state_.cells()) {
        if (cell.current.contains(instance_id{instance})) {
            std::vector<std::string> names;
            for (const auto& it : cell.current.members) {
                names.push_back(it.instance.value());
            }
            set_members(static_cast<int>(id.value()), names);
            return;
        }
    }
}

auto cell_harness::yield_ms() const -> std::uint64_t
{
    auto yield = options_.yield_after.value_or(duration{0});
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(yield).count();
    return static_cast<std::uint64_t>(ms);
}

auto cell_harness::set_members(int cell, const std::vector<std::string>& instances) -> void
{
    cell_id id{static_cast<std::uint32_t>(cell)};
    const auto& old = *log_state_.find_cell(id);
    cell_record body{id, old.current.epoch, old.zone, {}, old.servers, yield_ms()};
    for (const auto& it : instances) {
        body.members.push_back(instances_.at(it).member);
    }
    append(body);
}

auto cell_harness::pause(const std::string& name, duration time) -> void
{
    processes_.at(name).paused_until = now_ + time;
    add_trace_line("pause " + name);
}

auto cell_harness::pause_in_send(const std::string& instance, duration time) -> void
{
    processes_.at(instance).paused_until = now_ + 40ms + time;
    stalled_sends_[instance] = now_ + 40ms;
    // The process runs until the pause begins, and its messages are held back.
    auto until = processes_.at(instance).paused_until;
    processes_.at(instance).paused_until = {};
    schedule(40ms, [this, instance, until] { processes_.at(instance).paused_until = until; });
}

auto cell_harness::shut_down(const std::string& instance) -> void
{
    instances_.at(instance).agent->begin_shutdown(local_time(instance));
    run_for(500ms);
    instances_.at(instance).agent->release_all(local_time(instance));
    take_actions(instance);
    run_for(5ms);
    kill(instance);
}

auto cell_harness::cut(const std::string& from, const std::string& to) -> void
{
    cut_links_.insert({from, to});
}

auto cell_harness::cut_both(const std::string& a, const std::string& b) -> void
{
    cut(a, b);
    cut(b, a);
}

auto cell_harness::isolate(const std::set<std::string>& names) -> void
{
    for (const auto& name : names) {
        cut_both(name, "log");
        for (const auto& [other, it] : processes_) {
            if (!names.contains(other)) {
                cut_both(name, other);
            }
        }
    }
}

auto cell_harness::heal() -> void
{
    cut_links_.clear();
    options_.loss_percent = 0;
    options_.late_percent = 0;
    set_log(true, false, 5ms);
}

auto cell_harness::kill_server(const std::string& server) -> void
{
    processes_.at(server).up = false;
    add_trace_line("kill " + server);
}

auto cell_harness::restart_server(const std::string& server) -> void
{
    add_process(server);
    backends_[server] = {std::make_unique<grant_table>(boot_id{++last_boot_}), {}};
    add_trace_line("restart " + server);
}

auto cell_harness::set_log(bool up, bool lose_answers, duration delay) -> void
{
    log_up_ = up;
    lose_answers_ = lose_answers;
    log_delay_ = delay;
}

auto cell_harness::agent(const std::string& instance) -> cell_agent&
{
    return *instances_.at(instance).agent;
}

auto cell_harness::dispatcher_of(const std::string& server) const -> std::string
{
    for (const auto& [name, it] : instances_) {
        auto found = it.dispatched_servers.find(server_id{server});
        if (processes_.at(name).up && found != it.dispatched_servers.end() &&
            local_time(name) < found->second.assignment.valid_until) {
            return name;
        }
    }
    return "";
}

auto cell_harness::assigned_server(std::uint32_t slot) const -> std::string
{
    for (const auto& [name, it] : instances_) {
        for (const auto& [server, to] : it.dispatched_servers) {
            for (const auto& grant : to.assignment.slots) {
                if (grant.slot.value() == slot && processes_.at(name).up &&
                    to.tracker.may_send(grant, local_time(name), to.assignment.valid_until)) {
                    return server.value();
                }
            }
        }
    }
    return "";
}

auto cell_harness::owner_of(std::uint32_t slot) const -> std::string
{
    if (!options_.checks_grants) {
        return assigned_server(slot);
    }
    for (const auto& [name, it] : backends_) {
        if (!processes_.at(name).up || now_ < processes_.at(name).paused_until) {
            continue;
        }
        for (const auto& group : it.table->held(local_time(name))) {
            if (group.slots.contains(slot_index{slot})) {
                return name;
            }
        }
    }
    return "";
}

auto cell_harness::unserved() const -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> out;
    for (std::uint32_t slot = 0; slot < log_state_.find_table(service)->size(); ++slot) {
        if (owner_of(slot).empty()) {
            out.push_back(slot);
        }
    }
    return out;
}

auto cell_harness::all_synced() const -> bool
{
    return std::all_of(instances_.begin(), instances_.end(), [this](const auto& entry) {
        auto status = entry.second.agent->status(local_time(entry.first));
        return !processes_.at(entry.first).up || (status.active_epoch == status.recorded_epoch &&
                                                  status.synced && !status.recovering);
    });
}

auto cell_harness::served_epoch(std::uint32_t slot) const -> slot_epoch
{
    auto it = served_.find(slot_index{slot});
    return it == served_.end() ? slot_epoch{} : it->second;
}

} // namespace cornelswitch::test
