#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/tcp_stream.h"
#include "adapters/http_message.h"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

namespace cornelswitch {

/// Calls one HTTP/1.1 server and reads whole answers, over connections that are kept.
///
/// A call that is given up resets its connection, so that its bytes cannot arrive later.
class unary_client {
public:
    using handler = std::function<void(result<http_response>)>;

    struct options {
        duration connect_timeout{std::chrono::milliseconds{500}};
        std::size_t max_body{8 * 1024 * 1024};
        stream_options stream{std::chrono::milliseconds{1000}, std::chrono::seconds{1}};
        /// An answer that has begun to arrive may take so long in all, so that a large one is not
        /// asked for again and again over a slow link. Zero: no longer than the call's timeout.
        duration longest_answer{0};
        /// Time without bytes after which such an answer is given up all the same.
        duration stall_timeout{std::chrono::milliseconds{400}};
    };

    unary_client(event_loop& loop, endpoint server, options configured);
    unary_client(const unary_client&) = delete;
    auto operator=(const unary_client&) -> unary_client& = delete;
    /// Resets all connections; no handler is called any more.
    ~unary_client();

    /// Errors: `timeout`, `connection_refused` when no connection could be made (nothing was
    /// sent), `connection_lost`, `invalid_message`.
    auto call(http_request request, duration timeout, handler done) -> void;
    /// Called when a connection has ended, for whatever reason.
    auto set_connection_lost(std::function<void()> hook) -> void { on_lost_ = std::move(hook); }
    auto server() const -> const endpoint& { return server_; }
    auto calls() const -> std::uint64_t { return calls_; }

private:
    struct connection;
    using connection_list = std::list<std::shared_ptr<connection>>;

    auto send(const std::shared_ptr<connection>& it) -> void;
    auto on_timeout(const std::shared_ptr<connection>& it) -> void;
    auto finish(const std::shared_ptr<connection>& it, result<http_response> outcome,
                bool keeps_connection) -> void;
    auto on_connected(const std::shared_ptr<connection>& it, std::unique_ptr<tcp_stream> stream)
        -> void;
    auto on_end(const std::shared_ptr<connection>& it) -> void;

    event_loop& loop_;
    endpoint server_;
    options options_;
    connection_list connections_;
    std::function<void()> on_lost_;
    std::uint64_t calls_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
