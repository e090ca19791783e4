#pragma once

#include "adapters/http_message.h"
#include "config/configuration.h"

#include <string>

namespace cornelswitch {

/// Serializes the request line and headers of an HTTP/1.1 request. Hop-by-hop headers are left out.
/// Errors: `invalid_argument` when a part contains characters that would change the framing.
auto write_request_head(const http_request& request, const endpoint& server) -> result<std::string>;

} // namespace cornelswitch
