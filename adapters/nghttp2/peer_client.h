#pragma once

#include "adapters/nghttp2/client_session.h"
#include "config/configuration.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

struct peer_client_options {
    http2_limits limits;
    duration connect_timeout{std::chrono::milliseconds{200}};
    /// A ping is sent when calls are in progress and nothing was received for this long.
    duration ping_after{std::chrono::milliseconds{100}};
    /// A connection is replaced when nothing was received for this long after a ping.
    duration ping_timeout{std::chrono::milliseconds{300}};
    /// A connection without calls is closed after this time.
    duration idle_timeout{std::chrono::seconds{60}};
};

/// Sends requests to one peer instance, over one connection that is opened on demand and replaced
/// when it fails, stops responding or is shut down by the peer.
///
/// The outcome of a failed call is `not_run` after a refused connection, a refused stream, a GOAWAY
/// with a lower stream id, and for a request that was never passed to the socket; otherwise
/// `unknown`.
class peer_client {
public:
    using call_id = client_session::call_id;

    peer_client(event_loop& loop, endpoint peer, peer_client_options options);
    peer_client(const peer_client&) = delete;
    auto operator=(const peer_client&) -> peer_client& = delete;
    /// Closes all connections. Handlers of pending calls are not called.
    ~peer_client();
    /// Same as the destructor, for an owner whose handlers keep this client alive. The client must
    /// not be used afterwards.
    auto close() -> void;

    auto send(http_request request, response_handlers handlers) -> call_id;
    auto cancel(call_id call) -> void;
    /// Reports that the receiver has processed `n` bytes, so that the peer can send more.
    auto consumed(call_id call, std::size_t n) -> void;
    /// Sends `body` to `path` by POST and collects the complete response. Errors: those of `send`;
    /// `timeout`; `too_large` when the body exceeds `limits.max_body_bytes`.
    auto call(std::string path, std::string body, duration timeout, unary_handler handler) -> void;
    /// Same as above, with any request.
    auto call(http_request request, duration timeout, unary_handler handler) -> void;
    auto open_calls() const -> std::size_t { return call_sessions_.size(); }
    auto address() const -> const endpoint& { return peer_; }
    /// Number of connections opened so far, replacements included.
    auto connections_opened() const -> std::size_t { return connections_opened_; }

private:
    struct unary;

    auto ready_session() -> std::shared_ptr<client_session>;
    auto connect(const std::shared_ptr<client_session>& session) -> void;
    auto drain(client_session& session) -> void;
    auto check_sessions() -> void;
    auto check_session(client_session& session) -> void;
    auto finish_unary(const std::shared_ptr<unary>& call, unary_result outcome) -> void;

    event_loop& loop_;
    endpoint peer_;
    peer_client_options options_;
    std::shared_ptr<client_session> current_;
    /// Sessions that finish their calls and accept no new ones.
    std::list<std::shared_ptr<client_session>> draining_;
    std::unordered_map<call_id, std::weak_ptr<client_session>> call_sessions_;
    std::unordered_map<const client_session*, time_point> last_used_;
    std::unordered_map<const client_session*, time_point> pinged_at_;
    call_id last_call_{0};
    std::size_t connections_opened_{0};
    event_loop::timer_id check_timer_{0};
    time_point last_check_at_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
