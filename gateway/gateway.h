#pragma once

#include "adapters/h2o/listener.h"
#include "gateway/caller_connection.h"
#include "gateway/gateway_metrics.h"
#include "gateway/node_settings.h"
#include "gateway/peer_mesh.h"
#include "gateway/quota_runtime.h"
#include "gateway/service_runtime.h"
#include "gateway/status_server.h"
#include "gateway/store_replicator.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace cornelswitch {

/// Gateway instance. It runs on one event loop.
class gateway final : public admission_client {
public:
    gateway(event_loop& loop, node_settings settings, event_log& log, boot_id boot);
    gateway(const gateway&) = delete;
    auto operator=(const gateway&) -> gateway& = delete;
    ~gateway() override;

    /// Opens the listeners and starts to read the store. Returns the errors of `listener::open`.
    auto start() -> result<void>;
    /// Applies the limits of `next`. Addresses and other settings keep their values.
    auto reload(const node_settings& next) -> void;
    /// Starts a graceful shutdown: readiness checks fail first, then the listener and idle
    /// connections close, and requests in progress are finished.
    auto shut_down() -> void;
    auto is_finished() const -> bool { return is_finished_; }

    auto request(const service_id& service, admission_request request, decision_handler handler)
        -> admission_id override;
    auto withdraw(const service_id& service, admission_id id) -> void override;
    auto complete(const service_id& service, admission_id id, const attempt_report& report)
        -> void override;
    auto on_key_not_held(const service_id& service, const server_id& server, std::uint16_t key)
        -> void override;
    auto on_server_ended(const service_id& service, const server_id& server,
                         std::int64_t incarnation) -> void override;
    auto on_server_leaving(const service_id& service, const server_id& server,
                           std::int64_t incarnation) -> void override;
    auto count_request(const service_id& service) -> void override;
    auto try_take_retry(const service_id& service) -> bool override;

private:
    /// State of the weighted round robin among the services of a route.
    struct weighted_round_robin_state {
        std::vector<double> credit;
    };

    auto open_listeners() -> result<void>;
    auto accept_caller(st_h2o_socket_t* socket) -> void;
    /// Closes a connection in favour of a new one. Returns false when there is none that may be.
    auto close_one_caller() -> bool;
    /// Drops the body, head or response of a caller that is longest without progress. Returns false
    /// when there is none.
    auto free_memory() -> bool;
    /// Responses fill the whole account: reads none until, in the next iteration of the loop, the
    /// callers that hold the most unread bytes have been dropped.
    auto shed_responses() -> void;
    auto drop_largest_response() -> bool;
    auto on_memory_pressure(memory_pressure next) -> void;
    auto collect_eviction_candidates() -> void;
    auto set_memory_metrics() -> void;
    auto make_runtime_context() -> runtime_context;
    /// The service whose coordinator allocates the quotas of workspaces: the first by name.
    auto allocating_service() -> service_runtime*;
    auto quota_hooks() -> quota_runtime::hooks;
    /// Instance that divides the quotas for this one; none when none can be reached.
    auto quota_allocating_instance() -> std::optional<instance_id>;
    auto mesh_hooks() -> peer_mesh::hooks;
    auto replicator_hooks() -> store_replicator::hooks;
    /// Handles a message that a coordinator candidate sent over this instance's link to it.
    auto on_peer_answer(const instance_id& from, const peer_message& message) -> void;
    /// Handles a message from an instance that opened a link to this one.
    auto on_peer_request(admission_source source, const peer_message& message) -> void;
    auto on_operator_records(const std::vector<store_topic::change>& changes) -> void;
    auto on_server_records(const std::vector<store_topic::change>& changes) -> void;
    auto on_coordination_records(const std::vector<store_topic::change>& changes,
                                 time_point confirmed_at) -> void;
    /// Processes the first knowledge that the store was restored from a copy.
    auto on_store_era(store_era era) -> void;
    auto apply_configuration(const std::string& value) -> void;
    /// Updates the state that depends on whether this instance coordinates any service.
    auto apply_role() -> void;
    /// Joins the group by which the store assigns services to coordinators, or renews the
    /// membership, when that is due.
    auto join_group() -> void;
    auto leave_group() -> void;
    /// Passes the assignment of coordinator roles on to the services.
    auto apply_assignments() -> void;
    /// Runs the periodic work of all parts and schedules the next tick.
    auto tick() -> void;
    /// Part of the periodic work that runs less often.
    auto slow_tick(time_point now) -> void;
    /// Logs that ticks ran late, at most once a second.
    auto report_late_ticks(time_point now) -> void;
    /// Asks the servers in use whether they are cold while the store cannot be read.
    auto check_health(time_point now) -> void;
    auto health_client(const server_id& server) -> unary_client*;
    /// Takes the steps of a graceful shutdown that are due.
    auto advance_shutdown(time_point now) -> void;
    auto update_servers(time_point now) -> void;
    auto runtime(const service_id& service) -> service_runtime*;
    auto instances() const -> std::uint32_t;
    auto is_ready() const -> bool;
    auto choose_target(const gateway_route& route) -> service_id;
    auto status(const std::string& path) -> status_response;
    auto has_no_request() const -> bool;

    event_loop& loop_;
    node_settings settings_;
    event_log& log_;
    boot_id boot_;
    random_engine random_;
    gateway_metrics metrics_;
    unary_client store_connections_;
    store_client store_;
    backend_directory directory_;
    fleet_view fleet_;
    peer_mesh mesh_;
    store_replicator replicator_;
    conditional_topic_writer ownership_;
    /// Before the parts that hold bodies and connections, whose reservations refer to it.
    memory_account memory_;
    /// Updated in each slow tick, because links hold bytes for milliseconds only.
    memory_reservation peer_memory_{memory_, memory_kind::peer_message};
    server_pool pool_;
    quota_runtime quotas_;
    exchange_services services_;
    runtime_context context_;
    std::shared_ptr<const active_configuration> configuration_;
    /// Computes the digests of API keys; null until a configuration holds some.
    std::shared_ptr<const keyed_digest> api_key_digest_;
    std::unordered_map<std::string, weighted_round_robin_state> target_selection_;
    std::map<service_id, std::unique_ptr<service_runtime>> runtimes_;

    std::unique_ptr<listener> caller_listener_;
    std::unique_ptr<status_server> readiness_server_;
    std::unique_ptr<status_server> metrics_server_;
    std::map<const caller_connection*, std::shared_ptr<caller_connection>> callers_;
    /// Connections in `callers_` that are not closed.
    std::size_t open_callers_{0};
    /// Filled for one choice at a time; the connections are those at the same indexes.
    std::vector<eviction_candidate> eviction_candidates_;
    std::vector<std::shared_ptr<caller_connection>> evictable_callers_;
    /// Nothing could be freed recently, so the connections are not searched again before this.
    time_point next_memory_search_{};
    bool is_memory_exhausted_{false};
    bool is_shedding_{false};

    std::map<server_id, std::unique_ptr<unary_client>> health_clients_;
    time_point next_health_check_{};

    /// Partitions that the store assigned to this instance; their services are coordinated here.
    std::set<std::uint32_t> partitions_;
    /// When the join call that returned `partitions_` was sent.
    time_point joined_at_{};
    std::uint64_t generation_{0};
    time_point membership_until_{};
    time_point earliest_join_{};
    bool is_joining_{false};
    bool is_coordinator_{false};
    time_point next_join_{};
    time_point next_slow_tick_{};
    /// When the next tick is due, and the longest delay of a tick since the last report.
    time_point tick_due_{};
    duration max_tick_delay_{0};
    time_point next_late_tick_report_{};
    std::uint64_t seen_directory_revision_{0};
    std::uint32_t seen_instances_{0};
    time_point shutdown_started_{};
    bool is_shutting_down_{false};
    bool is_finished_{false};
    event_loop::timer_id tick_timer_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
