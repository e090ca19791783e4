#pragma once

#include "core/workspace_id.h"
#include "routing/quota/request_quota.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch {

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
