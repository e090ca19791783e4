#pragma once

#include "core/workspace_id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch {

/// Requests that a workspace may run, counted over all instances.
struct request_quota {
    /// Requests per second in the long run.
    double per_second{0};
    /// Requests that may be run at once beyond the rate.
    double burst{0};

    friend auto operator==(const request_quota&, const request_quota&) -> bool = default;
};

/// A customer of the deployment.
struct workspace {
    workspace_id name;
    /// 0 is the most urgent; none leaves the priority of the route.
    std::optional<std::uint32_t> priority;
    /// None when the workspace has no limit.
    std::optional<request_quota> quota;
};

/// A workspace with its API keys, as the operators published it.
struct workspace_definition {
    workspace content;
    std::vector<std::string> api_keys;
};

} // namespace cornelswitch
