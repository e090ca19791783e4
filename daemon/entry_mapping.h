#pragma once

#include "adapters/http_message.h"
#include "daemon/peer_protocol.h"
#include "routing/download_resume.h"
#include "routing/entry_router.h"

#include <cstdint>

/// Conversion of HTTP messages to the inputs of the routing code.
namespace cornelswitch {

/// Parts of a caller's request that determine its route; refers to `request`.
auto head_of(const http_request& request) -> request_head;
/// Parts of a response that determine whether a download can be resumed; refers to `head`.
auto download_of(const response_head& head) -> download_head;
/// Failure of an attempt that a dispatcher refused.
auto failure_of(std::uint32_t attempt, const refusal_answer& answer) -> attempt_failure;
/// Failure of an attempt whose call ended without a response.
auto failure_of(std::uint32_t attempt, const call_failure& failure) -> attempt_failure;

} // namespace cornelswitch
