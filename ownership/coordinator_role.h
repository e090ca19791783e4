#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/coordinator_record.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace cornelswitch {

/// Effect of a coordinator record on the role of the instance that reads it.
enum class role_change : std::uint8_t { none, start, stop };

/// Tracks whether this instance is the coordinator of a service and whether it should become the
/// coordinator.
///
/// The store assigns the coordinator role of a service to one member of a group, and keeps a
/// record of the coordinator. Responses about the group may be late or missing, so two instances
/// can believe that the role is assigned to them. The record decides: an instance that is
/// superseded in the record drops the assignment until the group confirms it again. Otherwise the
/// two instances would replace each other indefinitely.
class coordinator_role {
public:
    coordinator_role(instance_id self, boot_id boot);

    /// Processes the store's response to a group membership call that was sent at `sent_at`.
    /// `is_mine` tells whether the store assigns the coordinator role to this instance.
    auto set_assigned(bool is_mine, time_point sent_at) -> void;
    /// Processes the newest record of the service.
    auto on_record(const std::optional<coordinator_record>& record, time_point now) -> role_change;
    /// Processes a peer's message that it took over in term `successor`. Returns whether this ends
    /// the role.
    auto on_superseded(lease_term successor, time_point now) -> bool;
    /// Reports that this instance's record of `term` is stored. Returns whether this starts a term:
    /// not when a later term is known already, because the response to the append was late. A
    /// coordinator that records its role again after a restore of the store starts another term.
    auto start(lease_term term) -> bool;

    auto is_mine(const coordinator_record& record) const -> bool;
    auto is_held() const -> bool { return is_held_; }
    /// Whether the role is assigned to this instance but not yet held.
    auto is_wanted() const -> bool { return is_assigned_ && !is_held_; }
    /// Term in which this instance is, or last was, the coordinator; 0 if it never was.
    auto term() const -> lease_term { return term_; }
    /// Latest term of any instance that is known.
    auto latest_term() const -> lease_term { return std::max(term_, latest_term_); }

private:
    auto revoke_assignment(time_point now) -> void;

    instance_id self_;
    boot_id boot_;
    bool is_assigned_{false};
    /// Responses to calls that were sent at or before this time do not restore the assignment.
    time_point revoked_at_{};
    bool is_held_{false};
    lease_term term_;
    std::optional<lease_term> recorded_term_;
    /// Latest term of any instance that a record or a peer's message named.
    lease_term latest_term_;
};

} // namespace cornelswitch
