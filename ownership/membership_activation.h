#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/ownership_state.h"
#include "ownership/quorum.h"
#include "ownership/safety_rules.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Decides under which membership of its cell one member votes and counts votes.
///
/// A membership M2 that replaces M1 becomes active on a member when one lease duration has passed
/// since the member learned that a majority of M1 has acknowledged M2, or when another member
/// reports M2 as active. A member acknowledges M2 once it has activated M1 and synced under it;
/// from then on it votes only for instances that know M2. A member has synced under M2 when it has
/// copied the registers of a majority of M1, from members that no longer accept writes under M1.
class membership_activation {
public:
    membership_activation(cell_member self, time_point started, const safety_rules& rules);

    /// Applies a change of the cell in the log. Must be called for each record that changes the
    /// membership: the log's state keeps only the last two memberships, and each of them has to be
    /// activated in turn.
    auto apply(const cell_state& cell, time_point now) -> void;
    /// Processes the epochs that another member reported as its active and its acknowledged one.
    auto report(const cell_member& from, std::uint64_t active, std::uint64_t acked, time_point now)
        -> void;
    /// Processes the answer of `from` to a heartbeat that was sent at `sent`. `has_synced` tells
    /// whether the process of `from` has synced since its start.
    auto report_synced(const cell_member& from, bool has_synced, time_point sent) -> void;
    /// Activates a membership that another member reported as active, if it is newer. The caller
    /// must have applied the log at least as far as that member had when it reported.
    auto adopt(std::uint64_t active, bool recovering) -> void;
    /// Called when `from` has sent a copy of its registers while `active` was its active
    /// membership.
    auto on_copy(const cell_member& from, std::uint64_t active) -> void;
    auto tick(time_point now) -> void { try_activate(now); }
    /// Whether another membership became active since the last call.
    auto take_activated() -> bool { return std::exchange(activated_, false); }

    /// Active membership; epoch 0 when there is none yet.
    auto active() const -> const cell_membership& { return active_; }
    /// Epoch of the newest membership that this member has acknowledged.
    auto acked() const -> std::uint64_t { return acked_; }
    /// Whether this member may vote and accept register writes.
    auto may_vote() const -> bool;
    /// Whether this process has synced under any membership since its start; before that it does
    /// not vote.
    auto has_synced() const -> bool { return ever_synced_; }
    auto is_synced() const -> bool { return synced_; }
    /// Whether the active membership was activated without a majority of its predecessor, so that
    /// every slot needs a new epoch from the log before it is granted.
    auto is_recovering() const -> bool { return recovering_; }
    /// To be called when every slot of the cell has a new epoch.
    auto end_recovery() -> void { recovering_ = false; }

    /// Whether `from` belongs, with the boot id of its current process, to the newest membership
    /// that this member has acknowledged, and itself knows that membership.
    auto accepts(const cell_member& from, std::uint64_t its_acked) const -> bool;
    /// Memberships under which answers count for this instance: the active one, its successor if
    /// acknowledged, and its predecessor, whose last votes stay valid for one lease duration.
    auto quorums() const -> std::vector<quorum>;
    /// All other members of the known memberships that messages are sent to.
    auto peers() const -> std::vector<cell_member>;
    /// Members whose registers have not been copied yet.
    auto missing_copies() const -> std::vector<cell_member>;

private:
    struct member_report {
        cell_member member;
        std::uint64_t active{0};
        std::uint64_t acked{0};
        /// Send time of the last heartbeat that the member answered as a process that has not
        /// synced.
        std::optional<time_point> unsynced_at;
    };
    /// A membership from the log and the epoch that it replaced, if this member knows that epoch.
    struct known_membership {
        cell_membership membership;
        std::optional<std::uint64_t> replaces;
    };

    /// Newest membership that this member has acknowledged.
    auto newest_acked() const -> const cell_membership&;
    /// Membership that directly replaces the active one; null when there is none yet.
    auto next() const -> const cell_membership*;
    auto find_membership(std::uint64_t epoch) const -> const cell_membership*;
    auto activate_known(std::uint64_t epoch, bool recovering) -> void;
    /// `base` is the membership that `membership` replaced. Without it the predecessor is unknown
    /// and the member does not sync.
    auto activate(const cell_membership& membership, const std::optional<cell_membership>& base,
                  bool recovering) -> void;
    auto try_acknowledge() -> void;
    auto try_sync() -> void;
    auto try_activate(time_point now) -> void;
    auto acknowledged_by_majority(const cell_membership& membership) const -> bool;
    auto majority_is_lost(time_point now) const -> bool;
    /// Newest membership in the log; null when there is none yet.
    auto newest_in_log() const -> const cell_membership*;
    /// Whether `condition` has held for `wait`; `since` stores when it first did.
    auto has_lasted(std::optional<time_point>& since, bool condition, duration wait, time_point now)
        -> bool;

    cell_member self_;
    time_point started_;
    safety_rules rules_;
    /// Memberships from the log, from the active one on, by epoch.
    std::map<std::uint64_t, known_membership> known_memberships_;

    cell_membership active_;
    cell_membership predecessor_;
    /// Membership from whose members registers must be copied before this member has synced.
    cell_membership sync_source_;
    std::set<instance_id> copied_;
    bool synced_{false};
    bool ever_synced_{false};
    bool recovering_{false};
    std::uint64_t acked_{0};
    std::map<instance_id, member_report> reports_;
    std::optional<time_point> acknowledged_since_;
    std::optional<time_point> lost_since_;
    bool activated_{false};
};

} // namespace cornelswitch
