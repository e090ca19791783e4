#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/listener.h"
#include "fleet/candidate.h"
#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/peer_link.h"
#include "routing/admission_scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// Connections between instances. Each instance opens a link to every candidate, and sends requests
/// and receives responses over the links that it opened itself. Links that other instances opened
/// to this one are its sessions.
class peer_mesh {
public:
    struct hooks {
        /// A candidate sent a message over the link that this instance opened.
        std::function<void(const instance_id&, const peer_message&)> on_link_message;
        /// A session sent a message.
        std::function<void(admission_source, const peer_message&)> on_session_message;
        /// The link to a candidate came up or went down.
        std::function<void(const instance_id&, bool is_up)> on_link;
        /// A candidate is shutting down and takes no more work.
        std::function<void(const instance_id&)> on_leaving;
        /// A session sent its hello message.
        std::function<void(admission_source)> on_session;
        std::function<void(admission_source)> on_session_end;
        /// Whether a response of the candidate is outstanding.
        std::function<bool(const instance_id&)> is_response_outstanding;
    };
    /// An instance that opened a link to this one.
    struct session {
        admission_source source;
        candidate sender;
        boot_id boot;
        bool is_candidate{false};
        /// Whether the hello message has arrived.
        bool is_known{false};
        std::unique_ptr<peer_link> link;
    };

    peer_mesh(event_loop& loop, event_log& log, gateway_metrics& metrics, candidate self,
              boot_id boot, hooks receivers);
    peer_mesh(const peer_mesh&) = delete;
    auto operator=(const peer_mesh&) -> peer_mesh& = delete;
    ~peer_mesh();

    /// Errors: those of `listener::open`.
    auto open() -> result<void>;
    /// Opens missing links to these candidates, except this instance itself, and closes all others.
    auto set_candidates(const std::vector<const candidate*>& to) -> void;
    /// Sets whether this instance takes roles, and announces a change over all links.
    auto set_is_candidate(bool is_candidate) -> void;
    /// Reconnects lost links and drops unresponsive ones.
    auto tick(time_point now) -> void;
    /// Announces to all sessions that this instance takes no more work.
    auto announce_shutdown() -> void;

    /// Returns false, and sends nothing, when the link does not work.
    auto send(const instance_id& to, const peer_message& message) -> bool;
    auto is_up(const instance_id& node) const -> bool;
    /// Whether the link to the candidate works and it has not announced its shutdown.
    auto accepts_work(const instance_id& node) const -> bool;
    auto send_to_session(admission_source to, const peer_message& message) -> void;
    /// Sends one message to all sessions that `is_recipient` accepts.
    auto broadcast(const peer_message& message,
                   const std::function<bool(const session&)>& is_recipient) -> void;
    auto send_to_candidates(const peer_message& message) -> void;
    /// Returns null when the session has ended.
    auto find(admission_source source) const -> const session*;
    /// Candidates that have opened a link to this instance.
    auto candidate_sessions() const -> std::size_t;
    auto sessions() const -> std::size_t { return sessions_.size(); }
    /// Bytes of messages of all links that are incomplete or not sent yet.
    auto held_bytes() const -> std::size_t;

private:
    struct candidate_link {
        candidate to;
        std::unique_ptr<peer_link> link;
        bool is_connecting{false};
        /// Whether the other side's hello message has arrived.
        bool is_up{false};
        bool is_leaving{false};
        time_point next_connect{};
        duration reconnect_delay{0};
        time_point last_ping{};
    };

    auto hello() const -> peer_hello;
    auto connect(candidate_link& it, time_point now) -> void;
    auto on_connected(const candidate& to, std::unique_ptr<tcp_stream> stream) -> void;
    auto on_link_message(const instance_id& node, const peer_message& message) -> void;
    auto drop_link(const instance_id& node, std::string_view cause) -> void;
    /// Pings a candidate whose response is overdue. Returns whether it has not responded in time.
    auto check_unresponsive(candidate_link& it, time_point now) -> bool;
    auto accept(st_h2o_socket_t* socket) -> void;
    auto on_session_message(admission_source source, const peer_message& message) -> void;
    auto drop_session(admission_source source) -> void;

    event_loop& loop_;
    event_log& log_;
    gateway_metrics& metrics_;
    candidate self_;
    boot_id boot_;
    hooks hooks_;
    bool is_candidate_{false};
    bool is_leaving_{false};
    std::unique_ptr<listener> listener_;
    std::map<instance_id, candidate_link> links_;
    std::map<admission_source, std::shared_ptr<session>> sessions_;
    std::uint32_t last_source_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
