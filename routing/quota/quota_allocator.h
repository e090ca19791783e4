#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/workspace_id.h"
#include "routing/quota/quota_message.h"
#include "routing/quota/request_quota.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Divides the quotas of the workspaces among the instances, by their reports.
///
/// All state is soft: a new allocator starts from the shares and modes in the reports.
class quota_allocator {
public:
    /// A workspace starts or stops to exceed its quota.
    struct change {
        workspace_id workspace;
        bool is_exceeding{false};
        double offered_rate{0};
    };
    /// Allocations for instances that did not report: a mode changed.
    using notices = std::vector<std::pair<instance_id, quota_allocation>>;

    quota_allocator(quota_bounds bounds, time_point now);

    /// Replaces the quotas. The state of workspaces that remain is kept.
    auto configure(const std::vector<std::pair<workspace_id, request_quota>>& quotas,
                   time_point now) -> void;
    auto set_bounds(const quota_bounds& bounds) -> void { bounds_ = bounds; }
    /// Without a report for this long, a member is taken for one that left the fleet.
    static constexpr duration member_timeout = std::chrono::minutes{10};

    /// Sets the number of instances in the fleet, this one included. The number may be too high
    /// after instances left; those that do not report are counted for `member_timeout`.
    auto set_instances(std::uint32_t n) -> void;

    auto on_report(const instance_id& from, boot_id boot, const quota_report& report,
                   time_point now) -> quota_allocation;
    /// Updates modes and forgets instances that do not report.
    auto tick(time_point now) -> void;
    auto take_notices(time_point now) -> notices;
    auto take_changes() -> std::vector<change> { return std::exchange(changes_, {}); }

    auto mode(const workspace_id& workspace) const -> quota_mode;
    /// Requests that may run now beyond the rate; negative after an overrun.
    auto tokens(const workspace_id& workspace) const -> double;
    /// Rate of admitted requests in the last window, as a part of the quota's rate.
    auto used_part(const workspace_id& workspace, time_point now) const -> double;
    /// Sum of the shares that instances may use, including those that are reserved.
    auto sum_of_shares(const workspace_id& workspace, time_point now) const -> double;
    /// Number of records of an instance and a workspace.
    auto records() const -> std::size_t;

private:
    using instance_number = std::uint32_t;

    struct instance_state {
        instance_id id;
        boot_id boot;
        time_point heard_at{};
        std::uint64_t last_allocation{0};
    };

    /// Use of one workspace by one instance.
    struct usage {
        instance_number instance{0};
        /// Offered requests per second, decayed, at `updated_at`.
        double offered_rate{0};
        /// Largest share that the instance may use.
        double reserved_share{0};
        time_point updated_at{};
    };

    struct workspace_state {
        workspace_id name;
        request_quota quota;
        bool is_configured{true};
        quota_mode mode{quota_mode::open};
        time_point limited_since{};
        double tokens{0};
        time_point refilled_at{};
        /// Sum of `usage::offered_rate` at `decayed_at`.
        double offered_rate{0};
        time_point decayed_at{};
        /// Admitted requests per second, decayed over a window, at `used_at`.
        double used_rate{0};
        time_point used_at{};
        bool is_exceeding{false};
        time_point refused_at{};
        /// Sorted by instance.
        std::vector<usage> uses;
        /// `quota_allocation::entry::admitted_part` that all instances know.
        double announced_part{1};
    };

    auto instance_for(const instance_id& id, boot_id boot, time_point now) -> instance_number;
    auto forget(instance_number instance) -> void;
    auto find_usage(workspace_state& it, instance_number instance, time_point now) -> usage&;
    auto members() const -> double;
    auto update_silent(time_point now) -> void;
    auto update_members(time_point now) -> void;
    auto is_starting(time_point now) const -> bool;
    /// Part of the quota that is reserved for instances without contact.
    auto silent_share(const workspace_state& it, time_point now) const -> double;
    auto reserved(const usage& it, time_point now) const -> double;
    /// Sum of the shares reserved for all instances except `instance`.
    auto shares_of_others(const workspace_state& it, std::optional<instance_number> instance,
                          time_point now) const -> double;
    auto refill(workspace_state& it, time_point now) -> void;
    auto decay(workspace_state& it, time_point now) -> void;
    auto update_mode(workspace_state& it, time_point now) -> void;
    /// Part of all offered requests that the quota admits.
    auto admitted_part(const workspace_state& it, time_point now) const -> double;
    auto list_change(workspace_state& it) -> void;
    auto set_mode(workspace_state& it, quota_mode mode, time_point now) -> void;
    /// Requests per second that all instances in contact may admit in mode `limited`.
    auto budget(const workspace_state& it, time_point now) const -> double;
    auto apply(workspace_state& it, instance_number from, const quota_report::entry& entry,
               bool has_all_allocations, time_point now) -> void;
    auto allocate(workspace_state& it, instance_number to, double reported_share, time_point now)
        -> quota_allocation::entry;
    /// Allocation for an instance that did not report the workspace.
    auto announce(const workspace_state& it, instance_number to, time_point now) const
        -> quota_allocation::entry;

    quota_bounds bounds_;
    time_point started_at_;
    std::uint32_t instances_{1};
    std::uint32_t reported_instances_{0};
    /// Since when fewer instances than `instances_` report, and the most that did since.
    std::optional<time_point> missing_since_;
    std::size_t most_heard_{0};
    std::vector<workspace_state> states_;
    std::unordered_map<workspace_id, std::size_t> by_name_;
    std::map<instance_number, instance_state> heard_;
    std::unordered_map<instance_id, instance_number> numbers_;
    instance_number last_number_{0};
    /// Instances without contact, as of `silent_at_`. With a list for each use, the reports of
    /// hundreds of instances would look at each instance for each of their entries.
    std::vector<instance_number> silent_;
    time_point silent_at_{};
    /// Workspaces whose mode or admitted part changed since the last notices.
    std::vector<std::size_t> changed_;
    bool has_changed_mode_{false};
    time_point next_notices_{};
    std::vector<change> changes_;
};

} // namespace cornelswitch
