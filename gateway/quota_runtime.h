#pragma once

#include "adapters/h2o/event_loop.h"
#include "core/random.h"
#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/peer_mesh.h"
#include "gateway/workspace.h"
#include "routing/quota/quota_allocator.h"
#include "routing/quota/quota_limiter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Quotas of the workspaces at one instance: decides on its requests, reports them to the allocator
/// and is the allocator itself while it is the coordinator of the first service, or takes its place
/// for the instances that cannot reach it.
///
/// Without a workspace with a quota it holds no state and sends nothing.
class quota_runtime {
public:
    struct hooks {
        /// The instance that divides the quotas, this one included; none when none can be reached.
        std::function<std::optional<instance_id>()> allocator;
        /// Number of known instances, this one included.
        std::function<std::uint32_t()> instances;
    };

    quota_runtime(event_loop& loop, event_log& log, gateway_metrics& metrics, peer_mesh& mesh,
                  instance_id self, boot_id boot, hooks context);
    quota_runtime(const quota_runtime&) = delete;
    auto operator=(const quota_runtime&) -> quota_runtime& = delete;
    ~quota_runtime();

    /// Applies the quotas of a configuration. Null when it holds no workspaces.
    auto configure(const std::vector<workspace>* workspaces) -> void;
    auto set_bounds(const quota_bounds& bounds) -> void;
    /// Decides on a request of a workspace with a quota.
    auto admit(const workspace& from) -> quota_decision;
    /// An admitted request was not sent to any server.
    auto give_back(const workspace& from) -> void;
    /// Counts a refusal for the metrics of the workspace.
    auto count_refusal(const workspace& from, std::string_view cause) -> void;

    auto on_report(admission_source source, const quota_report& report) -> void;
    auto on_allocation(const instance_id& from, const quota_allocation& allocation) -> void;
    /// Sets the gauges of the workspaces with the most requests.
    auto update_metrics() -> void;

private:
    /// State that exists only while a workspace has a quota.
    struct active_state {
        explicit active_state(const quota_bounds& bounds, std::uint64_t seed)
            : limiter{bounds, seed}
        {
        }

        quota_limiter limiter;
        /// Set while this instance divides the quotas.
        std::optional<quota_allocator> allocator;
        std::vector<std::pair<workspace_id, request_quota>> quotas;
        /// Sessions of the instances that reported to this one.
        std::unordered_map<instance_id, admission_source> sources;
        /// Refusals by workspace and cause.
        std::unordered_map<workspace_id, std::map<std::string, std::uint64_t, std::less<>>>
            refusals;
    };

    auto tick() -> void;
    auto update_role(time_point now) -> void;
    auto send_report(time_point now) -> void;
    auto send_notices(time_point now) -> void;
    auto log_changes() -> void;

    event_loop& loop_;
    event_log& log_;
    gateway_metrics& metrics_;
    peer_mesh& mesh_;
    instance_id self_;
    boot_id boot_;
    hooks hooks_;
    random_engine random_;
    quota_bounds bounds_;
    std::unique_ptr<active_state> active_;
    event_loop::timer_id timer_{0};
};

} // namespace cornelswitch
