#pragma once

#include "adapters/h2o/event_loop.h"
#include "config/configuration.h"
#include "core/error.h"

#include <functional>
#include <memory>

struct st_h2o_socket_t;

namespace cornelswitch {

/// Accepts TCP connections on one address.
class listener {
public:
    using accept_handler = std::function<void(st_h2o_socket_t*)>;

    /// A `receive_buffer` over zero fixes the size of the kernel's receive buffer of each
    /// connection, in bytes.
    /// Errors: `invalid_argument`, `unavailable` when the address cannot be bound.
    static auto open(event_loop& loop, const endpoint& address, accept_handler handler,
                     int receive_buffer = 0) -> result<std::unique_ptr<listener>>;

    listener(const listener&) = delete;
    auto operator=(const listener&) -> listener& = delete;
    ~listener();

    /// Address with the actual port if port 0 was requested.
    auto address() const -> const endpoint& { return address_; }
    /// Accepts all connections in the kernel's backlog. Closing the listener would reset them.
    auto accept_pending() -> void;

private:
    listener(event_loop& loop, endpoint address, int fd, accept_handler handler);
    static auto on_readable(st_h2o_socket_t* socket, const char* err) -> void;

    endpoint address_;
    accept_handler handler_;
    st_h2o_socket_t* socket_;
};

} // namespace cornelswitch
