#pragma once

#include "daemon/messages.h"
#include "ownership/ownership_state.h"
#include "ownership/slot_registers.h"

#include <map>
#include <vector>

namespace cornelswitch {

/// Slots that the servers of one cell own according to the log and the cell's registers.
struct cell_slots {
    struct server_slots {
        service_id service;
        /// Slots that the server may be granted.
        std::vector<slot_grant> owned;
    };
    std::map<server_id, server_slots> servers;

    auto owned(const server_id& server) const -> const std::vector<slot_grant>&;
};

/// `services` maps each of the cell's servers to its service.
auto find_cell_slots(const ownership_state& log, const slot_registers& registers,
                     const std::map<server_id, service_id>& services) -> cell_slots;

} // namespace cornelswitch
