#pragma once

#include "adapters/operator_documents.h"
#include "config/configuration.h"
#include "daemon/messages.h"
#include "ownership/cell_agent.h"
#include "ownership/instance_list.h"

#include <map>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// State of one cell of this instance, for the status document.
struct cell_report {
    cell_id id;
    cell_membership membership;
    cell_status status;
};

/// Inputs of the status document. The references are used only during the call.
struct status_input {
    const instance_info& self;
    std::string_view state;
    time_point started;
    time_point now;
    config_version version;
    const configuration& config;
    const routing_view& view;
    const std::map<instance_id, instance_info>& instances;
    const std::vector<cell_report>& cells;
    const std::map<server_id, server_load_report>& loads;
    bool log_reachable{false};
    /// When the log last answered a read; empty before the first answer.
    std::optional<time_point> last_log_response;
    bool ready{false};
};

/// Builds the response to `GET /status`.
auto build_status(const status_input& in) -> status_document;

/// Builds the response to `GET /owner`. Errors: `not_found` for a service that is unknown, not
/// keyed or without assigned slots.
auto build_owner(const routing_view& view, const service_id& service, const std::string& key)
    -> result<owner_document>;

} // namespace cornelswitch
