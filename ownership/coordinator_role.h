#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/coordinator_record.h"

#include <cstdint>
#include <optional>

namespace cornelswitch {

/// What a record means for the role of the instance that read it.
enum class role_change : std::uint8_t { none, start, stop };

/// Whether this instance is the coordinator of a service, and whether it should become that.
///
/// The store deals the duty to members of a group and keeps a record of the coordinator. Answers of
/// the group may be late or missing, so two instances can believe that the duty is theirs. The
/// record decides: whoever is superseded in it gives up the duty until the group confirms it anew,
/// or the two would replace each other without end.
class coordinator_role {
public:
    coordinator_role(instance_id node, boot_id boot);

    /// The answer of the group to a call that was sent at `asked`.
    auto set_duty(bool is_mine, time_point asked) -> void;
    /// The newest record of the service.
    auto on_record(const std::optional<coordinator_record>& record, time_point now) -> role_change;
    /// A peer says that it took over in term `successor`. Returns whether the role ends by that.
    auto on_superseded(lease_term successor, time_point now) -> bool;
    /// This instance's record of `term` is stored. Returns whether the role starts by that.
    auto start(lease_term term) -> bool;

    auto is_mine(const coordinator_record& record) const -> bool;
    auto is_held() const -> bool { return is_held_; }
    /// The duty is this instance's and the role is not.
    auto is_wanted() const -> bool { return has_duty_ && !is_held_; }
    /// Term in which this instance is, or last was, the coordinator; 0 before the first.
    auto term() const -> lease_term { return term_; }

private:
    auto revoke_duty(time_point now) -> void;

    instance_id node_;
    boot_id boot_;
    bool has_duty_{false};
    /// Answers to calls that were sent before this do not give the duty back.
    time_point revoked_at_{};
    bool is_held_{false};
    lease_term term_;
    std::optional<lease_term> recorded_term_;
};

} // namespace cornelswitch
