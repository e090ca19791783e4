#pragma once

#include "core/epoch.h"
#include "core/ids.h"

#include <compare>
#include <optional>

namespace cornelswitch {

/// Identifies a slot across all services.
struct slot_key {
    service_id service;
    slot_index slot;
    friend auto operator==(const slot_key&, const slot_key&) -> bool = default;
    friend auto operator<=>(const slot_key&, const slot_key&) = default;
};

/// A transfer of one slot within its cell, or its release by the cell.
struct register_value {
    /// Epoch of the slot after the transfer; its minor part is higher than under `from`.
    slot_epoch epoch;
    /// New owner; empty when the slot is released so that it can move to another cell.
    std::optional<server_id> target;
    /// A majority has stored the value, so the slot may be granted to the target.
    bool committed{false};
    /// Owner before the transfer; this server's dispatcher writes the register.
    server_id from;
    /// Term of the writer's lease.
    lease_term term;
    friend auto operator==(const register_value&, const register_value&) -> bool = default;
};

struct register_entry {
    slot_key key;
    register_value value;
    friend auto operator==(const register_entry&, const register_entry&) -> bool = default;
};

} // namespace cornelswitch
