#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/http_server.h"
#include "adapters/nghttp2/peer_client.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/mailbox.h"
#include "daemon/entry_request.h"
#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/peer_protocol.h"
#include "routing/entry_router.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

struct entry_options {
    instance_id self;
    zone_id zone;
    /// Port for callers.
    http_server_options server;
    peer_client_options peer;
    /// Maximum size of a request's path, header names and values in bytes; larger requests are
    /// answered with 431.
    std::size_t max_header_bytes{32 * 1024};
    /// Bound of the memory for request bodies in bytes; further requests with a body are refused.
    std::size_t max_buffered_bytes{64 * 1024 * 1024};
    std::uint64_t seed{1};
    /// Maximum number of requests that wait for a slot without an owner.
    std::size_t max_held_requests{1024};
    /// Chooses the server for services that are not keyed; empty selects the router's default.
    server_choice_hook choose_server;
    duration report_interval{std::chrono::seconds{1}};
    /// Receives a snapshot of all metrics once per report interval. If this mailbox is empty, no
    /// snapshots are made.
    mailbox<std::shared_ptr<const request_metrics>> metrics;
};

/// Serves callers: validates and routes their requests, forwards them to dispatchers and returns
/// the responses. Runs on the thread of its event loop.
class entry_task {
public:
    entry_task(event_loop& loop, entry_options options, const clock& time, logger& log,
               mailbox<agent_message> to_agent);
    entry_task(const entry_task&) = delete;
    auto operator=(const entry_task&) -> entry_task& = delete;
    ~entry_task();

    /// Opens the port for callers. Errors: `invalid_argument`, `unavailable`.
    auto open() -> result<void>;
    auto address() const -> endpoint { return server_->address(); }
    auto handle(entry_message message) -> void;
    auto metrics() const -> const request_metrics& { return metrics_; }
    auto router() const -> const entry_router& { return router_; }
    auto open_requests() const -> std::size_t { return requests_.size(); }

private:
    using request_ptr = std::shared_ptr<entry_request>;
    using attempt_ptr = std::shared_ptr<entry_attempt>;

    auto on_message(const view_changed& changed) -> void;
    auto on_message(const entry_shutdown& shutdown) -> void;

    auto on_request(std::shared_ptr<exchange> caller) -> void;
    auto check_request(const exchange& caller) const -> std::optional<refusal_answer>;
    auto check_body(const entry_request& it) const -> std::optional<refusal_answer>;
    auto route(const request_ptr& it) -> void;
    auto apply(const request_ptr& it, const route_decision& decision) -> void;
    auto apply(const std::vector<routed_request>& decisions) -> void;
    auto refuse(const request_ptr& it, refusal_answer answer) -> void;
    auto refuse(const request_ptr& it, const refusal& refused) -> void;

    auto start_attempt(const request_ptr& it, const send_attempt& sent) -> void;
    auto make_request(const entry_request& it, const send_attempt& sent) const -> http_request;
    auto peer_of(const instance_id& instance) -> std::shared_ptr<peer_client>;
    /// Closes the idle connections to addresses that are not in the view.
    auto remove_unlisted_peers() -> void;

    auto on_head(const request_ptr& it, const attempt_ptr& attempt, response_head head) -> void;
    auto on_data(const request_ptr& it, const attempt_ptr& attempt, std::string_view data) -> void;
    auto on_end(const request_ptr& it, const attempt_ptr& attempt, const call_result& outcome)
        -> void;
    auto on_response_end(const request_ptr& it, const call_result& outcome) -> void;
    auto on_attempt_failed(const request_ptr& it, const attempt_failure& failure) -> void;
    auto on_refused(const request_ptr& it, const attempt_ptr& attempt, const refusal_answer& answer)
        -> void;
    /// Requests the remaining bytes of an interrupted download. Returns false if it cannot be
    /// resumed.
    auto resume(const request_ptr& it) -> bool;
    auto on_resumed_head(const request_ptr& it, const response_head& head) -> void;
    /// Refuses a request whose server answered with a status that promises that the request was not
    /// executed. A server that did not execute it would have refused it.
    auto replace_response(const request_ptr& it, const attempt_ptr& attempt, int status) -> void;
    auto start_response(const request_ptr& it, const attempt_ptr& attempt, response_head head)
        -> void;
    auto abort_response(const request_ptr& it) -> void;
    auto on_caller_disconnected(const request_ptr& it) -> void;
    auto cancel_attempts(entry_request& it) -> void;
    auto finish(const request_ptr& it, request_end end) -> void;
    auto publish_metrics() -> void;

    auto poll() -> void;
    auto schedule_wakeup() -> void;
    auto report_drained() -> void;

    event_loop& loop_;
    entry_options options_;
    const clock& time_;
    logger& log_;
    mailbox<agent_message> to_agent_;
    entry_router router_;
    std::shared_ptr<const routing_view> view_;
    std::unique_ptr<http_server> server_;
    std::map<endpoint, std::shared_ptr<peer_client>> peers_;
    std::unordered_map<request_id, request_ptr> requests_;
    std::uint64_t last_request_id_{0};
    std::size_t buffered_bytes_{0};
    event_loop::timer_id wakeup_{0};
    event_loop::timer_id drain_timer_{0};
    event_loop::timer_id metrics_timer_{0};
    request_metrics metrics_;
    bool shutting_down_{false};
    bool drained_{false};
};

} // namespace cornelswitch
