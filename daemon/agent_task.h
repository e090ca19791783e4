#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/http_server.h"
#include "adapters/h2o/timer_scope.h"
#include "core/logger.h"
#include "core/mailbox.h"
#include "daemon/control_network.h"
#include "daemon/log_driver.h"
#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/moved_slots.h"
#include "daemon/operator_api.h"
#include "daemon/planner_driver.h"
#include "daemon/status_builder.h"
#include "daemon/view_builder.h"
#include "ownership/cell_agent.h"
#include "ownership/instance_list.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cornelswitch {

struct agent_options {
    instance_info self;
    endpoint control;
    endpoint operations;
    /// Maximum time that a graceful shutdown waits for requests in progress.
    duration shutdown_timeout{std::chrono::seconds{30}};
};

/// External objects that the agent uses. The referenced ones must outlive the agent and are used
/// only on the thread of its loop.
struct agent_dependencies {
    log_service& log;
    instance_list& instances;
    logger& diagnostics;
    mailbox<dispatcher_message> dispatcher;
    std::vector<mailbox<entry_message>> entries;
    /// The shutdown is complete. Called on the agent's thread.
    std::function<void()> on_finished;
};

/// Control plane of one instance: follows the log, participates in cells, sends assignments to the
/// dispatcher and routing views to the dispatcher and the entries, and serves the operator port.
class agent_task {
public:
    agent_task(event_loop& loop, agent_options options, agent_dependencies dependencies);
    agent_task(const agent_task&) = delete;
    auto operator=(const agent_task&) -> agent_task& = delete;
    ~agent_task();

    /// Opens both ports and starts the timers. Errors: a port cannot be opened.
    auto start() -> result<void>;
    /// Handles a message from another task. Only on the loop's thread.
    auto handle(agent_message message) -> void;
    /// Stores the latest metrics snapshot of one task. `source` is the number of the task.
    auto update_metrics(std::size_t source, std::shared_ptr<const request_metrics> snapshot)
        -> void;
    /// Starts the graceful shutdown. Only on the loop's thread.
    auto shut_down() -> void;

    auto control_address() const -> const endpoint& { return control_address_; }
    auto operations_address() const -> endpoint { return operations_->address(); }

private:
    struct cell {
        std::unique_ptr<cell_agent> agent;
        /// Dispatchers that the agent knows from the leases of its cell.
        std::map<server_id, instance_id> dispatchers;
    };
    enum class phase : std::uint8_t {
        running,
        draining_entries,
        draining_dispatcher,
        handing_over
    };

    auto tick() -> void;
    auto poll_instances() -> void;
    auto on_instances(const std::vector<instance_info>& listed) -> void;
    auto publish_self() -> void;
    auto republish_self() -> void;

    auto on_config_changed() -> void;
    auto on_ownership_changed() -> void;
    auto on_log_caught_up(time_point read_sent) -> void;
    auto update_cells() -> void;
    auto find_cell(cell_id id) -> cell&;

    auto on_control_message(const control_message& message) -> result<std::string>;
    auto on_cell_message(const control_message& message) -> result<std::string>;
    auto on_moved_slots(const control_message& message) -> result<std::string>;
    auto refresh_moved_slots() -> void;
    auto announce_moved_slots(cell_id id) -> void;
    auto request_state_copies() -> void;
    auto release_locally(cell_id id, const release_request& request) -> void;
    auto active_membership(cell_id id) const -> std::uint64_t;

    /// Executes the pending actions of the cell's agent.
    auto run(cell_id id) -> void;
    auto run(cell_id id, const send_to_peer& action) -> void;
    auto run(cell_id id, const dispatcher_message& action) -> void;
    auto run(cell_id id, const append_record& action) -> void;
    auto run(cell_id id, const dispatcher_hints& action) -> void;
    template<typename function>
    auto for_each_cell(function visit) -> void;

    auto plan() -> void;
    auto publish_view() -> void;
    auto make_sources() -> operator_sources;
    auto merged_metrics() const -> request_metrics;
    auto make_status() const -> status_document;
    auto cell_reports() const -> std::vector<cell_report>;
    auto state_text() const -> std::string_view;
    auto on_task_drained() -> void;
    auto begin_handover() -> void;

    event_loop& loop_;
    agent_options options_;
    agent_dependencies dependencies_;
    cell_member self_;
    time_point started_;
    control_network network_;
    log_driver log_;
    planner_driver planner_;
    operator_api api_;
    std::unique_ptr<http_server> operations_;
    endpoint control_address_;

    std::shared_ptr<const configuration> config_;
    config_version version_;
    std::shared_ptr<const ownership_state> ownership_;
    /// All instances that have been listed since the start.
    std::map<instance_id, instance_info> instances_;
    /// Content of the latest instance list.
    std::vector<instance_info> listed_;
    std::map<server_id, server_load_report> loads_;
    std::map<std::size_t, std::shared_ptr<const request_metrics>> metrics_;
    std::shared_ptr<const routing_view> view_;
    std::map<cell_id, cell> cells_;
    moved_slots moved_;
    bool view_changed_{false};
    bool ownership_changed_{false};
    time_point next_plan_;
    phase phase_{phase::running};
    /// Number of entries that have not finished their shutdown.
    std::size_t draining_entries_{0};
    /// Last member, so that its timers stop before the other members are destroyed.
    timer_scope timers_;
};

} // namespace cornelswitch
