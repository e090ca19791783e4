#include "ownership/coordinator_role.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

coordinator_role::coordinator_role(instance_id self, boot_id boot)
    : self_{std::move(self)}, boot_{boot}
{
}

auto coordinator_role::is_mine(const coordinator_record& record) const -> bool
{
    return record.coordinator == self_ && record.boot == boot_;
}

auto coordinator_role::revoke_assignment(time_point now) -> void
{
    is_assigned_ = false;
    revoked_at_ = now;
}

auto coordinator_role::set_assigned(bool is_mine, time_point sent_at) -> void
{
    bool is_stale = is_mine && revoked_at_ != time_point{} && sent_at <= revoked_at_;
    if (!is_stale) {
        is_assigned_ = is_mine;
    }
}

auto coordinator_role::on_record(const std::optional<coordinator_record>& record, time_point now)
    -> role_change
{
    if (!record) {
        return role_change::none;
    }
    bool is_newer_term = recorded_term_ && record->term > *recorded_term_;
    recorded_term_ = record->term;
    latest_term_ = std::max(latest_term_, record->term);
    if (is_mine(*record)) {
        return start(record->term) ? role_change::start : role_change::none;
    }
    if (is_newer_term) {
        revoke_assignment(now);
    }
    return std::exchange(is_held_, false) ? role_change::stop : role_change::none;
}

auto coordinator_role::on_superseded(lease_term successor, time_point now) -> bool
{
    latest_term_ = std::max(latest_term_, successor);
    if (!is_held_ || successor <= term_) {
        return false;
    }
    revoke_assignment(now);
    is_held_ = false;
    return true;
}

auto coordinator_role::start(lease_term term) -> bool
{
    // A role that ended must not restart from the record of its own term, which stays visible until
    // the successor's record has been read.
    if (term <= term_ || term < latest_term_) {
        return false;
    }
    is_held_ = true;
    term_ = term;
    return true;
}

} // namespace cornelswitch
