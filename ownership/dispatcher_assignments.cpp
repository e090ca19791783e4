#include "ownership/dispatcher_assignments.h"

#include "core/intervals.h"

#include <algorithm>
#include <tuple>

namespace cornelswitch {

namespace {

// A recovered cell may have lost transfers that servers already know. New minor epochs must exceed
// every one that the cell can have reached since the last one in the log.
constexpr std::uint64_t recovery_epoch_step = std::uint64_t{1} << 16U;

struct service_of_server {
    const service_config* service{nullptr};
    const server_config* server{nullptr};
};

auto find_server(const configuration& config, const server_id& id) -> service_of_server
{
    for (const auto& service : config.services) {
        for (const auto& it : service.servers) {
            if (it.id == id) {
                return {&service, &it};
            }
        }
    }
    return {};
}

auto may_take_over(const dispatcher_assignment_context& context, const server_config& it) -> bool
{
    return context.slots.servers.contains(it.id) && context.is_available(it.id) &&
           !context.config.out_of_service.servers.contains(it.id) &&
           !context.config.out_of_service.zones.contains(it.zone);
}

auto find_targets(const dispatcher_assignment_context& context, const service_config& service,
                  const server_id& lost) -> std::map<server_id, std::size_t>
{
    std::map<server_id, std::size_t> out;
    for (const auto& it : service.servers) {
        if (it.id != lost && may_take_over(context, it)) {
            out[it.id] = context.slots.owned(it.id).size();
        }
    }
    return out;
}

auto least_loaded(std::map<server_id, std::size_t>& targets) -> const server_id&
{
    auto it = std::min_element(targets.begin(), targets.end(),
                               [](const auto& a, const auto& b) { return a.second < b.second; });
    ++it->second;
    return it->first;
}

// Compares everything but the end of the lease, which is sent in `leases_renewed`.
auto same_assignment(const dispatcher_assignment& a, const dispatcher_assignment& b) -> bool
{
    auto key = [](const dispatcher_assignment& it) {
        return std::tie(it.service, it.server, it.policy, it.keyed, it.idempotent_methods, it.term,
                        it.slots, it.draining_slots, it.draining, it.availability_reports_handled);
    };
    return key(a) == key(b);
}

auto next_epoch(slot_epoch epoch) -> slot_epoch
{
    return {epoch.major, epoch.minor + 1};
}

template<typename entry>
auto find_entry(std::vector<entry>& entries, const service_id& service, const slot_epoch& epoch,
                const server_id& server) -> entry*
{
    for (auto& it : entries) {
        auto same = it.service == service && it.epoch == epoch;
        if constexpr (requires { it.server; }) {
            same = same && it.server == server;
        }
        if (same) {
            return &it;
        }
    }
    return nullptr;
}

auto add_transfer(transfer_record& out, const slot_key& key, const slot_epoch& epoch,
                  const server_id& server) -> void
{
    auto* it = find_entry(out.entries, key.service, epoch, server);
    if (it == nullptr) {
        it = &out.entries.emplace_back(transfer_entry{key.service, {}, epoch, server});
    }
    it->slots.insert(key.slot);
}

auto add_release(release_record& out, const slot_key& key, const slot_epoch& epoch) -> void
{
    auto* it = find_entry(out.entries, key.service, epoch, {});
    if (it == nullptr) {
        it = &out.entries.emplace_back(release_entry{key.service, {}, epoch});
    }
    it->slots.insert(key.slot);
}

} // namespace

auto dispatcher_assignments::begin_assignment(const server_id& server, lease_term term,
                                              time_point now) -> void
{
    assignment it;
    it.term = term;
    it.acquired_at = now;
    assignments_.insert_or_assign(server, std::move(it));
}

auto dispatcher_assignments::end_assignment(const server_id& server) -> void
{
    auto it = assignments_.find(server);
    if (it == assignments_.end()) {
        return;
    }
    if (it->second.sent) {
        ended_.push_back({server, it->second.term});
    }
    assignments_.erase(it);
}

auto dispatcher_assignments::state_changes(const ownership_state& log, time_point now) const
    -> std::map<server_id, bool>
{
    std::map<server_id, bool> out;
    for (const auto& [server, it] : assignments_) {
        bool recorded = log.is_lost(server);
        bool delay_has_passed = now - it.acquired_at >= available_delay;
        if (it.grants_expired_at && !recorded) {
            out[server] = true;
        } else if (!it.grants_expired_at && recorded && delay_has_passed) {
            out[server] = false;
        }
    }
    return out;
}

auto dispatcher_assignments::is_lost(const server_id& server) const -> bool
{
    auto it = assignments_.find(server);
    return it != assignments_.end() && it->second.grants_expired_at.has_value();
}

auto dispatcher_assignments::find(const server_id& server, lease_term term) -> assignment*
{
    auto it = assignments_.find(server);
    return it == assignments_.end() || it->second.term != term ? nullptr : &it->second;
}

auto dispatcher_assignments::on_lost(const server_lost& message) -> void
{
    auto* it = find(message.server, message.term);
    if (it != nullptr) {
        it->grants_expired_at = message.grants_expired_at;
        ++it->availability_reports_handled;
    }
}

auto dispatcher_assignments::on_available(const server_available& message) -> void
{
    auto* it = find(message.server, message.term);
    if (it != nullptr) {
        it->grants_expired_at.reset();
        ++it->availability_reports_handled;
    }
}

auto dispatcher_assignments::on_drained(const slots_drained& message) -> void
{
    auto* it = find(message.server, message.term);
    if (it == nullptr) {
        return;
    }
    for (const auto& grant : message.slots) {
        if (it->draining.contains(grant.slot)) {
            it->drained.insert(grant);
        }
    }
}

auto dispatcher_assignments::request_release(const server_id& server,
                                             const std::vector<slot_index>& slots) -> void
{
    auto it = assignments_.find(server);
    if (it != assignments_.end()) {
        it->second.draining.insert(slots.begin(), slots.end());
    }
}

auto dispatcher_assignments::renew(const server_id& server, time_point valid_until) -> void
{
    auto it = assignments_.find(server);
    if (it != assignments_.end()) {
        it->second.valid_until = valid_until;
    }
}

auto dispatcher_assignments::plan_writes(const dispatcher_assignment_context& context,
                                         time_point now) -> std::vector<register_batch>
{
    std::vector<register_batch> out;
    for (auto& [server, it] : assignments_) {
        auto expired = it.grants_expired_at &&
                       (now >= *it.grants_expired_at || !rules_.transfer_waits_for_expiry);
        auto entries = plan_completion(server, it, context, now);
        auto releases = plan_release(server, it, context, expired);
        entries.insert(entries.end(), releases.begin(), releases.end());
        if (expired) {
            auto more = plan_transfer(server, it, context);
            entries.insert(entries.end(), more.begin(), more.end());
        }
        for (auto& entry : entries) {
            entry.value.committed = !rules_.transfer_needs_majority;
        }
        if (!entries.empty()) {
            out.push_back({server, it.term, std::move(entries)});
        }
    }
    return out;
}

auto dispatcher_assignments::plan_transfer(const server_id& server, const assignment& it,
                                           const dispatcher_assignment_context& context) const
    -> std::vector<register_entry>
{
    std::vector<register_entry> out;
    auto [service, config] = find_server(context.config, server);
    if (service == nullptr) {
        return out;
    }
    auto targets = find_targets(context, *service, server);
    for (const auto& grant : context.slots.owned(server)) {
        slot_key key{service->name, grant.slot};
        // Slots that are drained for a move are released instead of transferred.
        if (targets.empty() || it.draining.contains(grant.slot) || !context.is_grantable(key)) {
            continue;
        }
        register_value value{next_epoch(grant.epoch), least_loaded(targets), false, server,
                             it.term};
        out.push_back({key, value});
    }
    return out;
}

auto dispatcher_assignments::plan_release(const server_id& server, assignment& it,
                                          const dispatcher_assignment_context& context,
                                          bool expired) const -> std::vector<register_entry>
{
    std::vector<register_entry> out;
    auto [service, config] = find_server(context.config, server);
    if (service == nullptr || it.draining.empty()) {
        return out;
    }
    std::set<slot_index> still_owned;
    for (const auto& grant : context.slots.owned(server)) {
        if (!it.draining.contains(grant.slot)) {
            continue;
        }
        still_owned.insert(grant.slot);
        if (expired || it.drained.contains(grant)) {
            register_value value{next_epoch(grant.epoch), std::nullopt, false, server, it.term};
            out.push_back({{service->name, grant.slot}, value});
        }
    }
    // A slot that is no longer owned must not be drained again when it is later assigned to this
    // server again.
    it.draining = std::move(still_owned);
    return out;
}

// Completes values that an earlier dispatcher wrote. A dispatcher between that one and this one may
// not have found them and may have granted the slots to the old owner, so its grants must expire
// first.
auto dispatcher_assignments::plan_completion(const server_id& server, assignment& it,
                                             const dispatcher_assignment_context& context,
                                             time_point now) const -> std::vector<register_entry>
{
    std::vector<register_entry> out;
    auto searched = it.searched_version == context.registers.version();
    if (searched || now < it.acquired_at + lengthened_by_drift(grant_ttl)) {
        return out;
    }
    it.searched_version = context.registers.version();
    context.registers.for_each([&](const slot_key& key, const register_value& value) {
        if (value.from == server && !value.committed && value.term != it.term) {
            auto completed = value;
            completed.term = it.term;
            out.push_back({key, completed});
        }
    });
    return out;
}

auto dispatcher_assignments::plan_appends(const dispatcher_assignment_context& context,
                                          append_throttle& throttle, time_point now)
    -> std::vector<append>
{
    std::vector<append> out;
    for (const auto& [server, it] : assignments_) {
        append_registers(server, context, throttle, now, out);
        append_recovery(server, context, throttle, now, out);
    }
    return out;
}

auto dispatcher_assignments::append_registers(const server_id& server,
                                              const dispatcher_assignment_context& context,
                                              append_throttle& throttle, time_point now,
                                              std::vector<append>& out) -> void
{
    auto ready = throttle.is_ready("transfer " + server.value(), now) ||
                 throttle.is_ready("release " + server.value(), now);
    if (!ready || context.registers.size() == 0) {
        return;
    }
    transfer_record transfers{context.cell, {}};
    release_record releases{context.cell, {}};
    context.registers.for_each([&](const slot_key& key, const register_value& value) {
        auto final = value.committed || !rules_.release_needs_register;
        if (value.from != server || !final || is_recorded(key, value, context.log)) {
            return;
        }
        if (value.target) {
            add_transfer(transfers, key, value.epoch, *value.target);
        } else {
            add_release(releases, key, value.epoch);
        }
    });
    auto add = [&](const std::string& purpose, record_body body) {
        auto ticket = throttle.try_start(purpose + server.value(), now);
        if (ticket != 0) {
            out.push_back({ticket, std::move(body)});
        }
    };
    if (!transfers.entries.empty()) {
        add("transfer ", std::move(transfers));
    }
    if (!releases.entries.empty()) {
        add("release ", std::move(releases));
    }
}

auto dispatcher_assignments::append_recovery(const server_id& server,
                                             const dispatcher_assignment_context& context,
                                             append_throttle& throttle, time_point now,
                                             std::vector<append>& out) -> void
{
    auto found = context.slots.servers.find(server);
    if (found == context.slots.servers.end()) {
        return;
    }
    transfer_record body{context.cell, {}};
    for (const auto& it : found->second.owned) {
        slot_key key{found->second.service, it.slot};
        if (!context.is_grantable(key)) {
            auto epoch = context.log.slot(key.service, key.slot).epoch;
            add_transfer(body, key, {epoch.major, epoch.minor + recovery_epoch_step}, server);
        }
    }
    if (body.entries.empty()) {
        return;
    }
    auto ticket = throttle.try_start("recovery " + server.value(), now);
    if (ticket != 0) {
        out.push_back({ticket, std::move(body)});
    }
}

auto dispatcher_assignments::should_drain(assignment& it, const service_config& service,
                                          const server_config& server,
                                          const dispatcher_assignment_context& context,
                                          time_point now) -> bool
{
    bool is_out = context.config.out_of_service.servers.contains(server.id) ||
                  context.config.out_of_service.zones.contains(server.zone);
    if (!is_out) {
        it.out_of_service_since.reset();
        return false;
    }
    it.out_of_service_since = it.out_of_service_since.value_or(now);
    // The server keeps serving its slots until they have been moved; otherwise their keys would
    // have no owner in the meantime.
    bool has_slots = service.keyed && !context.slots.owned(server.id).empty();
    return !has_slots || now >= *it.out_of_service_since + drain_grace;
}

auto dispatcher_assignments::make_assignment(const server_id& server, assignment& it,
                                             const dispatcher_assignment_context& context,
                                             time_point now) const
    -> std::optional<dispatcher_assignment>
{
    auto [service, config] = find_server(context.config, server);
    if (service == nullptr) {
        return std::nullopt;
    }
    dispatcher_assignment out;
    out.service = service->name;
    out.server = *config;
    const auto* policy = context.config.find_profile(service->profile);
    out.policy = policy == nullptr ? profile{} : *policy;
    out.keyed = service->keyed;
    out.idempotent_methods = service->idempotent_methods;
    out.term = it.term;
    out.acquired_at = it.acquired_at;
    out.availability_reports_handled = it.availability_reports_handled;
    out.draining = should_drain(it, *service, *config, context, now);
    for (const auto& grant : context.slots.owned(server)) {
        if (!context.is_grantable({service->name, grant.slot}) || it.drained.contains(grant)) {
            continue;
        }
        out.slots.push_back(grant);
        if (it.draining.contains(grant.slot)) {
            out.draining_slots.push_back(grant.slot);
        }
    }
    return out;
}

auto dispatcher_assignments::take_messages(const dispatcher_assignment_context& context,
                                           bool changed, time_point now)
    -> std::vector<dispatcher_message>
{
    std::vector<dispatcher_message> out{ended_.begin(), ended_.end()};
    ended_.clear();
    leases_renewed renewed;
    for (auto& [server, it] : assignments_) {
        bool is_due = it.out_of_service_since && it.sent && !it.sent->draining &&
                      now >= *it.out_of_service_since + drain_grace;
        auto next = changed || is_due || !it.sent ? make_assignment(server, it, context, now)
                                                  : std::nullopt;
        if (next && (!it.sent || !same_assignment(*it.sent, *next))) {
            it.sent = next;
            next->valid_until = it.valid_until;
            it.reported_until = it.valid_until;
            out.emplace_back(std::move(*next));
        } else if (it.sent && it.reported_until != it.valid_until) {
            it.reported_until = it.valid_until;
            renewed.leases.push_back({server, it.term, it.valid_until});
        }
    }
    if (!renewed.leases.empty()) {
        out.emplace_back(std::move(renewed));
    }
    return out;
}

} // namespace cornelswitch
