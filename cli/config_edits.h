#pragma once

#include "config/configuration.h"
#include "core/error.h"

namespace cornelswitch {

/// Edits of the configuration's lists of zones, instances and servers that are out of service. Each
/// returns whether the configuration changed. Errors: `not_found` for a zone or server that the
/// configuration does not define.

/// With `stopped`, also declares that nothing in the zone runs any more.
auto take_zone_out(configuration& value, const zone_id& zone, bool stopped) -> result<bool>;
/// Returns a zone to service. Also withdraws the declaration that the zone has stopped.
auto return_zone(configuration& value, const zone_id& zone) -> result<bool>;

/// Instances are not defined in the configuration, so any id is accepted.
auto take_instance_out(configuration& value, const instance_id& instance) -> result<bool>;
auto return_instance(configuration& value, const instance_id& instance) -> result<bool>;

auto drain_server(configuration& value, const server_id& server) -> result<bool>;
auto resume_server(configuration& value, const server_id& server) -> result<bool>;

} // namespace cornelswitch
