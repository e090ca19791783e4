#pragma once

#include "adapters/h2o/listener.h"
#include "adapters/nghttp2/server_session.h"
#include "core/logger.h"

#include <memory>
#include <set>

namespace cornelswitch {

struct peer_server_options {
    endpoint address;
    http2_limits limits;
    /// Maximum number of open connections; further ones are closed at once.
    std::size_t max_connections{2048};
};

/// Serves requests of other instances over HTTP/2 with prior knowledge.
class peer_server {
public:
    /// Errors: those of `listener::open`.
    static auto open(event_loop& loop, peer_server_options options, logger& log,
                     exchange_handler handler) -> result<std::unique_ptr<peer_server>>;
    peer_server(const peer_server&) = delete;
    auto operator=(const peer_server&) -> peer_server& = delete;
    ~peer_server();

    /// Stops accepting connections and sends GOAWAY on every session; requests in progress
    /// continue.
    auto shut_down() -> void;
    auto address() const -> endpoint { return address_; }
    auto open_streams() const -> std::size_t;

private:
    peer_server(event_loop& loop, peer_server_options options, logger& log,
                exchange_handler handler);
    auto accept(st_h2o_socket_t* socket) -> void;

    event_loop& loop_;
    peer_server_options options_;
    logger& log_;
    exchange_handler handler_;
    endpoint address_;
    std::unique_ptr<listener> listener_;
    std::set<std::shared_ptr<server_session>> sessions_;
    bool closing_{false};
};

} // namespace cornelswitch
