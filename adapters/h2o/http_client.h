#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/http_message.h"
#include "config/configuration.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

struct st_h2o_socket_t;

namespace cornelswitch {

struct http_client_options {
    /// Maximum number of open connections; further calls wait for one.
    std::size_t max_connections{100};
    /// Idle time after which a connection is closed. Short, because the outcome of a request is
    /// unknown when the server closes an idle connection while the request is sent.
    duration idle_timeout{std::chrono::seconds{4}};
    duration connect_timeout{std::chrono::milliseconds{500}};
    /// Number of unconsumed response bytes of one call above which reading pauses.
    std::size_t max_unconsumed_bytes{256 * 1024};
    /// Maximum size in bytes of the response body of `call`.
    std::size_t max_unary_body_bytes{16 * 1024 * 1024};
};

/// HTTP/1.1 client of one server with a connection pool.
///
/// The outcome of a failed call is `not_run` when the connection was refused, when the request was
/// malformed or when the check before the write denied it, otherwise `unknown`. The framing
/// determines whether a response is complete; a body that is delimited by the end of the connection
/// is a failure, because it cannot be distinguished from a truncated one.
class http_client {
public:
    using call_id = std::uint64_t;
    /// Called immediately before the first byte is written; an error prevents the write.
    using write_check = std::function<std::optional<error>()>;

    http_client(event_loop& loop, endpoint server, http_client_options options);
    http_client(const http_client&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;
    /// Closes all connections. Handlers of pending calls are not called. Not to be called from a
    /// handler.
    ~http_client();

    /// Sends a request. Handlers run after this function has returned.
    auto send(http_request request, response_handlers handlers, write_check check = {}) -> call_id;
    /// Closes the connection of the call; its handlers are no longer called.
    auto cancel(call_id call) -> void;
    /// Reports that the receiver has processed `n` bytes, so that more of the response can be read.
    auto consumed(call_id call, std::size_t n) -> void;
    /// Sends a request and collects the complete response. Errors: those of `send`; `timeout`;
    /// `too_large` when the body exceeds `max_unary_body_bytes`.
    auto call(http_request request, duration timeout, unary_handler handler) -> void;
    auto set_max_connections(std::size_t n) -> void { options_.max_connections = n; }
    auto open_calls() const -> std::size_t { return calls_.size(); }
    auto address() const -> const endpoint& { return server_; }

private:
    struct call_state;
    struct unary;
    struct pool;
    struct callbacks;

    auto start(call_state& call) -> void;
    auto start_waiting() -> void;
    auto on_connected(call_state& call, st_h2o_socket_t* socket, const char* err) -> void;
    auto on_input(call_state& call) -> void;
    /// Returns the connection to the pool, or closes it.
    auto release(call_state& call, bool is_reusable) -> void;
    /// Ends the call and destroys `call`.
    auto finish(call_state& call, call_result outcome) -> void;
    auto fail(call_state& call, error_code code, std::string_view step, std::string_view message)
        -> void;
    auto finish_unary(const std::shared_ptr<unary>& call, unary_result outcome) -> void;

    event_loop& loop_;
    endpoint server_;
    http_client_options options_;
    std::unique_ptr<pool> pool_;
    std::unordered_map<call_id, std::unique_ptr<call_state>> calls_;
    std::deque<call_id> waiting_;
    std::size_t connections_{0};
    call_id last_call_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
