#include "tests/ownership/cell_harness.h"

#include <algorithm>
#include <sstream>

namespace cornelswitch::test {

using namespace std::chrono_literals;

auto cell_harness::issue_requests() -> void
{
    for (std::uint32_t slot = 0; slot < log_state_.find_table(service)->size(); ++slot) {
        if (uniform_below(random_, 4) == 0) {
            try_request({++last_request_, slot_index{slot}, 0});
        }
    }
    advance_moves();
    schedule(10ms, [this] { issue_requests(); });
}

auto cell_harness::try_request(client_request request) -> void
{
    for (auto& [name, it] : instances_) {
        if (!processes_.at(name).up || now_ < processes_.at(name).paused_until) {
            continue;
        }
        for (auto& [server, to] : it.dispatched_servers) {
            auto grant = std::find_if(to.assignment.slots.begin(), to.assignment.slots.end(),
                                      [&](const auto& g) { return g.slot == request.slot; });
            auto usable = grant != to.assignment.slots.end() && !to.suspended &&
                          to.assignment.draining_slots.empty() &&
                          to.tracker.may_send(*grant, local_time(name), to.assignment.valid_until);
            if (!usable) {
                continue;
            }
            to.tracker.on_request_sent(local_time(name),
                                       local_time(name) + options_.longest_request);
            ++to.in_flight[request.slot];
            ++request.attempts;
            auto target = server.value();
            auto incarnation = processes_.at(name).incarnation;
            auto done = [this, name = name, server = server, request, term = to.assignment.term] {
                if (auto* d = find_dispatch(name, server, term)) {
                    d->in_flight[request.slot] = std::max(0, d->in_flight[request.slot] - 1);
                }
            };
            schedule_on(name, options_.longest_request, incarnation, done);
            auto answered = std::make_shared<bool>(false);
            schedule(options_.longest_request, [this, request, answered] {
                if (options_.repeat_unanswered && !*answered && request.attempts < 4) {
                    try_request(request);
                }
            });
            transmit(name, target,
                     [this, target, request, epoch = grant->epoch, term = to.assignment.term,
                      version = to.tracker.version(), name = name, answered] {
                         transmit(target, name, [answered] { *answered = true; });
                         if (execute(target, request, epoch, term, version)) {
                             return;
                         }
                         if (request.attempts < 4) {
                             schedule(20ms, [this, request] { try_request(request); });
                         }
                     });
            return;
        }
    }
}

auto cell_harness::execute(const std::string& server, const client_request& request,
                           slot_epoch epoch, lease_term term, std::uint64_t version) -> bool
{
    auto& table = *backends_.at(server).table;
    grant_table::request it{{service, request.slot}, epoch, term, version};
    if (options_.checks_grants &&
        table.check(it, local_time(server)) != grant_table::refusal::none) {
        return false;
    }
    if (++executions_[request.id] > 1) {
        add_violation("request " + std::to_string(request.id) + " ran twice");
    }
    auto& newest = served_[request.slot];
    if (epoch < newest) {
        std::ostringstream out;
        out << "slot " << request.slot << " served with epoch " << epoch << " after " << newest;
        add_violation(out.str());
    }
    newest = std::max(newest, epoch);
    if (!options_.checks_grants) {
        auto& latest = running_requests_[request.slot];
        if (latest.server != server && now_ < latest.until) {
            add_violation("slot runs on " + latest.server + " and " + server);
        }
        auto time =
            duration{1us} * uniform_below(random_, static_cast<std::uint64_t>(
                                                       options_.longest_request / duration{1us}));
        if (latest.server != server || now_ + time > latest.until) {
            latest = {server, now_ + time};
        }
    }
    check_grants(server);
    return true;
}

auto cell_harness::check_grants(const std::string& server) -> void
{
    if (!options_.checks_grants) {
        return;
    }
    auto mine = backends_.at(server).table->held(local_time(server));
    for (const auto& [other, it] : backends_) {
        if (other == server || !processes_.at(other).up) {
            continue;
        }
        for (const auto& a : mine) {
            for (const auto& b : it.table->held(local_time(other))) {
                for (const auto& range : a.slots.ranges()) {
                    for (auto slot = range.first; slot <= range.last; ++slot) {
                        if (b.slots.contains(slot_index{slot})) {
                            add_violation("slot " + std::to_string(slot) + " is held by " + server +
                                          " and " + other);
                        }
                    }
                }
            }
        }
    }
}

auto cell_harness::check_leases() -> void
{
    for (const auto& server : config_->services.front().servers) {
        std::string holder;
        for (const auto& [name, it] : instances_) {
            auto found = it.dispatched_servers.find(server.id);
            auto valid = processes_.at(name).up && found != it.dispatched_servers.end() &&
                         local_time(name) < found->second.assignment.valid_until;
            if (valid && !holder.empty()) {
                add_violation(server.id.value() + " has dispatchers " + holder + " and " + name);
            }
            if (valid) {
                holder = name;
            }
        }
    }
}

} // namespace cornelswitch::test
