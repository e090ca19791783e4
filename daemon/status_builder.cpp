#include "daemon/status_builder.h"

#include "core/hash.h"
#include "daemon/view_builder.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto to_ms(duration it) -> std::uint64_t
{
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    return ms < 0 ? 0 : static_cast<std::uint64_t>(ms);
}

auto find_service_of(const configuration& config, const server_id& id) -> service_id
{
    for (const auto& service : config.services) {
        for (const auto& it : service.servers) {
            if (it.id == id) {
                return service.name;
            }
        }
    }
    return {};
}

auto is_out(const configuration& config, const server_config& server) -> bool
{
    return config.out_of_service.servers.contains(server.id) ||
           config.out_of_service.zones.contains(server.zone);
}

auto lease_state(const lease_status& lease, const server_config* server, const status_input& in)
    -> std::string
{
    if (!lease.in_force) {
        return "waiting";
    }
    if (lease.lost) {
        return "lost";
    }
    return server != nullptr && is_out(in.config, *server) ? "draining" : "serving";
}

auto make_server(const lease_status& lease, const status_input& in) -> server_status
{
    server_status out;
    out.id = lease.server;
    out.service = find_service_of(in.config, lease.server);
    out.term = lease.term;
    out.lease_ms = to_ms(lease.valid_until - in.now);
    out.slots = static_cast<std::uint32_t>(lease.slots);
    const auto* server = in.config.find_server(lease.server);
    out.state = lease_state(lease, server, in);
    if (server != nullptr) {
        out.zone = server->zone;
        out.checks_grants = server->checks_grants;
    }
    auto load = in.loads.find(lease.server);
    if (load != in.loads.end()) {
        out.in_flight = load->second.in_flight;
        out.queued = load->second.queued;
        out.limit = load->second.limit;
    }
    return out;
}

auto make_cell(const cell_report& report) -> cell_document
{
    cell_document out;
    out.id = report.id;
    out.epoch = report.status.active_epoch;
    out.has_majority = report.status.votes;
    for (const auto& it : report.membership.members) {
        out.members.push_back({it.instance, std::nullopt});
    }
    return out;
}

auto instance_state_text(const instance_info& it, const configuration& config) -> std::string
{
    if (it.state == instance_state::leaving) {
        return "leaving";
    }
    return accepts_work(it, config) ? "live" : "out";
}

auto make_service(const service_view& it) -> service_status
{
    service_status out;
    out.name = it.config.name;
    out.slots = static_cast<std::uint32_t>(it.slots.size());
    for (const auto& route : it.slots) {
        out.unowned_slots += route.server == slot_route::no_server ? 1 : 0;
    }
    out.split_keys = static_cast<std::uint32_t>(it.overrides.size());
    return out;
}

auto add_problems(status_document& out, const status_input& in) -> void
{
    if (!in.ready) {
        out.problems.emplace_back("no configuration and ownership state yet");
    }
    if (!in.log_reachable) {
        auto age = in.last_log_response ? to_ms(in.now - *in.last_log_response) / 1000 : 0;
        out.problems.push_back("log unreachable for " + std::to_string(age) + " s");
    }
    for (const auto& it : out.services) {
        if (it.unowned_slots > 0) {
            out.problems.push_back(std::to_string(it.unowned_slots) + " slots of service " +
                                   it.name.value() + " have no owner");
        }
    }
    for (const auto& it : out.servers) {
        if (it.state == "lost") {
            out.problems.push_back("backend server " + it.id.value() + " does not answer");
        }
    }
}

} // namespace

auto build_status(const status_input& in) -> status_document
{
    status_document out;
    out.instance = in.self.id;
    out.boot = in.self.boot;
    out.zone = in.self.zone;
    out.state = in.state;
    out.uptime_ms = to_ms(in.now - in.started);
    out.version = in.version;
    out.ownership_end = in.view.ownership_end;
    out.log.reachable = in.log_reachable;
    if (in.last_log_response) {
        out.log.age_ms = to_ms(in.now - *in.last_log_response);
    }
    for (const auto& cell : in.cells) {
        if (!out.cell) {
            out.cell = make_cell(cell);
        }
        for (const auto& lease : cell.status.leases) {
            out.servers.push_back(make_server(lease, in));
        }
    }
    for (const auto& [id, it] : in.instances) {
        out.instances.push_back({it.id, it.zone, instance_state_text(it, in.config)});
    }
    for (const auto& [name, it] : in.view.services) {
        out.services.push_back(make_service(*it));
    }
    add_problems(out, in);
    return out;
}

auto build_owner(const routing_view& view, const service_id& service, const std::string& key)
    -> result<owner_document>
{
    auto found = view.services.find(service);
    if (found == view.services.end() || found->second->slots.empty()) {
        return error{error_code::not_found, "owner", service.value(),
                     "no keyed service with this name has assigned slots"};
    }
    const auto& it = *found->second;
    auto hash = hash_key(key);
    owner_document out;
    out.service = service;
    out.key = key;
    out.slot = it.slot_of(hash);
    out.split = it.overrides.contains(hash);
    const auto& route = it.slots[out.slot.value()];
    out.epoch = route.epoch;
    out.state = route.epoch.major == 0 ? "unassigned" : "moving";
    if (route.server != slot_route::no_server) {
        out.server = it.config.servers[route.server].id;
        out.state = "owned";
        auto dispatcher = view.dispatchers.find(*out.server);
        if (dispatcher != view.dispatchers.end()) {
            out.dispatcher = dispatcher->second;
        }
    }
    return out;
}

} // namespace cornelswitch
