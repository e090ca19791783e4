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

/// State of one agent's cell for operators.
struct cell_report {
    cell_id id;
    cell_membership membership;
    cell_status status;
};

/// What the status document is made of. The references are used only during the call.
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
    std::optional<time_point> log_answered;
    bool ready{false};
};

/// Makes the answer to `GET /status`.
auto build_status(const status_input& in) -> status_document;

/// Makes the answer to `GET /owner`. Errors: `not_found` for an unknown or unkeyed service.
auto build_owner(const routing_view& view, const service_id& service, const std::string& key)
    -> result<owner_document>;

} // namespace cornelswitch
