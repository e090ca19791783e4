#pragma once

#include "gateway/admission_client.h"
#include "gateway/backend_directory.h"
#include "gateway/gateway_configuration.h"
#include "gateway/gateway_metrics.h"
#include "gateway/node_settings.h"
#include "gateway/quota_runtime.h"
#include "gateway/request_body.h"
#include "gateway/server_pool.h"
#include "gateway/workspace_directory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch {

/// Current configuration with its route table.
struct active_configuration {
    gateway_configuration content;
    route_table routes;
    /// Set when requests need an API key.
    std::optional<workspace_directory> workspaces;
};

/// Parts of the gateway that exchanges use.
struct exchange_services {
    event_loop& loop;
    server_pool& pool;
    backend_directory& directory;
    admission_client& admissions;
    event_log& log;
    gateway_metrics& metrics;
    /// Returns null until a configuration has been read.
    std::function<std::shared_ptr<const active_configuration>()> configuration;
    /// Chooses the service for a request to a route with weighted targets.
    std::function<service_id(const gateway_route&)> choose_target;
    response_limit_settings response_limits;
    quota_runtime& quotas;
    memory_account& memory;
    /// Drops one thing that holds memory without progress. Returns false when there is none.
    std::function<bool()> free_memory;
    /// Responses fill the whole account: stops reading them until some have been dropped.
    std::function<void()> shed_responses;
    body_limit_settings body_limits;
};

/// One request of a caller, from its head to the end of its response.
///
/// A request is sent to a server only after the scheduler has admitted it. It is retried only
/// within the retry budget, and only when it certainly did not run or is idempotent. At the
/// deadline the caller gets a final response if none has begun.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
public:
    /// Receives the response.
    struct output {
        /// Appends response bytes.
        std::function<void(std::string)> write;
        /// The response is complete. The connection stays open when `keeps_connection` is set.
        std::function<void(bool keeps_connection)> finish;
        /// The response cannot be completed; the connection must end after what was written.
        std::function<void()> abort;
        /// Whether all earlier responses of the connection are complete. Nothing of a response that
        /// waits for earlier ones reaches the caller.
        std::function<bool()> is_next;
    };

    caller_exchange(exchange_services& services, http1_head head, output sink);

    /// Responds to a request that violates a limit or the protocol.
    auto reject(int status, std::string_view reason) -> void;
    /// Refuses a request that was not received completely, and closes the connection.
    auto refuse_body(std::string_view reason) -> void;
    /// Reserves memory for a body of `bytes`. Returns false when there is no room.
    auto try_reserve_body(std::uint64_t bytes) -> bool;
    auto reserved_body_bytes() const -> std::uint64_t
    {
        return body_ ? body_->reserved_bytes() : 0;
    }
    /// Appends bytes for which memory was reserved.
    auto append_body(std::string_view bytes) -> void { body_->append(bytes); }
    auto body_size() const -> std::size_t { return body_ ? body_->size() : 0; }
    /// Whether the deadline that the caller stated has passed, so that the request cannot be
    /// served.
    auto is_past_deadline(time_point now) const -> bool { return now >= deadline_; }
    /// Keeps the memory of the request's head reserved until the exchange ends.
    auto hold_head(memory_reservation memory) -> void { head_memory_ = std::move(memory); }
    /// The request was received completely; starts to process it.
    auto run() -> void;
    /// The caller has disconnected.
    auto cancel() -> void;
    /// Sends the final response now, as at the deadline, unless one has begun. A request that was
    /// not received completely is refused, since it did not run.
    auto respond_now() -> void;
    /// All earlier responses of the connection are complete, so this one may be passed on.
    auto on_next() -> void;
    /// Stops reading a response that waits for earlier ones, because memory is short.
    auto pause_waiting_response() -> void;
    auto pause_response() -> void;
    /// Resumes or pauses reading from the server, depending on the space in the caller's buffer.
    auto set_writable(bool is_writable) -> void;
    auto is_done() const -> bool { return phase_ == phase::done; }
    auto is_running() const -> bool { return phase_ != phase::reading && phase_ != phase::done; }
    /// Makes the response the last one of its connection. Returns false when the head of the
    /// response was already sent.
    auto close_after_response() -> bool;

private:
    enum class phase : std::uint8_t { reading, waiting, sending, responding, done };

    auto route() -> bool;
    /// Finds the workspace of the request's API key. Responds and returns false when the route
    /// needs a key and no workspace holds the one that was sent.
    auto authenticate() -> bool;
    /// Counts the request against the quota of its workspace. Responds and returns false when the
    /// quota has no room.
    auto take_quota() -> bool;
    auto priority() const -> std::uint32_t;
    auto request_admission() -> void;
    auto on_decision(const admission_decision& decision) -> void;
    auto send(const server_id& server) -> void;
    /// Returns the admission without sending, because the server may get no request now, and
    /// retries.
    auto withhold_attempt(time_point now) -> void;
    auto on_head(http1_head head, const server_response_info& info) -> void;
    /// Keeps what a valid response says about the server's rate limit for the attempt's report.
    auto note_rate_limit(const server_response_info& info) -> void;
    auto on_body(std::string_view bytes) -> void;
    auto on_end() -> void;
    /// Responds in place of a server whose status promises that the request was not executed
    /// although the server did not state that.
    auto replace_response() -> void;
    auto on_failure(attempt_outcome outcome, bool was_reused, std::string_view cause) -> void;
    auto on_not_run() -> void;
    auto on_timeout() -> void;
    /// Aborts an endless response. If part of it was passed on, the caller's connection ends.
    auto cut_response(std::string_view cause) -> void;
    /// Stops the attempt and sends the response to a request that got none in time.
    auto respond_unanswered() -> void;
    /// Cancels the attempt in progress or the pending admission. Returns whether a request was
    /// sent.
    auto stop_attempt() -> bool;
    /// Retries the request if that is allowed, otherwise responds to it.
    auto retry_or_respond(int status, std::string_view reason, bool may_have_run) -> void;
    /// Stops waiting for the end of the response: passes it on as it arrives, or holds it back
    /// until the earlier responses of the connection are complete.
    auto stream_response() -> void;
    auto commit_response() -> void;
    auto respond(int status, std::string_view reason, std::optional<duration> retry_after) -> void;
    auto refuse(std::string_view reason, duration retry_after) -> void;
    auto report(attempt_outcome outcome) -> void;
    auto finish(int status, std::string_view outcome, std::string_view cause) -> void;
    auto abort_response(std::string_view cause) -> void;
    auto time_left() const -> duration;
    auto is_idempotent() const -> bool { return route_->kind != request_kind::non_idempotent; }

    exchange_services& services_;
    output output_;
    http1_head head_;
    /// Null for a request without a body.
    std::shared_ptr<request_body> body_;
    memory_reservation head_memory_;
    caller_request_info info_;
    std::shared_ptr<const active_configuration> configuration_;
    const gateway_route* route_{nullptr};
    /// Workspace of the caller; null on public routes and when requests need no API key.
    const workspace* workspace_{nullptr};
    /// The request is counted against the quota of its workspace.
    bool holds_quota_{false};
    service_id service_;
    bool is_keyed_{false};
    phase phase_{phase::reading};
    time_point received_;
    time_point deadline_;
    time_point objective_;
    event_loop::timer_id timer_{0};
    bool keeps_connection_{true};

    /// Number of times the request was sent to a server.
    std::uint32_t attempts_sent_{0};
    /// Number of times admission was requested.
    std::uint32_t admission_count_{0};
    /// An earlier attempt may have run.
    bool may_have_run_{false};
    /// Servers that must not get the next attempt.
    std::vector<server_id> excluded_;
    std::optional<admission_id> admission_;
    server_id server_;
    std::int64_t server_incarnation_{0};
    /// Expected remaining cold time of the server when the request was sent.
    duration expected_cold_time_{0};
    std::shared_ptr<server_attempt> attempt_;
    time_point sent_at_{};
    /// When the head of the response arrived.
    time_point answered_at_{};
    /// What the response said about the server's rate limit.
    std::optional<rate_limit_notice> rate_limit_;
    /// Total time that the request waited for admission.
    duration queue_time_{0};
    /// Last decision of a scheduler, for the log.
    admission_decision decision_;
    duration service_time_{0};

    http1_head response_;
    server_response_info response_info_;
    std::string response_body_;
    memory_reservation response_memory_;
    std::uint64_t response_bytes_{0};
    /// The head of the response was passed on, so it cannot be replaced by another one.
    bool is_committed_{false};
    /// The response will be passed on as it arrives, once the earlier ones are complete. Until then
    /// it can be replaced.
    bool is_held_back_{false};
    bool is_response_chunked_{false};
    /// The server rejected the request; the body of its response is ignored.
    bool is_discarding_{false};
};

} // namespace cornelswitch
