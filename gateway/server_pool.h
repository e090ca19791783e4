#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/tcp_stream.h"
#include "adapters/http1/message_parser.h"
#include "core/ids.h"
#include "gateway/request_body.h"
#include "platform/request_codec.h"
#include "routing/admission_scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelswitch {

/// Callbacks for one attempt. The last call is `on_end` or `on_failure`, exactly once.
struct attempt_handlers {
    std::function<void(http1_head, const server_response_info&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_end;
    /// The outcome is `unreachable` when nothing was sent, otherwise `broken`. `was_reused` is true
    /// when an already used connection failed before any byte of the response arrived.
    std::function<void(attempt_outcome, bool was_reused, std::string_view cause)> on_failure;
    /// The request was written to the connection.
    std::function<void()> on_sent;
};

struct server_attempt_request {
    server_id server;
    endpoint address;
    /// Identifies the response; a response that names another request is skipped.
    std::string request_id;
    /// Serialized head of the request, and the body if it is not in `body`.
    std::string bytes;
    /// Body that is sent after `bytes`, block by block. Shared with the other attempts.
    std::shared_ptr<const request_body> body;
    bool is_head{false};
    /// Longest idle time of an open connection that may be reused for the request.
    duration max_idle{0};
};

/// One request sent to one server.
class server_attempt {
public:
    server_attempt() = default;
    server_attempt(const server_attempt&) = delete;
    auto operator=(const server_attempt&) -> server_attempt& = delete;
    virtual ~server_attempt() = default;

    /// Resets the connection, so that the server drops the request. No handler is called
    /// afterwards.
    virtual auto cancel() -> void = 0;
    /// Stops or resumes reading the response.
    virtual auto set_reading(bool enabled) -> void = 0;
    /// Skips the rest of the response, of which the head has arrived. No handler is called
    /// afterwards.
    virtual auto discard_response() -> void = 0;
};

/// Pool of HTTP/1.1 connections to backend servers. Each connection carries one request at a time.
///
/// A connection is reused only when its last response was complete and no bytes followed. A
/// response that names another request is skipped, because a server may answer an earlier request
/// twice.
class server_pool {
public:
    struct options {
        /// Short, because nothing has been sent yet and the request may go to another server.
        duration connect_timeout{std::chrono::milliseconds{300}};
        /// Idle connections are closed after this time.
        duration max_idle{std::chrono::milliseconds{8500}};
        /// Most body bytes of responses to other requests that are skipped during one request.
        std::size_t max_skipped_bytes{256 * 1024};
        /// Limits for the body of a response of which only the head is used. The connection is
        /// closed when the body exceeds them.
        std::size_t max_discarded_bytes{64 * 1024};
        duration discard_timeout{std::chrono::milliseconds{100}};
        /// A connection fails early when its server is gone, but not while the server pauses in a
        /// request body that it reads; then the request's deadline ends the attempt. The receive
        /// buffer bounds what the kernel holds for a response that is not read.
        stream_options stream{.unacknowledged_timeout = std::chrono::milliseconds{900},
                              .keepalive_idle = std::chrono::seconds{2},
                              .receive_buffer = 128 * 1024,
                              .closed_window_timeout = std::chrono::seconds{60}};
    };
    /// Totals since the start of the process.
    struct counters {
        std::uint64_t connects{0};
        std::uint64_t requests{0};
        std::uint64_t stray_responses{0};
        /// Connections closed because bytes arrived while no request was in progress.
        std::uint64_t unexpected_data{0};
    };

    server_pool(event_loop& loop, options settings);
    server_pool(const server_pool&) = delete;
    auto operator=(const server_pool&) -> server_pool& = delete;
    ~server_pool();

    /// The handlers run after this function has returned, except for `on_sent`, which runs at once
    /// on a reused connection.
    auto send(server_attempt_request request, attempt_handlers handlers)
        -> std::shared_ptr<server_attempt>;
    /// Closes connections that were idle for too long and idle connections to unknown servers.
    auto tick(time_point now, const std::function<bool(const server_id&)>& is_known) -> void;
    /// Fails the attempts at a server whose process has ended; their responses cannot arrive any
    /// more.
    auto abandon(const server_id& server) -> void;
    auto totals() const -> const counters& { return counters_; }

private:
    class connection;
    friend class connection;

    auto take_idle_connection(const server_attempt_request& request) -> std::shared_ptr<connection>;
    auto return_to_idle(const std::shared_ptr<connection>& released) -> void;
    auto remove(const connection* closed) -> void;

    event_loop& loop_;
    options options_;
    counters counters_;
    std::map<server_id, std::vector<std::shared_ptr<connection>>> idle_;
    std::map<const connection*, std::shared_ptr<connection>> active_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
