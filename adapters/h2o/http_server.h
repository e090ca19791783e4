#pragma once

#include "adapters/exchange.h"
#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/listener.h"
#include "config/configuration.h"
#include "core/logger.h"

#include <cstddef>
#include <memory>

namespace cornelswitch {

struct http_server_options {
    endpoint address;
    /// Maximum number of open connections; further ones are closed at once.
    std::size_t max_connections{8192};
    /// Maximum size of a request body. h2o 2.2.5 buffers the body before it passes on the request,
    /// so this limits the memory of one request. Larger bodies get the status 413.
    std::size_t max_body_bytes{1 << 20};
    /// Maximum number of concurrent requests of one HTTP/2 connection.
    std::size_t max_streams{100};
    /// Interval at which connections with an HTTP/1.1 request in progress are checked for a
    /// disconnect of the caller, because h2o does not read from such a connection.
    duration disconnect_check_interval{std::chrono::milliseconds{20}};
};

/// HTTP server for callers and operators: HTTP/1.1, and HTTP/2 with prior knowledge, on one port.
class http_server {
public:
    /// Errors: those of `listener::open`.
    static auto open(event_loop& loop, http_server_options options, exchange_handler handler)
        -> result<std::unique_ptr<http_server>>;
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;
    /// Closes all connections; requests in progress are aborted.
    ~http_server();

    /// Stops accepting connections and announces the shutdown on open ones. Requests in progress
    /// and requests that arrive on open connections are still served.
    auto shut_down() -> void;
    auto open_requests() const -> std::size_t;
    auto open_connections() const -> std::size_t;
    auto address() const -> endpoint;

private:
    class state;
    explicit http_server(std::unique_ptr<state> it);
    std::unique_ptr<state> state_;
};

} // namespace cornelswitch
