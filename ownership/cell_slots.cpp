#include "ownership/cell_slots.h"

#include <set>

namespace cornelswitch {

namespace {

auto add_slot(cell_slots& out, const slot_key& key, const slot_registers::owner& owner) -> void
{
    if (!owner.server) {
        return;
    }
    auto it = out.servers.find(*owner.server);
    if (it != out.servers.end() && it->second.service == key.service) {
        it->second.owned.push_back({key.slot, owner.epoch});
    }
}

auto add_service(cell_slots& out, const service_id& service, const slot_table& table,
                 const ownership_state& log, const slot_registers& registers) -> void
{
    for (std::uint32_t i = 0; i < table.size(); ++i) {
        slot_key key{service, slot_index{i}};
        if (registers.size() == 0 && table.at(key.slot).released != 0) {
            continue;
        }
        add_slot(out, key, registers.owner_of(key, log));
    }
}

} // namespace

auto cell_slots::owned(const server_id& server) const -> const std::vector<slot_grant>&
{
    static const std::vector<slot_grant> none;
    auto it = servers.find(server);
    return it == servers.end() ? none : it->second.owned;
}

auto find_cell_slots(const ownership_state& log, const slot_registers& registers,
                     const std::map<server_id, service_id>& services) -> cell_slots
{
    cell_slots out;
    std::set<service_id> names;
    for (const auto& [server, service] : services) {
        out.servers[server].service = service;
        names.insert(service);
    }
    for (const auto& service : names) {
        const auto* table = log.find_table(service);
        if (table != nullptr) {
            add_service(out, service, *table, log, registers);
        }
    }
    return out;
}

} // namespace cornelswitch
