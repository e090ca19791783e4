#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "routing/dispatcher_directory.h"
#include "routing/load_cache.h"
#include "routing/load_sample.h"
#include "routing/out_of_service_tracker.h"
#include "routing/request_classifier.h"
#include "routing/request_info.h"
#include "routing/retry_budget.h"
#include "routing/routing_view.h"
#include "routing/server_choice.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace cornelswitch {

/// Forward the request to the data port of `instance` for `server`.
struct send_attempt {
    /// Number of this attempt within its request, starting at 1.
    std::uint32_t attempt{1};
    server_id server;
    instance_id instance;
    /// Slot and epoch of keyed requests (header `cornelswitch-slot-epoch`).
    std::optional<slot_index> slot;
    slot_epoch epoch;
    time_point deadline;
    /// True if an earlier attempt is still in progress; the first response wins. It must be passed
    /// on to the dispatcher (`request_info::hedge`).
    bool hedge{false};
};

/// Hold the request. The router decides again on a new view or in `poll`.
struct hold_request {
    time_point until;
};

/// Nothing to do, because another attempt of the request is still in progress.
struct await_attempt {};

using route_decision = std::variant<send_attempt, hold_request, await_attempt, refusal>;

/// A decision that the router made without an event of the request, from a new view or a timer.
struct routed_request {
    request_id id;
    route_decision decision;
};

/// How an attempt failed. The kind determines whether it is certain that the request did not run.
enum class failure_kind : std::uint8_t {
    /// Connection to the instance refused before the first byte.
    connection_refused,
    /// HTTP/2 REFUSED_STREAM.
    stream_refused,
    /// GOAWAY with a last stream identifier below the request's stream.
    goaway_unprocessed,
    /// The instance is not the server's dispatcher (not run). `redirect` may name the right one.
    wrong_dispatcher,
    /// The server does not own the slot under this epoch, or the slot is moving (not run).
    slot_moved,
    /// The dispatcher or server refused with `not-run` because of load or the deadline.
    overloaded,
    /// The dispatcher refused with `not-run` because the server is draining or lost.
    server_unavailable,
    /// The peer answered `unknown`.
    unknown_outcome,
    /// The connection broke after the first byte was sent, or nothing more was received on it.
    connection_lost,
};

struct attempt_failure {
    std::uint32_t attempt{1};
    failure_kind kind{failure_kind::connection_lost};
    std::optional<instance_id> redirect;
    /// Reason given by the peer, for `overloaded` and `server_unavailable`.
    refusal_reason reason{refusal_reason::queue_full};
    /// Retry delay given by the peer; 0 if absent.
    duration retry_after{0};
    /// Load sample that the dispatcher attached to the refusal.
    std::optional<load_sample> load;
};

struct router_options {
    instance_id self;
    zone_id zone;
    std::uint64_t seed{1};
    /// Maximum number of requests held for slots without an owner; further ones are refused
    /// immediately.
    std::size_t max_held_requests{1024};
    /// Chooses the server for services that are not keyed; `choose_power_of_two` if empty.
    server_choice_hook choose_server;
};

/// Makes the routing decisions of one entry task, the task of an instance that receives requests
/// from callers. Uses no sockets, threads or clocks. Every routed request ends with a `refusal`
/// decision, or when the task calls `on_response` or `cancel`.
class entry_router {
public:
    /// Maximum number of attempts that may reach a server, including the first one and hedges.
    static constexpr std::uint32_t max_attempts = 3;
    /// Maximum number of redirects to another dispatcher. They do not use the retry budget.
    static constexpr std::uint32_t max_redirects = 4;
    /// Expected time from the loss of a slot's owner until the slot is served again.
    static constexpr duration expected_takeover_time = std::chrono::milliseconds{1000};
    /// Requests for a slot that has had no owner for longer than this are refused immediately.
    static constexpr duration max_hold_time = std::chrono::milliseconds{1500};
    /// Number of randomly sampled servers that are considered if a service has more than this.
    /// Bounds the time of a decision, which grows with the number of servers: 143 us for all of
    /// 480.
    static constexpr std::size_t server_sample_size = 16;
    /// Interval at which held requests are decided again without a new view.
    static constexpr duration held_retry_interval = std::chrono::milliseconds{50};

    explicit entry_router(router_options options);

    /// Applies a new view from the agent. Returns decisions for held requests that can now be sent
    /// or refused.
    auto set_view(std::shared_ptr<const routing_view> view, time_point now)
        -> std::vector<routed_request>;

    /// Classifies a new request and decides how to route it. `id` is unique within this entry.
    auto route(request_id id, const request_head& head, time_point now) -> route_decision;

    /// Classification of a request that has not ended; null if `id` is unknown.
    auto find(request_id id) const -> const classified_request*;

    /// An attempt failed. The decision is `await_attempt` while another attempt is in progress.
    auto on_failure(request_id id, const attempt_failure& failure, time_point now)
        -> route_decision;

    /// The response headers of an attempt arrived, which ends the request for the router. Returns
    /// the other attempts, which must be cancelled.
    auto on_response(request_id id, std::uint32_t attempt, const std::optional<load_sample>& load,
                     time_point now) -> std::vector<send_attempt>;

    /// The caller has disconnected. Returns the attempts that must be cancelled.
    auto cancel(request_id id) -> std::vector<send_attempt>;

    /// Returns the decisions that are due: hedges, held requests and expired deadlines. A request
    /// whose deadline has passed while an attempt is in progress is refused as `unknown`.
    auto poll(time_point now) -> std::vector<routed_request>;
    auto next_wakeup() const -> std::optional<time_point>;

    /// Instance to which requests for `server` are sent now; none if no dispatcher is known.
    auto dispatcher_of(const server_id& server, time_point now) const -> std::optional<instance_id>
    {
        return directory_.find(server, now);
    }

    /// Counters for metrics.
    struct counters {
        std::uint64_t requests{0};
        std::uint64_t retries{0};
        std::uint64_t hedges{0};
        std::uint64_t redirects{0};
        std::uint64_t held{0};
    };
    auto statistics() const -> const counters& { return counters_; }
    auto loads() const -> const load_cache& { return loads_; }

private:
    struct attempt_state {
        send_attempt sent;
        time_point sent_at;
    };
    struct request_state {
        classified_request request;
        std::vector<attempt_state> in_progress;
        std::vector<server_id> tried;
        std::uint32_t next_attempt{1};
        /// Number of attempts that count towards `max_attempts`.
        std::uint32_t attempts{0};
        std::uint32_t redirects{0};
        bool may_have_run{false};
        std::optional<time_point> hedge_at;
        bool held{false};
        time_point hold_until;
        time_point retry_at;
    };
    using timer = std::pair<time_point, request_id>;
    using request_map = std::unordered_map<request_id, request_state>;
    using budget_key = std::pair<service_id, profile_id>;

    auto decide(request_map::iterator it, time_point now) -> route_decision;
    auto decide_keyed(request_map::iterator it, time_point now) -> route_decision;
    auto decide_unkeyed(request_map::iterator it, time_point now) -> route_decision;
    auto send(request_map::iterator it, send_attempt attempt, time_point now) -> route_decision;
    auto hold(request_map::iterator it, time_point now) -> route_decision;
    auto refuse(request_map::iterator it, refusal_reason reason, duration retry_after)
        -> route_decision;
    auto decide_after_not_run(request_map::iterator it, const attempt_failure& failure,
                              const send_attempt& failed, time_point now) -> route_decision;
    /// Decides about a request when no other dispatcher for its failed attempt is known.
    auto decide_without_dispatcher(request_map::iterator it, const send_attempt& failed,
                                   time_point now) -> route_decision;
    auto decide_after_unreachable(request_map::iterator it, const send_attempt& failed,
                                  time_point now) -> route_decision;
    auto redirect(request_map::iterator it, const attempt_failure& failure,
                  const send_attempt& failed, time_point now) -> route_decision;
    auto retry(request_map::iterator it, time_point now) -> route_decision;
    auto choose(const request_state& state, const service_view& service, time_point now)
        -> std::optional<server_id>;
    auto add_candidate(const request_state& state, const service_view& service,
                       const server_config& server, time_point now,
                       std::vector<server_candidate>& out) const -> void;
    auto is_usable(const server_config& server, time_point now) const -> bool;
    auto is_bound_to_server(const request_state& state) const -> bool;
    auto on_timer(request_map::iterator it, time_point now) -> std::optional<route_decision>;
    auto hedge(request_map::iterator it, time_point now) -> std::optional<route_decision>;
    auto reschedule_hedge(request_map::iterator it, time_point now) -> void;
    auto budgets(const classified_request& request) -> service_budgets&;
    auto current_service(const request_state& state) const -> std::shared_ptr<const service_view>;
    auto unserved_since(const request_state& state, time_point now) -> time_point;
    auto slot_hash(const request_state& state) const -> std::uint64_t;
    auto schedule(request_id id, time_point at) -> void;
    auto end_hold(request_state& state) -> void;

    router_options options_;
    std::shared_ptr<const routing_view> view_;
    load_cache loads_;
    random_engine random_;
    dispatcher_directory directory_;
    out_of_service_tracker out_of_service_;
    std::map<budget_key, service_budgets> budgets_;
    /// When a slot was first found without an owner that serves it.
    std::unordered_map<std::uint64_t, time_point> unserved_slots_;
    request_map requests_;
    /// Min-heap. Timers of ended requests are dropped when they fire.
    std::vector<timer> timers_;
    std::size_t held_{0};
    counters counters_;
};

} // namespace cornelswitch
