#include "gateway/gateway_configuration.h"

#include <algorithm>
#include <cctype>

namespace cornelswitch {

namespace {

auto normalized_host(std::string_view host) -> std::string
{
    auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string out{host};
    std::ranges::transform(out, out.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return out;
}

} // namespace

route_table::route_table(const std::vector<gateway_route>& routes)
{
    for (const auto& route : routes) {
        by_host_[normalized_host(route.host)].push_back(route);
    }
    for (auto& [host, host_routes] : by_host_) {
        std::ranges::stable_sort(host_routes, [](const auto& left, const auto& right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
}

auto route_table::find(std::string_view host, std::string_view path) const -> const gateway_route*
{
    auto it = by_host_.find(normalized_host(host));
    if (it == by_host_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find_first_of("?#"));
    for (const auto& route : it->second) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

} // namespace cornelswitch
