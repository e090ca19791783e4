#include "routing/out_of_service_tracker.h"

#include "core/hash.h"
#include "routing/idempotency_table.h"

#include <utility>

namespace cornelswitch {

auto out_of_service_tracker::update(const routing_view& view, time_point now) -> void
{
    auto instances = std::exchange(instances_out_since_, {});
    for (const auto& [id, instance] : view.instances) {
        if (!instance.accepts_work) {
            auto earlier = instances.find(id);
            instances_out_since_[id] = earlier == instances.end() ? now : earlier->second;
        }
    }
    auto servers = std::exchange(servers_out_since_, {});
    for (const auto& [name, service] : view.services) {
        for (const auto& it : service->config.servers) {
            if (view.out_of_service.servers.contains(it.id) ||
                view.out_of_service.zones.contains(it.zone)) {
                auto earlier = servers.find(it.id);
                servers_out_since_[it.id] = earlier == servers.end() ? now : earlier->second;
            }
        }
    }
}

auto out_of_service_tracker::accepts(const instance_id& instance, time_point now) const -> bool
{
    auto it = instances_out_since_.find(instance);
    return it == instances_out_since_.end() || now - it->second < instance_grace;
}

auto out_of_service_tracker::is_out(const server_config& server) const -> bool
{
    return servers_out_since_.contains(server.id);
}

auto out_of_service_tracker::idempotency_server(std::uint64_t idempotency_key,
                                                const service_config& service, time_point now) const
    -> const server_config*
{
    const server_config* chosen = nullptr;
    std::uint64_t highest = 0;
    for (const auto& it : service.servers) {
        auto out = servers_out_since_.find(it.id);
        if (out != servers_out_since_.end() && now - out->second > idempotency_table::retention) {
            continue;
        }
        auto weight = hash_bytes(it.id.value(), idempotency_key);
        if (chosen == nullptr || weight > highest) {
            chosen = &it;
            highest = weight;
        }
    }
    return chosen;
}

} // namespace cornelswitch
