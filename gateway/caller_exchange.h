#pragma once

#include "gateway/admission_client.h"
#include "gateway/backend_directory.h"
#include "gateway/gateway_configuration.h"
#include "gateway/gateway_metrics.h"
#include "gateway/node_settings.h"
#include "gateway/server_pool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch {

/// Configuration in force with its route table.
struct active_configuration {
    gateway_configuration content;
    route_table routes;
};

/// What exchanges use of the gateway.
struct exchange_services {
    event_loop& loop;
    server_pool& pool;
    backend_directory& directory;
    admission_client& admissions;
    event_log& log;
    gateway_metrics& metrics;
    /// Null until a configuration was read.
    std::function<std::shared_ptr<const active_configuration>()> configuration;
    /// Chooses a part of a split route.
    std::function<service_id(const gateway_route&)> choose_target;
    answer_limits answers;
};

/// One request of a caller, from its head to the end of its response.
///
/// A request is sent to a server only after the scheduler admitted it. It is sent again only when
/// it is proven not to have run, or when it is idempotent, within the common allowance. Its final
/// answer comes at the latest when its time is up.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
public:
    /// Where the response goes.
    struct output {
        /// Appends response bytes.
        std::function<void(std::string)> write;
        /// The response is complete. The connection stays open when `keeps_connection`.
        std::function<void(bool keeps_connection)> finish;
        /// The response cannot be completed; the connection must be reset.
        std::function<void()> abort;
    };

    caller_exchange(exchange_services& services, http1_head head, output to);

    /// Response for a request that violates a limit or the protocol.
    auto reject(int status, std::string_view reason) -> void;
    auto append_body(std::string_view bytes) -> void { body_.append(bytes); }
    auto body_size() const -> std::size_t { return body_.size(); }
    /// The request is complete.
    auto run() -> void;
    /// The caller is gone.
    auto cancel() -> void;
    /// Gives the final answer now, as at the deadline. A request that was not read whole did not
    /// run.
    auto answer_now() -> void;
    /// The connection's buffer has room again, or has none.
    auto set_writable(bool is_writable) -> void;
    auto is_done() const -> bool { return phase_ == phase::done; }
    auto is_running() const -> bool { return phase_ != phase::reading && phase_ != phase::done; }
    /// Makes the response the last one of its connection. Returns false when it is too late to
    /// announce that.
    auto close_after() -> bool;

private:
    enum class phase : std::uint8_t { reading, waiting, sending, responding, done };

    auto route() -> bool;
    auto request_admission() -> void;
    auto on_decision(const admission_decision& decision) -> void;
    auto send(const server_id& server) -> void;
    /// Gives the admission back: this instance may not send to the server now.
    auto withhold(time_point now) -> void;
    auto on_head(http1_head head, const server_response_info& info) -> void;
    auto on_body(std::string_view bytes) -> void;
    auto on_end() -> void;
    auto on_failure(attempt_outcome outcome, bool was_stale, std::string_view cause) -> void;
    auto on_not_run() -> void;
    auto on_timeout() -> void;
    /// Gives up an answer whose end does not come. What was passed on cannot be taken back, so the
    /// caller's connection is reset.
    auto cut_answer(std::string_view cause) -> void;
    /// Ends the attempt in progress or the wait for one. Returns whether a request was sent.
    auto stop_attempt() -> bool;
    /// Sends the request again after a failure, or answers it.
    auto retry_or(int status, std::string_view reason, bool has_run) -> void;
    auto commit_response() -> void;
    auto respond(int status, std::string_view reason, std::optional<duration> retry_after) -> void;
    auto refuse(std::string_view reason, duration retry_after) -> void;
    auto report(attempt_outcome outcome) -> void;
    auto finish(int status, std::string_view outcome, std::string_view cause) -> void;
    auto abort_response(std::string_view cause) -> void;
    auto time_left() const -> duration;
    auto may_repeat() const -> bool { return route_->kind != request_kind::non_idempotent; }

    exchange_services& services_;
    output output_;
    http1_head head_;
    std::string body_;
    caller_request_info info_;
    std::shared_ptr<const active_configuration> configuration_;
    const gateway_route* route_{nullptr};
    service_id service_;
    bool is_keyed_{false};
    phase phase_{phase::reading};
    time_point received_;
    time_point expires_;
    time_point objective_;
    event_loop::timer_id timer_{0};
    bool keeps_connection_{true};

    std::uint32_t sends_{0};
    std::uint32_t admissions_{0};
    /// An earlier attempt may have run.
    bool may_have_run_{false};
    std::vector<server_id> excluded_;
    std::optional<admission_id> admission_;
    server_id server_;
    std::int64_t server_incarnation_{0};
    /// How long the server would stay cold, as far as was known when the request was sent.
    duration known_cold_{0};
    std::shared_ptr<server_attempt> attempt_;
    time_point sent_at_{};
    duration waited_{0};
    /// The last decision of a scheduler, for the log.
    admission_decision decision_;
    duration service_time_{0};

    http1_head response_;
    server_response_info response_info_;
    std::string response_body_;
    std::uint64_t response_bytes_{0};
    bool is_committed_{false};
    bool is_response_chunked_{false};
    bool is_discarding_{false};
};

} // namespace cornelswitch
