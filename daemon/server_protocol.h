#pragma once

#include "adapters/http_message.h"
#include "core/epoch.h"
#include "core/ids.h"
#include "daemon/server_job.h"

#include <cstdint>
#include <string>

/// Headers between a dispatcher and its backend servers.
namespace cornelswitch {

/// Value of `cornelswitch-request-id`; unique across restarts of the dispatcher.
auto wire_request_id(boot_id boot, request_id id) -> std::string;

/// The request as it is sent to the backend server. Moves the body out of the job's exchange.
auto make_server_request(const server_job& it, lease_term term, slot_epoch epoch,
                         std::uint64_t grant_version, boot_id boot) -> http_request;

/// Whether the server refused the request before running it.
auto is_server_refusal(const response_head& head) -> bool;

/// Sets the signal, the boot id and the number of running requests from the head of a response. A
/// missing boot id is 0; a missing number of running requests leaves `out.running` as it is.
auto read_server_head(const response_head& head, server_response& out) -> void;

} // namespace cornelswitch
