#pragma once

#include "adapters/h2o/event_loop.h"
#include "config/configuration.h"
#include "core/error.h"

#include <functional>

struct st_h2o_socket_t;

namespace cornelswitch {

using connect_handler = std::function<void(result<st_h2o_socket_t*>)>;

/// Opens a TCP connection. Errors: `connection_refused`, `timeout`, `invalid_argument`. `handler`
/// runs on the loop's thread after this function has returned, and owns the socket that it gets.
auto connect_socket(event_loop& loop, const endpoint& peer, duration timeout,
                    connect_handler handler) -> void;

} // namespace cornelswitch
