#pragma once

#include "core/clock.h"
#include "fleet/candidate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// One instance's view of which candidates take roles, and in which order they take each role.
///
/// Instances that know the same candidates compute the same order without communication. Views may
/// differ for a while, so every role assigned this way must tolerate two holders at once.
///
/// A candidate is large or small, depending on the ratio of its CPU share to the largest known CPU
/// share. Small ones take roles only while no large one can be reached. The candidates that take
/// roles now are the members.
class fleet_view {
public:
    /// Time without a reachable member after which connections to all candidates are opened.
    static constexpr duration connect_all_delay = std::chrono::seconds{1};
    /// Smallest CPU share of a large candidate, relative to the largest known CPU share.
    static constexpr double min_relative_cpu_share = 0.75;

    fleet_view(candidate self, time_point now);

    /// Stores a candidate's newest record. Returns whether anything changed.
    auto add(const candidate& record) -> bool;
    auto remove(const instance_id& id) -> bool;
    /// Records whether the connection to a candidate works.
    auto set_reachable(const instance_id& id, bool is_reachable, time_point now) -> void;
    auto is_reachable(const instance_id& id) const -> bool { return reachable_.contains(id); }
    /// Whether this instance has announced itself.
    auto is_announced() const -> bool { return candidates_.contains(self_.id); }
    /// Whether this instance should announce itself as a candidate: it is large, or no member has
    /// been reachable for `max_unreachable`.
    auto should_announce(time_point now, duration max_unreachable) const -> bool;

    auto is_large(const candidate& machine) const -> bool
    {
        return machine.cpu_share >= min_relative_cpu_share * largest_cpu_share();
    }
    /// Number of known candidates that are small.
    auto count_small() const -> std::size_t;
    /// Candidates to keep connections to: the members and those already connected, or all
    /// candidates while no member can be reached.
    auto connection_targets(time_point now) const -> std::vector<const candidate*>;
    /// Candidates that take roles now; includes this instance if it is one of them.
    auto members() const -> std::vector<const candidate*>;
    auto is_member() const -> bool;
    auto find(const instance_id& id) const -> const candidate*;
    auto self() const -> const candidate& { return self_; }
    /// Members in the order in which they take `role`.
    auto ranking(const std::string& role) const -> const std::vector<instance_id>&;
    /// Members with those of `zone` first. `rotation` rotates the members of the zone, so that
    /// their load can be spread.
    auto zone_ranking(const zone_id& zone, std::size_t rotation) const
        -> const std::vector<instance_id>&;
    /// Index of this instance in `ranked`, if it is in it.
    auto position_in(const std::vector<instance_id>& ranked) const -> std::optional<std::size_t>;
    /// Incremented with each change of the members.
    auto revision() const -> std::uint64_t { return revision_; }

private:
    auto largest_cpu_share() const -> double;
    auto has_reachable_member() const -> bool;
    auto update_members() -> void;
    auto rank_members(const std::string& role) const -> std::vector<instance_id>;

    candidate self_;
    std::map<instance_id, candidate> candidates_;
    std::set<instance_id> reachable_;
    std::set<instance_id> members_;
    std::uint64_t revision_{0};
    /// Last time at which a member was known to be reachable; initially the start.
    time_point member_reachable_at_;
    /// Cached results of `ranking` and `zone_ranking`.
    mutable std::map<std::string, std::vector<instance_id>> rankings_;
};

} // namespace cornelswitch
