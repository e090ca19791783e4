#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "routing/admission_value.h"
#include "routing/return_schedule.h"
#include "routing/served_shares.h"
#include "routing/server_rate_limit.h"
#include "routing/shared_rate_limiter.h"
#include "routing/token_bucket.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Identifies an instance that submits requests; unique within one scheduler.
using admission_source = strong_id<struct admission_source_tag, std::uint32_t>;
/// Identifies a request; unique within its source.
using admission_id = strong_id<struct admission_id_tag, std::uint64_t>;
/// Class of requests that take about the same processing time.
using work_class = strong_id<struct work_class_tag, std::uint32_t>;

/// A server as the scheduler sees it.
struct schedulable_server {
    server_id id;
    zone_id zone;
    std::uint32_t slots{1};
    /// Whether new requests may be sent to the server.
    bool is_usable{true};
    /// Until this time the server is cold and tolerates only a few requests.
    time_point cold_until{};
    /// Start time of the server's process, which reveals a restart under the same id; 0 if unknown.
    std::int64_t incarnation{0};
    /// When the server's last heartbeat was read.
    time_point last_heartbeat_at{};
};

/// A request that waits for a server.
struct admission_request {
    admission_source source;
    admission_id id;
    zone_id zone;
    /// Key of a request to a keyed service.
    std::optional<std::uint16_t> key;
    work_class work;
    /// 0 is the most urgent.
    std::uint32_t priority{0};
    /// The response is large, so a server in the caller's zone is preferred.
    bool has_large_response{false};
    time_point received;
    /// A response after this time misses the latency objective.
    time_point objective;
    /// A response after this time is useless to the caller.
    time_point deadline;
    /// Servers that were already tried and must not be chosen again.
    std::vector<server_id> excluded;
    /// Set by the scheduler: owner of the key at the last lookup and, if it had none, the time from
    /// which the key may be served again.
    std::optional<server_id> owner;
    time_point owner_available_at{};
    /// Set by the scheduler: identifies the keys that will get the same owner.
    std::uint16_t first_key_of_range{0};
    /// Set by the scheduler: the response can no longer arrive before the objective.
    bool is_late{false};
    /// Set by the scheduler: on arrival the queue was already too long to meet the objective.
    bool is_expected_late{false};
    /// Set by the scheduler: place in the order in which requests are sent. The lower `rank` goes
    /// first, then the earlier `order_time`.
    double rank{0};
    time_point order_time{};
    /// Set by the scheduler: expected service time, and the value of a response in time for each
    /// slot second.
    duration work_time{0};
    double value{0};
    /// Set by the scheduler: the caller was refused before and returns when it was told to.
    bool is_returning{false};
    /// Set by the scheduler: the request is sent ahead of its priority, because its class was
    /// served too little.
    bool is_underserved{false};
};

enum class admission_outcome : std::uint8_t { send, refuse };

enum class refusal_cause : std::uint8_t {
    none,
    overload,
    no_server,
    no_owner,
    expired,
    /// The rate limit of the servers leaves no room in time.
    rate_limit,
};

/// Name of `cause` in logs and response bodies.
auto to_string(refusal_cause cause) -> std::string_view;

/// Rate limit of a server that was in force when a decision was made.
struct applied_rate_limit {
    request_rate limit;
    /// Time since the last response that named it.
    duration age{0};
    /// Instance that received that response.
    instance_id reported_by;
};

/// Rate limit of a server process as one instance knows it.
struct server_rate_limit_report {
    server_id server;
    std::int64_t incarnation{0};
    request_rate limit;
    /// Times since the request was admitted whose response named the limit last, and since the
    /// response arrived.
    duration requested_age{0};
    duration answered_age{0};
};

/// Grounds of a decision under shortage; see `admission_value`.
struct admission_valuation {
    /// Value of the request, and of the one in favour of which it was refused: for a new request
    /// the least valuable one that waits. 0 if there was none.
    double value{0};
    double favoured_value{0};
    /// Number of more urgent priorities in use.
    std::uint32_t level{0};
    /// The request had waited before it was refused in favour of another one.
    bool is_displaced{false};
    /// The caller was refused before and returned when it was told to.
    bool is_returning{false};
    /// The scheduler expects the refused caller after `retry_after` and has reserved room for it.
    bool has_place{false};
};

struct admission_decision {
    admission_source source;
    admission_id id;
    admission_outcome outcome{admission_outcome::refuse};
    server_id server;
    refusal_cause cause{refusal_cause::none};
    /// Time after which a refused request is likely to be accepted.
    duration retry_after{0};
    /// Time that the request spent in the queue.
    duration queue_time{0};
    /// Grounds of the decision: length of the queue and the expected wait.
    std::uint32_t queue_length{0};
    duration expected_wait{0};
    /// Instance that made the decision; empty if it was this one.
    instance_id decided_by;
    /// Rate limit of the chosen server or, for a refused request, of the owner of its key.
    std::optional<applied_rate_limit> rate_limit;
    admission_valuation valuation;
};

enum class attempt_outcome : std::uint8_t {
    answered,
    /// The server stated that it did not run the request.
    shed,
    /// The server does not own the key, or another server answered at the address.
    misdirected,
    /// No connection could be established.
    unreachable,
    /// The connection broke or the response was unusable.
    broken,
    /// The gateway or the caller ended the attempt.
    canceled,
    /// The instance is currently not allowed to send to the server; nothing was sent.
    withheld,
};

struct attempt_report {
    attempt_outcome outcome{attempt_outcome::answered};
    /// From writing the request to receiving the response head.
    duration service_time{0};
    /// Load that the server reported; slowness is its service time in percent of the usual one.
    std::uint32_t reported_running{0};
    std::uint32_t reported_waiting{0};
    std::uint32_t slowness_percent{0};
    /// The server asked the instance to send no requests for this long.
    duration hold_off{0};
    /// What the response said about the server's rate limit; none if no response arrived or its
    /// limit was malformed.
    std::optional<rate_limit_notice> rate_limit;
};

/// Owner of a key.
struct key_owner {
    /// None while the key is moving or its owner is lost.
    std::optional<server_id> server;
    /// Earliest time at which a key without an owner may be served.
    time_point available_at{};
    /// First key of the range of the key, which has one owner.
    std::uint16_t first_key_of_range{0};
};

struct admission_settings {
    /// True for the coordinator, which schedules the requests of all instances. An instance that
    /// has lost contact with it schedules its own requests independently.
    bool is_coordinator{true};
    /// Requests per second, of all instances together, that a cold server tolerates.
    double cold_limit{1.0};
    /// Whether a coordinator may have a predecessor that still admits requests.
    bool may_have_predecessor{false};
    /// Number of instances that may schedule independently at the same time.
    std::uint32_t instances{1};
    bool is_keyed{false};
    admission_value_settings value;
};

/// Decides for each request of one service which server gets it and when.
///
/// A server gets at most as many concurrent requests as it has slots. Requests therefore wait here,
/// where the most urgent one that can still meet its objective goes first, and not in the server's
/// FIFO queue. Requests that cannot be served in time are refused immediately.
class admission_scheduler {
public:
    using owner_lookup_function = std::function<key_owner(std::uint16_t key)>;
    using decision_callback = std::function<void(const admission_decision&)>;
    /// Receives a server whose rate limit has changed, and the new limit, if there is one.
    using rate_limit_callback =
        std::function<void(const server_id&, const std::optional<applied_rate_limit>&)>;
    /// Returns the instance with number `source`, or an empty id if it has disconnected.
    using source_name_function = std::function<instance_id(admission_source source)>;

    admission_scheduler(admission_settings settings, random_engine& random,
                        decision_callback on_decision);

    auto configure(admission_settings settings, time_point now) -> void;
    auto settings() const -> const admission_settings& { return settings_; }
    auto set_owner_lookup(owner_lookup_function lookup) -> void
    {
        owner_lookup_ = std::move(lookup);
    }
    auto set_rate_limit_callback(rate_limit_callback on_change) -> void
    {
        on_rate_limit_change_ = std::move(on_change);
    }
    auto set_source_name(source_name_function name) -> void { source_name_ = std::move(name); }
    auto set_servers(const std::vector<schedulable_server>& servers, time_point now) -> void;

    /// May invoke the decision callback before it returns.
    auto submit(admission_request request, time_point now) -> void;
    /// Removes a request that its source no longer wants from the queue.
    auto withdraw(admission_source source, admission_id id) -> void;
    /// Counts an in-flight request that another scheduler admitted at `admitted_at`; zero if that
    /// time is unknown.
    auto adopt(admission_source source, admission_id id, const server_id& server, work_class work,
               time_point admitted_at, time_point now) -> void;
    auto complete(admission_source source, admission_id id, const attempt_report& report,
                  time_point now) -> void;
    /// Removes all requests and state of a disconnected source.
    auto drop_source(admission_source source, time_point now) -> void;
    /// Refuses requests that can no longer be served in time and sends those that can be. Call it
    /// about every 20 ms.
    auto tick(time_point now) -> void;

    auto waiting() const -> std::size_t;
    auto in_flight() const -> std::size_t { return running_.size(); }
    /// Requests per second that a server completes when all its slots are busy, discounted if its
    /// service time takes up much of the latency objective.
    auto capacity(const server_id& server) const -> double;
    /// Number of requests that wait for keys of each server.
    auto backlogs() const -> std::map<server_id, std::size_t>;
    /// Number of in-flight requests of one server.
    auto running_on(const server_id& server) const -> std::size_t;
    /// Counts a health check against the rate limit of a server. Returns false if the limit leaves
    /// no room or requests wait for it.
    auto try_take_health_check(const server_id& server, time_point now) -> bool;
    /// All rate limits in force.
    auto known_rate_limits(time_point now) const -> std::vector<server_rate_limit_report>;
    /// Applies a rate limit that another instance knows.
    auto apply_rate_limit(const server_rate_limit_report& report, const instance_id& reporter,
                          time_point now) -> void;
    /// Rate limit of a server, if it has named one.
    auto rate_limit(const server_id& server, time_point now) const
        -> std::optional<applied_rate_limit>;
    /// Number of servers that have a rate limit, and the sum of these limits.
    auto rate_limits() const -> std::pair<std::size_t, request_rate>;
    /// Whether connections to the server failed recently and no heartbeat or response has been
    /// received since.
    auto is_suspect(const server_id& server) const -> bool;

private:
    struct running_request {
        server_id server;
        work_class work;
        /// Zero if another scheduler admitted the request.
        time_point started;
        time_point expires;
        /// Process of the server when the request was admitted.
        std::int64_t incarnation{0};
    };
    struct server_state {
        schedulable_server info;
        std::uint32_t in_flight{0};
        /// Service time relative to an average server.
        double service_time_factor{1.0};
        /// Slowness of its machine that the server reported last, as a factor, and its moving mean.
        double slowness{1.0};
        double mean_slowness{1.0};
        time_point slowness_reported_at{};
        /// Moving mean of the share of failed attempts.
        double failure_rate{0};
        /// Connections fail; set until a response or a newer heartbeat arrives.
        bool is_suspect{false};
        time_point suspect_since{};
        /// When a connection failed. Until the next heartbeat the server may have restarted cold.
        time_point last_unreachable_at{};
        time_point shed_until{};
        std::deque<time_point> cold_sends;
        /// Limits this instance to its share of the cold server's limit while it schedules
        /// independently.
        shared_rate_limiter cold_rate_limiter;
        server_rate_limit rate_limit;
        /// Instance that received the last response that named the rate limit.
        instance_id rate_limit_reporter;
        /// Requests that the coordinator may send within the rate limit.
        token_bucket rate_limit_tokens;
        /// Limits this instance to its share of the rate limit while it schedules independently.
        shared_rate_limiter rate_limit_turns;
    };
    using running_key = std::pair<admission_source, admission_id>;
    /// Requests that wait for the same servers, in the order in which they are sent.
    using wait_queue = std::vector<admission_request>;
    /// Owner whose queue is meant; none for the queue of requests that any server may serve.
    using queue_key = std::optional<server_id>;
    struct refusal {
        admission_request request;
        refusal_cause cause{refusal_cause::none};
        duration retry_after{0};
        /// See `admission_decision`.
        double favoured_value{0};
        bool is_displaced{false};
    };

    /// How fast the requests of a queue are sent.
    struct queue_rate {
        /// Slots, weighted by the speed of their server.
        double slots{0};
        /// Shortest time between two requests that a rate limit allows.
        duration interval{0};

        /// Time by which a request delays those behind it.
        auto delay_of(const admission_request& request) const -> duration;
    };

    /// Whether a server with room for one request gets `left` rather than `right`.
    static auto is_sent_before(const admission_request& left, const admission_request& right)
        -> bool;
    /// Whether only the owner of the request's key may serve it.
    auto follows_owner(const admission_request& request) const -> bool;
    auto resolve_owner(admission_request& request) const -> void;
    auto queue_for(const admission_request& request) -> wait_queue&;
    /// Null if the owner has no queue.
    auto find_queue(const admission_request& request) const -> const wait_queue*;
    auto enqueue(admission_request request) -> void;
    /// Looks up the owner of each waiting keyed request once and requeues those whose owner
    /// changed.
    auto resolve_owners() -> void;
    auto expected_work(work_class work) const -> duration;
    auto expected_time(const server_state& server, work_class work, time_point now) const
        -> duration;
    /// Expected service time of the request at its owner, or at an average server.
    auto estimate(const admission_request& request, time_point now) const -> duration;
    /// Whether the server is suspect and it is too early to try it again.
    static auto is_avoided(const server_state& server, time_point now) -> bool;
    auto may_send(server_state& server, const admission_request& request, time_point now) -> bool;
    auto cold_limit_allows(server_state& server, time_point now) const -> bool;
    /// Part of the server's rate limit that this scheduler may use.
    auto usable_rate(const rate_limit_status& limit) const -> request_rate;
    auto rate_limit_allows(server_state& server, time_point now) const -> bool;
    /// Adds the requests that `limit` allows since the last call.
    auto refill(server_state& server, const rate_limit_status& limit, time_point now) const -> void;
    /// Time until the rate limit allows the request that follows `ahead` others.
    auto rate_limit_wait(const server_state& server, std::size_t ahead, time_point now) const
        -> duration;
    /// Like `rate_limit_wait`, for a request to the owner of its key.
    auto owner_limit_wait(const admission_request& request, time_point now) const -> duration;
    /// Whether a server with a rate limit can get a request now.
    auto has_ready_limited_server(time_point now) const -> bool;
    /// Draws the first turn of this instance at a limited owner.
    auto begin_turns(const admission_request& request, time_point now) -> void;
    auto count_limited_request(server_state& server, time_point now) -> void;
    /// Whether every server that may serve the request has a rate limit.
    auto are_all_servers_limited(const admission_request& request) const -> bool;
    auto score(const server_state& server, const admission_request& request, time_point now) const
        -> double;
    /// Servers with room for one more request, whatever its source.
    auto available_servers(time_point now) -> std::vector<server_state*>;
    auto pick(const admission_request& request, const std::vector<server_state*>& available,
              time_point now) -> server_state*;
    auto send(const admission_request& request, server_state& server, time_point now) -> void;
    auto refuse(const refusal& it, time_point now) -> void;
    /// Whether the source is currently not allowed to send to the server.
    auto is_blocked(admission_source source, const server_id& server, time_point now) const -> bool;
    /// Whether the server has asked sources other than this one to hold off, too.
    auto holds_off_other_sources(admission_source source, const server_id& server,
                                 time_point now) const -> bool;
    /// Earliest time at which the owner of the key may get requests from the request's source.
    auto owner_usable_at(const server_id& owner, const admission_request& request,
                         time_point now) const -> time_point;
    /// Returns a refusal if the request cannot be served in time.
    auto find_refusal(const admission_request& request, time_point now) const
        -> std::optional<refusal>;
    /// Like `find_refusal`, for a new request, which is also refused if the queue is too long. Sets
    /// `is_expected_late`. Moves waiting requests that are refused in favour of the new one from
    /// the queue to `displaced`.
    auto find_refusal_on_arrival(admission_request& request, std::vector<refusal>& displaced,
                                 time_point now) -> std::optional<refusal>;
    /// Sets the place of a new request in the order and its value.
    auto set_value(admission_request& request, time_point now) -> void;
    /// Work of the requests that are sent before `request`.
    auto work_ahead(const wait_queue& queue, const admission_request& request) const -> duration;
    auto valuation_of(const admission_request& request) const -> admission_valuation;
    /// Applies the rule of value to the queue of a new request. Returns whether the new request is
    /// kept.
    auto make_room(const admission_request& request, bool is_short, std::vector<refusal>& displaced,
                   time_point now) -> bool;
    static auto valued(const admission_request& request, const queue_rate& rate) -> valued_request;
    /// Whether waiting requests behind `place` would be refused or late because of the new one.
    auto delays_others(const admission_request& request, const wait_queue& queue,
                       wait_queue::const_iterator place, time_point now) const -> bool;
    auto room_for(const admission_request& request, time_point now) const -> queue_room;
    auto rate_of(const admission_request& request) const -> queue_rate;
    /// Whether two waiting requests compete for the same servers.
    auto shares_servers(const admission_request& left, const admission_request& right) const
        -> bool;
    /// Late requests that may wait for the servers of this one.
    auto late_capacity(const admission_request& request) const -> std::size_t;
    /// The least valuable late request of a queue when the one at `index` becomes late, too; that
    /// one itself unless another is worth clearly less.
    auto least_valuable_late(const wait_queue& queue, std::size_t index) const -> std::size_t;
    /// When the caller of a refused request should return, and whether it has a place then.
    auto invite(const refusal& it, duration expected_wait, time_point now)
        -> return_schedule::invitation;
    auto has_server_for(const admission_request& request, time_point now) const -> bool;
    /// Expected wait of a request whose key has no owner now.
    auto unowned_wait(const admission_request& request, time_point now) const -> duration;
    /// Cause of a refusal for want of room: the key has no owner, or all servers are limited.
    auto shortage_cause(const admission_request& request) const -> refusal_cause;
    /// Number of further late requests that may wait in the queue of this one.
    auto remaining_late_capacity(const admission_request& request) const -> std::size_t;
    auto expected_wait(const admission_request& request, time_point now) const -> duration;
    /// Sends the requests of the queue that can be sent now.
    auto dispatch(const queue_key& key, time_point now) -> void;
    auto dispatch_all(time_point now) -> void;
    auto run_pending_dispatches(time_point now) -> void;
    auto dispatch_owned(const server_id& owner, time_point now) -> void;
    auto dispatch_shared(time_point now) -> void;
    /// Updates which requests are late and restores the order of the queue.
    auto sort_queue(wait_queue& queue, time_point now) const -> void;
    auto update_estimates(server_state& server, const running_request& run,
                          const attempt_report& report, time_point now) -> void;
    auto update_capacity() -> void;
    /// Mean work of the class of requests that takes longest.
    auto longest_work_ms() const -> double;
    auto apply_rate_limit(server_state& server, const running_request& run,
                          const rate_limit_notice& notice, const instance_id& reporter,
                          time_point now) -> void;
    auto update_rate_limit(server_state& server, const std::optional<request_rate>& limit,
                           time_point requested_at, time_point answered_at,
                           const instance_id& reporter, time_point now) -> void;
    static auto applied_limit(const server_state& server, time_point now)
        -> std::optional<applied_rate_limit>;

    admission_settings settings_;
    random_engine& random_;
    decision_callback on_decision_;
    owner_lookup_function owner_lookup_;
    rate_limit_callback on_rate_limit_change_;
    source_name_function source_name_;
    std::map<server_id, server_state> servers_;
    wait_queue shared_queue_;
    std::map<server_id, wait_queue> owner_queues_;
    /// Requests whose key currently has no owner.
    wait_queue unowned_queue_;
    std::map<running_key, running_request> running_;
    std::unordered_map<std::uint32_t, double> mean_work_ms_;
    /// Moving mean of the latency objective of keyed requests, in ms; 0 before the first one.
    double mean_keyed_objective_ms_{0};
    /// Servers that a source could not connect to, and when it may try again.
    std::map<std::pair<admission_source, server_id>, time_point> unreachable_;
    /// Servers that asked a source to hold off, and until when.
    std::map<std::pair<admission_source, server_id>, time_point> held_off_;
    /// Slots of all usable servers, weighted by the speed of their server, as of the last update.
    double usable_capacity_{0};
    /// Mean slots of a server, for requests whose key will get an owner that is not known yet.
    double mean_slots_{1};
    admission_value value_;
    served_shares shares_;
    return_schedule returns_;
    bool is_dispatching_{false};
    std::vector<queue_key> pending_dispatches_;
};

} // namespace cornelswitch
