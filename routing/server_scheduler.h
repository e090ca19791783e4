#pragma once

#include "config/configuration.h"
#include "core/clock.h"
#include "core/ids.h"
#include "routing/in_flight_tracker.h"
#include "routing/load_sample.h"
#include "routing/request_info.h"
#include "routing/request_queue.h"
#include "routing/service_time_estimator.h"
#include "routing/warmup_ramp.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace cornelswitch {

/// What a response says about the state of the backend server.
enum class response_signal : std::uint8_t {
    success,
    /// Refused before running (409 or 503 with `cornelswitch-outcome: not-run`).
    shed,
    /// Any other 5xx, or a truncated response.
    failure,
    /// The server reported that it is cold.
    cold,
};

struct server_response {
    request_id id;
    response_signal signal{response_signal::success};
    /// From the first byte sent to the end of the response.
    duration latency{0};
    /// Header `cornelswitch-boot`, which changes on each restart; 0 if absent.
    boot_id boot;
    /// Header `cornelswitch-running`: requests in progress at the server, except the answered one.
    std::optional<std::uint32_t> running;
};

/// When a connection failed, relative to the request that used it.
enum class send_progress : std::uint8_t { before_first_byte, after_first_byte };

struct submit_result {
    /// Whether the submitted request waits in the queue.
    bool queued{false};
    /// Requests that are refused now: the submitted one, or a queued one that it displaced.
    std::vector<refusal> refusals;
};

enum class cancel_result : std::uint8_t {
    /// The request was queued and never sent; its outcome is `not-run`.
    removed,
    /// The request was sent; the server should be told to cancel it.
    in_flight,
    not_found,
};

/// Replaces the in-flight limit, for benchmark baselines. The argument is the regular limit.
using limit_hook = std::function<std::uint32_t(std::uint32_t)>;

/// Decides which requests one backend server gets, and when. It is owned by the server's only
/// dispatcher. Uses no sockets, threads or clocks; `now` must never decrease between calls.
///
/// Every accepted request ends exactly once: in a `refusal` returned by `submit` or `expire`, in
/// `cancel`, or, after `take_next` has returned it, in `on_response` or `on_connection_failed`. A
/// request that the caller gave up counts against the limits until the server reports that it ended
/// or a time limit passes.
class server_scheduler {
public:
    server_scheduler(server_config server, profile policy, limit_hook limit = {});

    /// Applies a changed configuration. The in-flight count and the warm-up state are kept.
    auto configure(server_config server, profile policy) -> void;

    /// Starts as the server's new dispatcher. `running` is the number of requests that the server
    /// still runs for the previous dispatcher; they count against the limits. Restarts the
    /// warm-up.
    auto take_over(std::uint32_t running, time_point now) -> void;

    /// Queues the request or refuses it with outcome `not-run`.
    auto submit(const request_info& request, time_point now) -> submit_result;

    /// Returns a request to send now, or none. Call repeatedly until it returns none.
    auto take_next(time_point now) -> std::optional<request_info>;

    /// A response, or the part of it that carries the result, arrived. For an unknown id only the
    /// running count and the boot id are evaluated.
    auto on_response(const server_response& response, time_point now) -> void;

    /// A connection failed. Returns the outcome to report to the caller. Restarts the warm-up,
    /// because connections also break when a server restarts.
    auto on_connection_failed(request_id id, send_progress progress, time_point now)
        -> request_outcome;

    /// The server closed all its idle connections at once, as it does on a restart. Restarts the
    /// warm-up, because the boot id reveals the restart only in the next response or grant renewal.
    auto on_restart_suspected() -> void { ramp_.restart(); }

    /// The server answered a grant renewal or health check, independent of any request.
    auto on_report(boot_id boot, std::uint32_t running, time_point now) -> void;

    /// The server confirmed a cancellation, so that the request no longer runs.
    auto on_cancel_confirmed(request_id id) -> void;

    /// The caller has disconnected. A request in flight is still counted.
    auto cancel(request_id id, time_point now) -> cancel_result;

    /// Stops accepting requests. Queued ones are still sent for `drain_send_time`.
    auto drain(time_point now) -> void;
    /// Revokes `drain`: accepts requests again.
    auto resume() -> void;
    /// Stops sending, because the lease or the server is lost or the lease was handed over. Returns
    /// a refusal for every queued request. Responses to requests in flight are still accepted.
    auto stop() -> std::vector<refusal>;

    /// Returns the requests that must be refused now. A request in flight past its deadline is
    /// refused as `unknown` and is still counted. Call after responses and at `next_wakeup`.
    auto expire(time_point now) -> std::vector<refusal>;

    /// Time at which `expire` and `take_next` must be called if no other event comes first.
    auto next_wakeup() const -> std::optional<time_point>;

    auto load() const -> load_sample;
    /// Requests that the server may be running, including abandoned and inherited ones.
    auto in_flight() const -> std::uint32_t { return in_flight_tracker_.total(); }
    auto queued() const -> std::size_t { return queue_.size(); }
    /// Current limit of `in_flight`.
    auto limit() const -> std::uint32_t;
    /// Connections that may be open now. Those that the previous dispatcher's requests occupy are
    /// subtracted.
    auto connection_limit() const -> std::uint32_t;
    /// True while inherited or abandoned requests use up a part of the limit. The dispatcher then
    /// asks the server for its running count every `report_interval` and passes it to `on_report`.
    auto needs_report() const -> bool
    {
        return in_flight_tracker_.total() > in_flight_tracker_.active();
    }
    /// True if no request is queued and no response is awaited.
    auto idle() const -> bool { return queue_.empty() && in_flight_tracker_.active() == 0; }

    static constexpr duration drain_send_time = std::chrono::seconds{2};
    /// A request is accepted only if this multiple of the mean service time is left before its
    /// deadline. With 1, half of the requests that are just accepted would miss their deadline.
    static constexpr int service_time_margin = 2;
    /// Hedges leave this part (one third) of the limit free for first attempts. With one quarter,
    /// hedges delay first attempts and raise the p99 by 0.7% while one server is slow.
    static constexpr std::uint32_t hedge_reserve_divisor = 3;
    /// Pause after a connection that failed before the first byte, so that the queued requests do
    /// not all fail on a server that is down.
    static constexpr duration connect_backoff = std::chrono::milliseconds{20};
    /// Interval at which the server is asked for its running count while `needs_report`. Grant
    /// renewals alone report it only every 200 ms; after a take-over at 60% load, the queue fills
    /// up in that time, before the first request can be sent.
    static constexpr duration report_interval = std::chrono::milliseconds{20};
    /// Interval at which queued requests are checked against the current estimate.
    static constexpr duration recheck_interval = std::chrono::milliseconds{5};

private:
    auto update_boot_id(boot_id boot) -> void;
    auto update_ramp(const server_response& response) -> void;
    auto misses_deadline(const request_info& request, time_point end, time_point now) const -> bool;
    auto required_time(std::size_t ahead) const -> duration;
    auto wait_time(std::size_t ahead) const -> duration;
    auto make_queue_full_refusal(const request_info& request) const -> refusal;
    auto make_deadline_refusal(const request_info& request, std::size_t ahead, time_point now) const
        -> refusal;
    auto expire_queue(time_point now, std::vector<refusal>& out) -> void;
    auto expire_in_flight(time_point now, std::vector<refusal>& out) -> void;

    server_config server_;
    profile policy_;
    limit_hook limit_hook_;
    request_queue queue_;
    in_flight_tracker in_flight_tracker_;
    warmup_ramp ramp_;
    service_time_estimator service_time_;
    boot_id boot_id_;
    bool draining_{false};
    time_point drain_until_;
    /// After a failed connection, nothing is sent before this time.
    time_point send_paused_until_;
    time_point last_checked_at_;
    /// Refusals found by `take_next`, to be returned by the next call of `expire`.
    std::vector<refusal> pending_refusals_;
};

} // namespace cornelswitch
