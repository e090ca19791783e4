#include "config/configuration.h"

namespace cornelswitch {

auto configuration::find_service(const service_id& name) const -> const service_config*
{
    for (const auto& it : services) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

auto configuration::find_profile(const profile_id& name) const -> const profile*
{
    for (const auto& it : profiles) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

auto configuration::find_server(const server_id& id) const -> const server_config*
{
    for (const auto& service : services) {
        for (const auto& it : service.servers) {
            if (it.id == id) {
                return &it;
            }
        }
    }
    return nullptr;
}

} // namespace cornelswitch
