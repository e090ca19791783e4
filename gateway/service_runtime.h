#pragma once

#include "fleet/fleet_view.h"
#include "gateway/admission_client.h"
#include "gateway/backend_directory.h"
#include "gateway/conditional_topic_writer.h"
#include "gateway/gateway_configuration.h"
#include "gateway/gateway_metrics.h"
#include "gateway/node_settings.h"
#include "gateway/peer_mesh.h"
#include "gateway/range_coordinator.h"
#include "ownership/coordinator_succession.h"
#include "routing/sliding_window_retry_budget.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cornelswitch {

/// Parts of the gateway that the runtimes of all services share.
struct runtime_context {
    event_loop& loop;
    const clock& time;
    event_log& log;
    gateway_metrics& metrics;
    const node_settings& settings;
    const backend_directory& directory;
    fleet_view& fleet;
    peer_mesh& mesh;
    conditional_topic_writer& store;
    random_engine& random;
    boot_id boot;
    /// Schedules a new read of the coordinator records.
    std::function<void()> refresh;
    /// Called when this instance becomes or ceases to be a coordinator of a service.
    std::function<void()> on_role_change;
    /// Called when another instance reports that a server announced its shutdown.
    std::function<void(const server_id&, std::int64_t incarnation)> on_leaving;
    /// Number of known instances, this one included.
    std::function<std::uint32_t()> instances;
};

/// State of one service at this instance: its scheduler and its coordinator role.
///
/// The coordinator admits the requests of all instances and grants the key leases. Every other
/// instance asks the coordinator to admit each request. When it cannot reach the coordinator, it
/// admits requests on its own.
class service_runtime {
public:
    service_runtime(runtime_context& context, gateway_service service);
    service_runtime(const service_runtime&) = delete;
    auto operator=(const service_runtime&) -> service_runtime& = delete;
    ~service_runtime();

    auto configure(const gateway_service& service) -> void;
    /// Sets whether the store assigns the coordinator role to this instance, as the response to a
    /// call sent at `asked_at` says.
    auto set_assigned(bool is_mine, time_point asked_at) -> void
    {
        succession_.set_assigned(is_mine, asked_at);
    }
    /// Handles the newest coordinator record. It was still the newest one at `confirmed_at`.
    auto on_record(const std::optional<coordinator_record>& record, time_point confirmed_at)
        -> void;
    /// See `coordinator_succession::set_first_start`.
    auto set_first_start() -> void { succession_.set_first_start(); }
    /// The store was restored from a copy.
    auto on_store_era(store_era era) -> void;
    /// Whether the record of the service was read in the present era of the store.
    auto is_record_read() const -> bool { return succession_.is_record_read(); }
    /// The newest record had not changed at `confirmed_at`.
    auto on_confirmed(time_point confirmed_at) -> void;
    auto update_servers(time_point now) -> void;
    auto tick(time_point now) -> void;
    /// Whether the service needs short tick intervals.
    auto is_active() const -> bool;
    auto is_coordinator() const -> bool { return succession_.role().is_held(); }
    /// Whether this instance is the coordinator or can reach it.
    auto has_coordinator() const -> bool
    {
        return is_coordinator() || reachable_coordinator().has_value();
    }
    /// The coordinator, if it is another instance that can be asked.
    auto reachable_coordinator() const -> std::optional<instance_id>;
    /// Whether this instance should resign as coordinator because it reaches too few instances or
    /// servers.
    auto should_resign(time_point now) -> bool;

    auto request(admission_request request, admission_client::decision_handler handler)
        -> admission_id;
    auto withdraw(admission_id id) -> void;
    auto complete(admission_id id, const attempt_report& report) -> void;
    /// A server answered that it does not own `key`.
    auto on_key_not_held(const server_id& server, std::uint16_t key) -> void;
    /// Another server answered at the address of `server`, so `server` has ended.
    auto on_server_ended(const server_id& server, std::int64_t incarnation) -> void;
    /// Service discovery shows that the process of `server` has ended, which every instance sees.
    auto on_server_replaced(const server_id& server, std::int64_t incarnation) -> void;
    /// A server announced its shutdown to this instance; passes that on to the coordinator.
    auto on_server_leaving(const server_id& server, std::int64_t incarnation) -> void;
    /// Counts a health check against the rate limit of a server. Returns false if the limit leaves
    /// no room or requests wait for it.
    auto try_take_health_check(const server_id& server) -> bool;
    /// Servers to which this instance's scheduler admitted requests within the last second.
    auto recently_used_servers(time_point now) -> std::vector<server_id>;
    auto health_path() const -> const std::string& { return service_.health_path; }
    auto budget() -> sliding_window_retry_budget& { return budget_; }

    /// Handles a message from the instance with session number `source`.
    auto on_peer_message(admission_source source, const peer_message& message) -> void;
    /// Handles a coordinator's decision on a request of this instance.
    auto on_answer(const instance_id& from, const admission_answer& answer) -> void;
    /// Handles the answer of an instance that is not the coordinator of this service.
    auto on_declined(const instance_id& from, const admission_declined& answer) -> void;
    auto on_link(const instance_id& node, bool is_up) -> void;
    /// Whether a request waits for a decision of `node`.
    auto is_waiting_for(const instance_id& node) const -> bool;
    /// Ends all requests and admissions of an instance whose session has ended.
    auto drop_source(admission_source source) -> void;
    /// Key of the coordinator record in the store.
    auto key() const -> std::string { return "service/" + service_.name.value(); }
    auto name() const -> const service_id& { return service_.name; }
    auto scheduler() const -> const admission_scheduler& { return scheduler_; }
    auto service() const -> const gateway_service& { return service_; }

private:
    struct pending_request {
        admission_request request;
        admission_client::decision_handler handler;
        /// Instance that decides on the request; none when this one does.
        std::optional<instance_id> asked_instance;
    };
    struct admitted_request {
        server_id server;
    };

    /// Whether a previous coordinator may still admit requests, although this one does.
    auto may_have_predecessor(time_point now) const -> bool;
    auto make_admission_settings() const -> admission_settings;
    auto log_rate_limit(const server_id& server, const std::optional<applied_rate_limit>& limit)
        -> void;
    auto on_decision(const admission_decision& decision) -> void;
    /// Counts what this instance refused, by priority and by ground.
    auto count_refusal(const admission_valuation& it) -> void;
    auto resolve(admission_id id, const admission_decision& decision) -> void;
    auto find_owner(std::uint16_t key) const -> key_owner;
    auto take_over() -> void;
    /// `confirmed_at` is the last time at which `mine` was the newest record.
    auto become_coordinator(const coordinator_record& mine, time_point confirmed_at) -> void;
    auto step_down(std::string_view cause) -> void;
    auto record_ranges(time_point now) -> void;
    /// The ranges that this instance grants; null when it grants none.
    auto authority() -> range_authority* { return ranges_ ? &ranges_->authority() : nullptr; }
    auto authority() const -> const range_authority*
    {
        return ranges_ ? &ranges_->authority() : nullptr;
    }
    auto send_query(const instance_id& node, admission_id id, const admission_request& request)
        -> void;
    /// Submits the requests that wait for a decision of `node` to the local scheduler.
    auto reclaim_requests(const instance_id& node) -> void;
    auto on_query(admission_source source, const admission_query& query) -> void;
    /// Asks the previous coordinator to stop. Called again until it confirms.
    auto request_predecessor_stop() -> void;
    auto on_predecessor_stopped(const role_stopped& answer) -> void;
    /// Confirms to the new coordinator that this instance is not the coordinator any more.
    auto make_stop_confirmation(lease_term successor) const -> role_stopped;

    runtime_context& context_;
    gateway_service service_;
    admission_scheduler scheduler_;
    sliding_window_retry_budget budget_;
    std::unique_ptr<range_coordinator> ranges_;
    coordinator_succession succession_;
    /// Ranges of the newest record by first key. Used to find owners when the coordinator cannot be
    /// reached.
    std::map<std::uint16_t, recorded_range> recorded_ranges_;
    bool is_taking_over_{false};
    time_point next_predecessor_request_{};
    time_point coordinator_since_{};
    /// Since when this coordinator reaches too few instances or servers; zero while it does not.
    time_point cut_off_since_{};

    std::unordered_map<std::uint64_t, pending_request> pending_;
    std::unordered_map<std::uint64_t, admitted_request> admitted_;
    /// When a request was last admitted to each server.
    std::map<server_id, time_point> last_sent_;
    std::uint64_t last_admission_id_{0};

    /// Recorded coordinator that declined a request, and the time until it is not asked again.
    std::optional<instance_id> declined_by_;
    time_point declined_until_{};
    std::unique_ptr<peer_link> predecessor_link_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
