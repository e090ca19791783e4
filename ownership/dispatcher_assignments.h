#pragma once

#include "config/configuration.h"
#include "core/clock.h"
#include "daemon/messages.h"
#include "ownership/append_throttle.h"
#include "ownership/cell_slots.h"
#include "ownership/records.h"
#include "ownership/safety_rules.h"
#include "ownership/slot_registers.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Inputs from which the assignments of one instance are derived.
struct dispatcher_assignment_context {
    const configuration& config;
    const ownership_state& log;
    const slot_registers& registers;
    const cell_slots& slots;
    cell_id cell;
    /// Whether a server may become the target of a transfer.
    std::function<bool(const server_id&)> is_available;
    /// Whether a slot may be granted. False for slots that need a new epoch after a recovery.
    std::function<bool(const slot_key&)> is_grantable;
};

/// The servers for which this instance holds the dispatcher lease and has read the registers. Plans
/// the assignments that the local dispatcher gets for them, the transfers and releases of their
/// slots, and the log records for these.
class dispatcher_assignments {
public:
    struct register_batch {
        server_id server;
        lease_term term;
        std::vector<register_entry> entries;
    };
    struct append {
        std::uint64_t ticket{0};
        record_body body;
    };

    explicit dispatcher_assignments(const safety_rules& rules) : rules_{rules} {}

    auto begin_assignment(const server_id& server, lease_term term, time_point now) -> void;
    /// Ends an assignment. The next messages tell the dispatcher.
    auto end_assignment(const server_id& server) -> void;
    auto holds(const server_id& server) const -> bool { return assignments_.contains(server); }
    auto is_lost(const server_id& server) const -> bool;
    /// Servers whose state in the log is to be changed: true for those to be recorded as lost. A
    /// server is recorded as available when its assignment has lasted for `available_delay` without
    /// a report of its loss.
    auto state_changes(const ownership_state& log, time_point now) const
        -> std::map<server_id, bool>;

    /// Time for which a server that is taken out of service still gets requests for the slots that
    /// have not been moved. Shorter than 3 s, after which such a server must get no new requests.
    static constexpr duration drain_grace = std::chrono::seconds{2};
    /// Longer than a dispatcher needs to detect that a server is not responding.
    static constexpr duration available_delay = std::chrono::seconds{2};

    auto on_lost(const server_lost& message) -> void;
    auto on_available(const server_available& message) -> void;
    auto on_drained(const slots_drained& message) -> void;
    /// Starts to drain and release slots, so that the log can assign them again, to this cell or to
    /// another one. Ignored when this instance does not dispatch for the server.
    auto request_release(const server_id& server, const std::vector<slot_index>& slots) -> void;

    /// Sets the end of a lease. The dispatcher is told only of changes.
    auto renew(const server_id& server, time_point valid_until) -> void;

    /// Register writes that are due: transfers from lost servers and releases of drained slots.
    auto plan_writes(const dispatcher_assignment_context& context, time_point now)
        -> std::vector<register_batch>;
    /// Register values of an earlier dispatcher of `server`, to be completed under `term`.
    auto plan_completion(const server_id& server, lease_term term,
                         const slot_registers& registers) const -> register_batch;
    /// Log records that are due for committed registers and for slots after a recovery.
    auto plan_appends(const dispatcher_assignment_context& context, append_throttle& throttle,
                      time_point now) -> std::vector<append>;
    /// Messages for the dispatcher since the last call. Without `changed`, only the ends of leases
    /// are compared with what was sent before.
    auto take_messages(const dispatcher_assignment_context& context, bool changed, time_point now)
        -> std::vector<dispatcher_message>;

private:
    struct assignment {
        lease_term term;
        time_point acquired_at;
        time_point valid_until;
        time_point reported_until;
        /// Set while the server is not responding: the time at which its grants have expired.
        std::optional<time_point> grants_expired_at;
        /// Time since which the server or its zone has been out of service.
        std::optional<time_point> out_of_service_since;
        std::set<slot_index> draining;
        std::set<slot_grant, bool (*)(const slot_grant&, const slot_grant&)> drained{&before};
        std::uint64_t availability_reports_handled{0};
        /// Version of the registers that were last searched for values to complete.
        std::optional<std::uint64_t> searched_version;
        std::optional<dispatcher_assignment> sent;

        static auto before(const slot_grant& a, const slot_grant& b) -> bool
        {
            return std::tie(a.slot, a.epoch) < std::tie(b.slot, b.epoch);
        }
    };

    auto find(const server_id& server, lease_term term) -> assignment*;
    auto make_assignment(const server_id& server, assignment& it,
                         const dispatcher_assignment_context& context, time_point now) const
        -> std::optional<dispatcher_assignment>;
    static auto should_drain(assignment& it, const service_config& service,
                             const server_config& server,
                             const dispatcher_assignment_context& context, time_point now) -> bool;
    auto plan_completion(const server_id& server, assignment& it,
                         const dispatcher_assignment_context& context, time_point now) const
        -> std::vector<register_entry>;
    auto plan_transfer(const server_id& server, const assignment& it,
                       const dispatcher_assignment_context& context) const
        -> std::vector<register_entry>;
    auto plan_release(const server_id& server, assignment& it,
                      const dispatcher_assignment_context& context, bool expired) const
        -> std::vector<register_entry>;
    auto append_registers(const server_id& server, const dispatcher_assignment_context& context,
                          append_throttle& throttle, time_point now, std::vector<append>& out)
        -> void;
    auto append_recovery(const server_id& server, const dispatcher_assignment_context& context,
                         append_throttle& throttle, time_point now, std::vector<append>& out)
        -> void;

    safety_rules rules_;
    std::map<server_id, assignment> assignments_;
    std::vector<dispatcher_assignment_ended> ended_;
};

} // namespace cornelswitch
