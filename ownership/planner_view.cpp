#include "ownership/planner_view.h"

#include <algorithm>

namespace cornelswitch {

auto configured_yield_ms(const configuration& config, const std::vector<server_id>& servers)
    -> std::uint64_t
{
    std::uint64_t longest = 0;
    for (const auto& service : config.services) {
        auto is_listed = [&servers](const server_config& it) {
            return std::find(servers.begin(), servers.end(), it.id) != servers.end();
        };
        if (!service.keyed ||
            std::none_of(service.servers.begin(), service.servers.end(), is_listed)) {
            continue;
        }
        const auto* policy = config.find_profile(service.profile);
        if (policy == nullptr || !policy->yield_after) {
            return 0;
        }
        auto ms = std::chrono::ceil<std::chrono::milliseconds>(*policy->yield_after).count();
        longest = std::max(longest, static_cast<std::uint64_t>(ms));
    }
    return std::min(longest, max_yield_after_ms);
}

} // namespace cornelswitch
