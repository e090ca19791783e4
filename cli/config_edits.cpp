#include "cli/config_edits.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto undefined_error(const char* kind, const std::string& name) -> error
{
    return {error_code::not_found, "config-edit", "",
            std::string{"the configuration defines no "} + kind + " " + name};
}

auto check_zone(const configuration& value, const zone_id& zone) -> result<void>
{
    if (std::find(value.zones.begin(), value.zones.end(), zone) == value.zones.end()) {
        return undefined_error("zone", zone.value());
    }
    return success();
}

auto check_server(const configuration& value, const server_id& server) -> result<void>
{
    if (value.find_server(server) == nullptr) {
        return undefined_error("server", server.value());
    }
    return success();
}

} // namespace

auto take_zone_out(configuration& value, const zone_id& zone, bool stopped) -> result<bool>
{
    BOOST_OUTCOME_TRYV(check_zone(value, zone));
    auto changed = value.out_of_service.zones.insert(zone).second;
    if (stopped) {
        changed = value.out_of_service.stopped_zones.insert(zone).second || changed;
    }
    return changed;
}

auto return_zone(configuration& value, const zone_id& zone) -> result<bool>
{
    BOOST_OUTCOME_TRYV(check_zone(value, zone));
    auto was_stopped = value.out_of_service.stopped_zones.erase(zone) > 0;
    return value.out_of_service.zones.erase(zone) > 0 || was_stopped;
}

auto take_instance_out(configuration& value, const instance_id& instance) -> result<bool>
{
    return value.out_of_service.instances.insert(instance).second;
}

auto return_instance(configuration& value, const instance_id& instance) -> result<bool>
{
    return value.out_of_service.instances.erase(instance) > 0;
}

auto drain_server(configuration& value, const server_id& server) -> result<bool>
{
    BOOST_OUTCOME_TRYV(check_server(value, server));
    return value.out_of_service.servers.insert(server).second;
}

auto resume_server(configuration& value, const server_id& server) -> result<bool>
{
    BOOST_OUTCOME_TRYV(check_server(value, server));
    return value.out_of_service.servers.erase(server) > 0;
}

} // namespace cornelswitch
