#pragma once

#include "core/random.h"
#include "ownership/cell_agent.h"
#include "ownership/grant_table.h"
#include "ownership/grant_tracker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch::test {

/// The only service of the harness.
inline const service_id service{"svc"};

struct harness_options {
    std::uint64_t seed{1};
    safety_rules rules;
    apply_rules log_rules;
    int cells{1};
    int members{3};
    int servers{4};
    std::uint32_t slots{12};
    std::optional<duration> yield_after;
    bool checks_grants{true};
    /// Longest run time of a request on a server that does not check grants; also its deadline.
    duration longest_request{std::chrono::milliseconds{300}};
    /// Share of messages, in percent, that arrive up to 1.5 s late.
    unsigned late_percent{0};
    unsigned loss_percent{0};
    /// Clocks run at the rates at both ends of the drift bound; otherwise they are exact.
    bool drift{true};
    /// The client repeats requests whose answer was lost. This is an injected fault.
    bool repeat_unanswered{false};
    bool trace{false};
};

/// Simulates cells of agents in virtual time, with a minimal dispatcher for each agent, backend
/// servers, a log and a network. Checks the invariants of ownership during the run. Instances are
/// named `i0`, `i1`..., servers `s0`..., the log `log`.
class cell_harness {
public:
    explicit cell_harness(const harness_options& options);
    cell_harness(const cell_harness&) = delete;
    auto operator=(const cell_harness&) -> cell_harness& = delete;
    ~cell_harness() = default;

    auto run_for(duration time) -> void;
    /// Runs until `done` or for `limit`; returns the time it took, or none.
    auto run_until(const std::function<bool()>& done, duration limit) -> std::optional<duration>;

    auto kill(const std::string& instance) -> void;
    /// Starts a new process with the same instance name and updates the membership in the log.
    auto restart(const std::string& instance) -> void;
    auto pause(const std::string& name, duration time) -> void;
    /// As `pause`, but messages of the last 40 ms before the pause are sent when the process
    /// resumes.
    auto pause_in_send(const std::string& instance, duration time) -> void;
    auto shut_down(const std::string& instance) -> void;
    auto cut(const std::string& from, const std::string& to) -> void;
    auto cut_both(const std::string& a, const std::string& b) -> void;
    /// Cuts all links between `names` and all other processes, including the log.
    auto isolate(const std::set<std::string>& names) -> void;
    auto heal() -> void;
    auto kill_server(const std::string& server) -> void;
    auto restart_server(const std::string& server) -> void;
    auto set_loss(unsigned loss_percent, unsigned late_percent) -> void
    {
        options_.loss_percent = loss_percent;
        options_.late_percent = late_percent;
    }
    auto is_up(const std::string& name) const -> bool { return processes_.at(name).up; }
    auto set_log(bool up, bool lose_answers, duration delay) -> void;
    /// While `blocked`, records that instances append are lost.
    auto block_appends(bool blocked) -> void { append_blocked_ = blocked; }
    auto set_members(int cell, const std::vector<std::string>& instances) -> void;
    auto start_instance(const std::string& name) -> void;
    /// Drains and releases a slot, then assigns it to `server`. With `split`, a key of the slot
    /// also gets a slot of its own.
    auto move_slot(std::uint32_t slot, const std::string& server, bool split = false) -> void;
    auto append(record_body body) -> void;

    auto agent(const std::string& instance) -> cell_agent&;
    auto dispatcher_of(const std::string& server) const -> std::string;
    auto owner_of(std::uint32_t slot) const -> std::string;
    auto unserved() const -> std::vector<std::uint32_t>;
    auto all_synced() const -> bool;
    auto log_state() const -> const ownership_state& { return log_state_; }
    auto violations() const -> const std::vector<std::string>& { return violations_; }
    auto executed() const -> std::size_t { return executions_.size(); }
    auto clear_trace() -> void { trace_.clear(); }
    auto trace() const -> const std::string& { return trace_; }
    auto served_epoch(std::uint32_t slot) const -> slot_epoch;

private:
    auto yield_ms() const -> std::uint64_t;

    struct process {
        bool up{true};
        double rate{1};
        duration offset{};
        time_point paused_until;
        std::uint64_t incarnation{0};
    };
    struct dispatched_server {
        dispatcher_assignment assignment;
        grant_tracker tracker;
        bool suspended{false};
        bool lost{false};
        std::uint64_t reports{0};
        time_point next_probe;
        /// Send time of the first unanswered probe. Used for servers that do not check grants and
        /// therefore get no grant messages.
        std::optional<time_point> probe_sent;
        std::map<slot_index, int> in_flight;
    };
    struct instance {
        cell_member member;
        std::unique_ptr<cell_agent> agent;
        std::map<server_id, dispatched_server> dispatched_servers;
        ownership_state log;
        bool reading{false};
        std::uint64_t sequence{0};
        bool leaving{false};
    };
    struct backend {
        std::unique_ptr<grant_table> table;
        lease_term term;
    };
    struct client_request {
        std::uint64_t id{0};
        slot_index slot;
        int attempts{0};
    };
    struct running_request {
        std::string server;
        time_point until;
    };
    auto assigned_server(std::uint32_t slot) const -> std::string;

    using action = std::function<void()>;

    auto local_time(const std::string& name) const -> time_point;
    auto schedule(duration delay, action act) -> void;
    /// Runs `act` on a process after `delay` or at the end of its pause, unless the process has
    /// died or been replaced.
    auto schedule_on(const std::string& name, duration delay, std::uint64_t incarnation, action act)
        -> void;
    auto transmit(const std::string& from, const std::string& to, action act) -> void;
    auto queue_delay(const std::string& queue) -> duration;
    auto add_violation(const std::string& text) -> void;
    auto add_process(const std::string& name) -> void;
    auto tick_instance(const std::string& name, std::uint64_t incarnation) -> void;
    auto take_actions(const std::string& name) -> void;
    auto perform(const std::string& name, const cell_action& it) -> void;
    auto deliver(const std::string& from, const std::string& to, const cell_message& message)
        -> void;
    auto on_dispatcher(const std::string& name, const dispatcher_message& message) -> void;
    auto dispatch_server(const std::string& name, const server_id& server) -> void;
    auto send_grants(const std::string& name, const server_id& server) -> void;
    auto check_server_timeout(const std::string& name, const server_id& server) -> void;
    auto probe_server(const std::string& name, const server_id& server) -> void;
    auto report_drained(const std::string& name, const server_id& server) -> void;
    template<typename message>
    auto send_to_agent(const std::string& name, const message& it) -> void;
    auto read_log(const std::string& name) -> void;
    auto append_from(const std::string& name, const append_record& it) -> void;
    auto add_record(const record_header& header, const record_body& body) -> void;
    auto issue_requests() -> void;
    auto try_request(client_request request) -> void;
    auto execute(const std::string& server, const client_request& request, slot_epoch epoch,
                 lease_term term, std::uint64_t version) -> bool;
    auto check_grants(const std::string& server) -> void;
    auto check_leases() -> void;
    auto advance_moves() -> void;
    auto find_dispatch(const std::string& name, const server_id& server, lease_term term)
        -> dispatched_server*;
    auto trace_message(const std::string& from, const std::string& to, const std::string& text)
        -> void;
    auto add_trace_line(const std::string& line) -> void;

    struct planned_move {
        slot_index slot;
        std::string server;
        bool split{false};
        std::uint64_t major{0};
        bool assigned{false};
    };

    harness_options options_;
    random_engine random_;
    time_point now_{std::chrono::seconds{1000}};
    time_point started_{now_};
    std::multimap<time_point, action> events_;
    std::map<std::string, process> processes_;
    std::map<std::string, instance> instances_;
    std::map<std::string, backend> backends_;
    std::set<std::pair<std::string, std::string>> cut_links_;
    std::map<std::string, time_point> stalled_sends_;
    std::map<std::string, time_point> queues_;
    std::shared_ptr<const configuration> config_;
    std::vector<log_record> records_;
    ownership_state log_state_;
    bool log_up_{true};
    bool lose_answers_{false};
    bool append_blocked_{false};
    duration log_delay_{std::chrono::milliseconds{5}};
    std::uint64_t harness_sequence_{0};
    std::uint64_t last_boot_{100};
    std::uint64_t last_request_{0};
    std::map<server_id, lease_term> newest_terms_;
    std::map<std::uint64_t, int> executions_;
    std::map<slot_index, slot_epoch> served_;
    std::map<slot_index, running_request> running_requests_;
    std::vector<planned_move> moves_;
    std::vector<std::string> violations_;
    std::string trace_;
};

} // namespace cornelswitch::test
