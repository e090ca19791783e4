#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/coordinator_record.h"

#include <cstdint>
#include <optional>

namespace cornelswitch {

/// Effect of a coordinator record on the role of the instance that reads it.
enum class role_change : std::uint8_t { none, start, stop };

/// Tracks whether this instance is the coordinator of a service and whether it should become the
/// coordinator.
///
/// The store assigns the duty of coordinating a service to one member of a group, and keeps a
/// record of the coordinator. Answers about the group may be late or missing, so two instances can
/// believe that they have the duty. The record decides: an instance that is superseded in the
/// record drops the duty until the group confirms it again. Otherwise the two instances would
/// replace each other indefinitely.
class coordinator_role {
public:
    coordinator_role(instance_id self, boot_id boot);

    /// Processes the store's answer to a group membership call that was sent at `sent_at`.
    /// `is_mine` tells whether the store assigns the duty of coordinating the service to this
    /// instance.
    auto set_assigned(bool is_mine, time_point sent_at) -> void;
    /// Processes the newest record of the service.
    auto on_record(const std::optional<coordinator_record>& record, time_point now) -> role_change;
    /// Processes a peer's message that it took over in term `successor`. Returns whether this ends
    /// the role.
    auto on_superseded(lease_term successor, time_point now) -> bool;
    /// Reports that this instance's record of `term` is stored. Returns whether this starts the
    /// role.
    auto start(lease_term term) -> bool;

    auto is_mine(const coordinator_record& record) const -> bool;
    auto is_held() const -> bool { return is_held_; }
    /// Whether this instance has the duty but not yet the role.
    auto is_wanted() const -> bool { return has_duty_ && !is_held_; }
    /// Term in which this instance is, or last was, the coordinator; 0 if it never was.
    auto term() const -> lease_term { return term_; }

private:
    auto revoke_duty(time_point now) -> void;

    instance_id self_;
    boot_id boot_;
    bool has_duty_{false};
    /// Answers to calls that were sent at or before this time do not restore the duty.
    time_point revoked_at_{};
    bool is_held_{false};
    lease_term term_;
    std::optional<lease_term> recorded_term_;
};

} // namespace cornelswitch
