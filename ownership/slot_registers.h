#pragma once

#include "core/epoch.h"
#include "core/ids.h"
#include "ownership/ownership_state.h"
#include "ownership/slot_register.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cornelswitch {

/// One member's copy of the cell's registers: transfers and releases that may not be in the log
/// yet. For each slot, the value with the highest epoch takes precedence, then a committed value,
/// then the highest term. The members agree on the value of each epoch as in a Paxos instance: the
/// writer's term is the ballot number, and the vote for its lease is the promise.
class slot_registers {
public:
    /// Owner of a slot as far as this member knows.
    struct owner {
        /// Empty when the slot is released, unassigned, or in a transfer that is not committed.
        std::optional<server_id> server;
        slot_epoch epoch;
    };

    /// Stores values. The caller must have checked the writer's term. Ignores values that are older
    /// than the stored one or that are already superseded by the log.
    auto write(const std::vector<register_entry>& entries, const ownership_state& log) -> void;
    /// Merges the registers of another member.
    auto merge(const std::vector<register_entry>& entries, const ownership_state& log) -> void
    {
        write(entries, log);
    }

    /// Drops values that are recorded in the log, once every member has applied the log up to the
    /// position at which this member found them there. `applied_by_all` is the lowest log position
    /// of all members.
    auto drop_recorded(const ownership_state& log, log_offset applied_by_all) -> void;

    auto find(const slot_key& key) const -> const register_value*;
    auto owner_of(const slot_key& key, const ownership_state& log) const -> owner;
    auto entries() const -> std::vector<register_entry>;
    auto size() const -> std::size_t { return registers_.size(); }
    /// Registers with equal contents have equal digests.
    auto digest() const -> std::uint64_t;
    /// Incremented on each change.
    auto version() const -> std::uint64_t { return version_; }

    /// Calls `visit` for each register in order of service and slot.
    auto for_each(const std::function<void(const slot_key&, const register_value&)>& visit) const
        -> void;

private:
    struct stored {
        register_value value;
        /// Log position at which this member first found the value in the log.
        std::optional<log_offset> recorded_at;
    };

    std::map<slot_key, stored> registers_;
    std::uint64_t version_{0};
};

/// Whether the log already contains the transfer or release in `value`, or a newer one.
auto is_recorded(const slot_key& key, const register_value& value, const ownership_state& log)
    -> bool;

} // namespace cornelswitch
