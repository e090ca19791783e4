#include "daemon/view_builder.h"

#include "ownership/holder_preference.h"

#include <utility>

namespace cornelswitch {

namespace {

using server_indexes = std::unordered_map<server_id, std::uint32_t>;

auto index_servers(const service_config& service) -> server_indexes
{
    server_indexes out;
    for (std::uint32_t n = 0; n < service.servers.size(); ++n) {
        out.emplace(service.servers[n].id, n);
    }
    return out;
}

auto find_index(const server_indexes& indexes, const server_id& server) -> std::uint32_t
{
    auto it = indexes.find(server);
    return it == indexes.end() ? slot_route::no_server : it->second;
}

// Maps the interned server numbers of the ownership state to indexes into the service's servers.
auto map_servers(const ownership_state& state, const server_indexes& indexes)
    -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> out;
    for (const auto& [id, n] : state.servers().indexes()) {
        if (n >= out.size()) {
            out.resize(n + 1, slot_route::no_server);
        }
        out[n] = find_index(indexes, id);
    }
    return out;
}

auto read_slots(const slot_table& table, const std::vector<std::uint32_t>& positions)
    -> std::vector<slot_route>
{
    std::vector<slot_route> out;
    out.reserve(table.size());
    for (const auto& it : table.entries()) {
        bool is_owned = it.released == 0 && it.server < positions.size();
        out.push_back({is_owned ? positions[it.server] : slot_route::no_server, it.epoch()});
    }
    return out;
}

auto apply_moved(service_view& view, const server_indexes& indexes,
                 const std::vector<moved_slot>& moved) -> void
{
    for (const auto& it : moved) {
        if (it.service != view.config.name || it.slot.value() >= view.slots.size()) {
            continue;
        }
        auto& route = view.slots[it.slot.value()];
        if (it.epoch > route.epoch) {
            route = {find_index(indexes, it.server), it.epoch};
        }
    }
}

auto build_service(const service_config& service, const view_input& in)
    -> std::shared_ptr<const service_view>
{
    auto out = std::make_shared<service_view>();
    out->config = service;
    if (const auto* policy = in.config.find_profile(service.profile)) {
        out->policy = *policy;
    }
    const auto* table = in.ownership.find_table(service.name);
    if (!service.keyed || table == nullptr) {
        return out;
    }
    // The first assignment fixes the number of hash slots; later configurations do not change it.
    out->config.hash_slots = table->hash_slots();
    auto indexes = index_servers(service);
    out->slots = read_slots(*table, map_servers(in.ownership, indexes));
    out->overrides.insert(table->overrides().begin(), table->overrides().end());
    apply_moved(*out, indexes, in.moved);
    return out;
}

auto live_members(const cell_state& cell, const view_input& in) -> std::vector<instance_id>
{
    std::vector<instance_id> out;
    for (const auto& it : cell.current.members) {
        auto known = in.instances.find(it.instance);
        if (known != in.instances.end() && accepts_work(known->second, in.config)) {
            out.push_back(it.instance);
        }
    }
    return out;
}

// The member that the cell prefers as dispatcher is the default for servers without a known one.
auto add_candidates(routing_view& view, const view_input& in) -> void
{
    for (const auto& [id, cell] : in.ownership.cells()) {
        for (auto& [server, order] : preferred_holders(cell.servers, live_members(cell, in))) {
            if (!order.empty()) {
                view.dispatchers.emplace(server, order.front());
            }
            view.candidates[server] = std::move(order);
        }
    }
}

auto add_instances(routing_view& view, const view_input& in) -> void
{
    for (const auto& [id, it] : in.instances) {
        view.instances[id] = {it.id, it.zone, it.data, accepts_work(it, in.config)};
    }
}

} // namespace

auto accepts_work(const instance_info& instance, const configuration& config) -> bool
{
    return instance.state == instance_state::live &&
           !config.out_of_service.instances.contains(instance.id) &&
           !config.out_of_service.zones.contains(instance.zone);
}

auto build_view(const view_input& in) -> std::shared_ptr<const routing_view>
{
    auto out = std::make_shared<routing_view>();
    out->version = in.version;
    out->ownership_end = in.ownership.end();
    out->out_of_service = in.config.out_of_service;
    out->ready = in.ready;
    for (const auto& it : in.config.services) {
        out->services[it.name] = build_service(it, in);
    }
    add_instances(*out, in);
    for (const auto& [server, instance] : in.dispatchers) {
        out->dispatchers[server] = instance;
    }
    add_candidates(*out, in);
    return out;
}

} // namespace cornelswitch
