#pragma once

#include "bench/policy_bench/deployment.h"
#include "bench/policy_bench/event_queue.h"
#include "bench/policy_bench/fake_server.h"
#include "bench/policy_bench/key_source.h"
#include "bench/policy_bench/simulated_slot_table.h"
#include "routing/entry_router.h"
#include "routing/server_scheduler.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch::bench {

/// Policy under test: that of cornelswitch, or a baseline that replaces parts of it through hooks.
struct policy_variant {
    std::string name{"cornelswitch"};
    /// Each entry has its own scheduler for each server. The schedulers share no state, and each
    /// allows the server's full concurrency without a warm-up.
    bool independent{false};
    /// Makes the server choice of an entry; the default choice if empty.
    std::function<server_choice_hook()> make_choice;
};

struct simulation_options {
    std::uint64_t seed{1};
    /// Arrivals as a share of the capacity of all servers.
    double load{0.6};
    /// Names of the services that get load; empty for all.
    std::vector<std::string> services;
    duration deadline{std::chrono::seconds{2}};
    double zipf_exponent{0.9};
    std::size_t keys{20'000};
    /// With any value above 0, responses carry no load samples to the entries.
    duration report_delay{0};
    /// Whether the planner moves slots and hot keys.
    bool planner_enabled{true};
};

enum class request_result : std::uint8_t { pending, success, not_run, unknown, entry_lost };

struct request_record {
    std::uint32_t service{0};
    std::uint32_t entry{0};
    request_class priority{request_class::interactive};
    bool idempotent{true};
    time_point arrival;
    duration latency{0};
    request_result result{request_result::pending};
    refusal_reason reason{refusal_reason::invalid_request};
    std::size_t key{0};
    /// Number of times that a backend server started the request.
    std::uint32_t starts{0};
    /// Ids of the attempts, in the order in which they were sent.
    std::vector<std::uint64_t> attempts;
};

/// Counters of one backend server.
struct server_metrics {
    std::uint64_t starts{0};
    /// Starts with more requests in progress than the limit that the scheduler allowed.
    std::uint64_t over_limit{0};
    time_point last_start;
};

/// Runs the routing code of one deployment in virtual time: one router for each entry, one
/// scheduler for each backend server, fake servers, and messages with the delays of the deployment.
class simulation {
public:
    simulation(const deployment& input, const policy_variant& variant, simulation_options options);

    auto events() -> event_queue& { return events_; }
    auto run_for(duration time) -> void { events_.run_until(events_.now() + time); }
    /// Stops arrivals and runs until the requests in progress have ended.
    auto finish() -> void;

    /// Takes a zone out of service; its servers are drained.
    auto zone_out(std::uint32_t zone) -> void;
    /// Returns a zone to service.
    auto zone_in(std::uint32_t zone) -> void;
    /// Replaces an instance gracefully: other instances take over its servers while it still runs.
    auto hand_over_instance(std::uint32_t instance) -> void;
    /// Stops an instance at once. Other instances take over its servers after its lease has
    /// expired.
    auto kill_instance(std::uint32_t instance) -> void;
    auto server(std::uint32_t service, std::uint32_t index) -> fake_server&;
    /// Stops a keyed server from answering. Its slots are transferred after the failure is detected
    /// and the grants have expired.
    auto freeze_server(std::uint32_t service, std::uint32_t index) -> void;
    auto change_hot_keys() -> void;

    auto records() const -> const std::vector<request_record>& { return records_; }
    auto metrics(std::uint32_t service, std::uint32_t index) const -> const server_metrics&;
    /// Current in-flight limit of the server's scheduler.
    auto limit(std::uint32_t service, std::uint32_t index) const -> std::uint32_t;
    auto moves() const -> std::uint64_t { return table_.moves(); }
    auto unavailable_key_seconds() const -> double { return table_.unavailable_key_seconds(); }
    /// Time at which the instance last sent a request to a backend server.
    auto last_send_of(std::uint32_t instance) const -> time_point { return last_send_[instance]; }
    auto minimum_moves() const -> std::uint64_t { return minimum_moves_; }
    auto table() const -> const simulated_slot_table& { return table_; }
    auto counters() const -> entry_router::counters;
    auto services() const -> const std::vector<service_workload>& { return input_.services; }
    auto zone_of(std::uint32_t service, std::uint32_t index) const -> std::uint32_t;

    /// Time from the failure of a server until it is detected, as the design states it.
    static constexpr duration detection_time = std::chrono::milliseconds{200};
    /// Time until other instances have taken over the servers of an instance that is replaced.
    static constexpr duration handover_time = std::chrono::milliseconds{100};

private:
    struct entry_state {
        std::unique_ptr<entry_router> router;
        std::uint32_t zone{0};
        bool alive{true};
        bool gets_arrivals{true};
        /// Time of the scheduled wake-up; none if no wake-up is scheduled.
        std::optional<time_point> wakeup_at;
    };
    struct scheduler_state {
        std::unique_ptr<server_scheduler> scheduler;
        /// Time of the scheduled wake-up; none if no wake-up is scheduled.
        std::optional<time_point> wakeup_at;
    };
    using scheduler_ptr = std::shared_ptr<scheduler_state>;
    struct simulated_server {
        std::uint32_t service{0};
        std::uint32_t index{0};
        std::unique_ptr<fake_server> fake;
        /// One scheduler, or one for each entry if the policy variant is independent.
        std::vector<scheduler_ptr> schedulers;
        /// Instance that holds the server's lease.
        std::uint32_t dispatcher{0};
        bool lost{false};
        server_metrics metrics;
    };
    struct attempt_record {
        std::size_t request{0};
        std::uint32_t number{1};
        std::size_t server{0};
        std::uint32_t instance{0};
        scheduler_ptr scheduler;
        time_point started;
        bool hedge{false};
        bool pending{true};
        bool running{false};
    };

    auto make_entries(const policy_variant& variant) -> void;
    auto make_servers() -> void;
    auto make_scheduler(const simulated_server& backend) -> scheduler_ptr;
    auto make_view() const -> std::shared_ptr<const routing_view>;
    auto publish_view() -> void;

    auto schedule_arrival(std::uint32_t service) -> void;
    auto handle_arrival(std::uint32_t service) -> void;
    auto pick_entry() -> std::uint32_t;
    auto apply_decision(std::uint32_t entry, std::size_t request, const route_decision& decision)
        -> void;
    auto send(std::uint32_t entry, std::size_t request, const send_attempt& sent) -> void;
    auto finish_request(std::size_t request, request_result result, refusal_reason reason) -> void;
    auto schedule_entry_wakeup(std::uint32_t entry) -> void;

    auto deliver(std::uint64_t attempt) -> void;
    /// Why the dispatcher rejects the attempt; none if it accepts the attempt.
    auto find_delivery_failure(std::uint64_t attempt) -> std::optional<failure_kind>;
    auto fail(std::uint64_t attempt, failure_kind kind, duration delay) -> void;
    auto handle_refusals(std::size_t server, const std::vector<refusal>& refusals) -> void;
    /// Sends the queued requests that are allowed now, and refuses the expired ones.
    auto run_scheduler(std::size_t server, const scheduler_ptr& scheduler) -> void;
    auto schedule_scheduler_wakeup(std::size_t server, const scheduler_ptr& scheduler) -> void;
    auto start(std::size_t server, const scheduler_ptr& scheduler, std::uint64_t attempt) -> void;
    auto handle_server_end(std::uint64_t attempt, bool success) -> void;
    auto send_response(std::uint64_t attempt, const load_sample& load) -> void;
    auto cancel(std::uint64_t attempt) -> void;
    auto renew_grants() -> void;
    auto request_reports() -> void;
    /// Reports the requests in progress at the server to its schedulers.
    auto report_running_count(std::size_t server) -> void;

    auto plan() -> void;
    auto switch_dispatchers(std::uint32_t from, bool graceful) -> void;
    auto successor(std::uint32_t instance) const -> std::uint32_t;
    auto transfer_lost() -> void;
    auto count_minimum_moves() -> void;

    auto link_delay(std::uint32_t from, std::uint32_t to) const -> duration;
    auto server_position(std::uint32_t service, std::uint32_t index) const -> std::size_t;
    auto slot_of(const request_record& request) const -> slot_index;

    deployment input_;
    policy_variant variant_;
    simulation_options options_;
    event_queue events_;
    random_engine random_;
    key_source keys_;
    simulated_slot_table table_;
    std::uint32_t keyed_service_{0};
    std::vector<entry_state> entries_;
    std::vector<simulated_server> servers_;
    /// Position in `servers_` of the first server of each service.
    std::vector<std::size_t> first_server_;
    std::vector<request_record> records_;
    std::vector<attempt_record> attempts_;
    out_of_service_parts out_of_service_;
    std::vector<bool> instance_accepts_;
    std::vector<time_point> last_send_;
    bool arrivals_enabled_{true};
    std::uint64_t minimum_moves_{0};
};

} // namespace cornelswitch::bench
