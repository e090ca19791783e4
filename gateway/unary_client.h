#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/tcp_stream.h"
#include "adapters/http_message.h"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace cornelswitch {

/// HTTP/1.1 client of one server. It reads complete responses and reuses connections.
///
/// A call that times out resets its connection, so that unsent bytes cannot reach the server later.
class unary_client {
public:
    using handler = std::function<void(result<http_response>)>;

    struct options {
        duration connect_timeout{std::chrono::milliseconds{500}};
        std::size_t max_body{8 * 1024 * 1024};
        stream_options stream{std::chrono::milliseconds{1000}, std::chrono::seconds{1}};
        /// Longest total time of a call whose response has begun to arrive, so that a large
        /// response over a slow link is not requested again and again. Zero keeps the call's
        /// timeout.
        duration max_response_time{0};
        /// Time without received bytes after which such a call fails earlier.
        duration stall_timeout{std::chrono::milliseconds{400}};
        /// Whether a connection serves several calls. A faulty server may answer a call twice, and
        /// the second answer would be taken for the one to the next call.
        bool reuses_connections{true};
    };

    unary_client(event_loop& loop, endpoint server, options settings);
    unary_client(const unary_client&) = delete;
    auto operator=(const unary_client&) -> unary_client& = delete;
    /// Resets all connections. No handler is called afterwards.
    ~unary_client();

    /// Errors: `timeout`, `connection_refused` when the connection failed and nothing was sent,
    /// `connection_lost`, `invalid_message`.
    auto call(http_request request, duration timeout, handler on_response) -> void;
    /// Sets a callback that runs after any connection has ended.
    auto set_on_connection_lost(std::function<void()> hook) -> void
    {
        on_connection_lost_ = std::move(hook);
    }
    auto server() const -> const endpoint& { return server_; }
    /// Number of calls so far.
    auto calls() const -> std::uint64_t { return calls_; }

private:
    struct connection;
    using connection_list = std::list<std::shared_ptr<connection>>;

    auto send(const std::shared_ptr<connection>& conn) -> void;
    auto on_timeout(const std::shared_ptr<connection>& conn) -> void;
    auto finish(const std::shared_ptr<connection>& conn, result<http_response> outcome,
                bool keeps_connection) -> void;
    auto on_connected(const std::shared_ptr<connection>& conn, std::unique_ptr<tcp_stream> stream)
        -> void;
    auto on_end(const std::shared_ptr<connection>& conn, stream_end reason) -> void;

    event_loop& loop_;
    endpoint server_;
    options options_;
    connection_list connections_;
    std::function<void()> on_connection_lost_;
    std::uint64_t calls_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
