#pragma once

#include "config/configuration.h"
#include "core/clock.h"
#include "core/epoch.h"
#include "core/ids.h"
#include "routing/routing_view.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Messages between the tasks of one daemon. Each task owns its state and sockets; messages are
/// moved into the mailbox of the receiving task.
namespace cornelswitch {

/// A slot that a backend server owns under `epoch`.
struct slot_grant {
    slot_index slot;
    slot_epoch epoch;
    friend auto operator==(const slot_grant&, const slot_grant&) -> bool = default;
};

/// agent -> dispatcher. Assigns a backend server to the dispatcher, under a lease. A newer message
/// for the same server replaces the older one completely.
struct dispatcher_assignment {
    service_id service;
    server_config server;
    profile policy;
    bool keyed{true};
    std::set<std::string> idempotent_methods;
    lease_term term;
    /// When this instance acquired the dispatcher lease. Requests with an idempotency key that were
    /// sent before may have run for an earlier dispatcher.
    time_point acquired_at;
    /// The dispatcher may write to the server only before this time.
    time_point valid_until;
    /// Slots that the server owns; a keyed request for any other slot is refused as not run.
    std::vector<slot_grant> slots;
    /// Slots that finish their requests and accept no new ones; answered by `slots_drained`.
    std::vector<slot_index> draining_slots;
    /// The server is out of service or leaving: it gets no new requests, those in progress finish.
    bool draining{false};
    /// Number of `server_lost` and `server_available` messages of this term that the agent has
    /// handled. After a loss the dispatcher neither grants nor writes to the server until this
    /// number includes all its reports, because the agent may be transferring the slots until then.
    std::uint64_t availability_reports_handled{0};
};

/// agent -> dispatcher. Extends the lease of every server that the dispatcher holds.
struct leases_renewed {
    struct lease {
        server_id server;
        lease_term term;
        time_point valid_until;
    };
    std::vector<lease> leases;
};

/// agent -> dispatcher. The lease is lost or handed over. No more requests are sent to the server;
/// those that were not sent are refused.
struct dispatcher_assignment_ended {
    server_id server;
    lease_term term;
};

/// agent -> dispatcher. Graceful shutdown: accept no new requests, finish those in progress.
struct drain_all {};

/// agent -> entry and dispatcher. The routing view has changed.
struct view_changed {
    std::shared_ptr<const routing_view> view;
};

/// agent -> entry. Graceful shutdown: accept no new requests, finish those in progress.
struct entry_shutdown {};

/// dispatcher -> agent. The server does not answer and its grants are no longer renewed. From
/// `grants_expired_at` on (TTL and clock drift included) its slots may be transferred.
struct server_lost {
    server_id server;
    lease_term term;
    time_point grants_expired_at;
};

/// dispatcher -> agent. The server answers again; `boot` is 0 when its answer has no boot id.
struct server_available {
    server_id server;
    lease_term term;
    boot_id boot;
};

/// dispatcher -> agent. No request of these slots is in progress and the server has confirmed that
/// it holds no grant for them, or its grants have expired.
struct slots_drained {
    server_id server;
    lease_term term;
    std::vector<slot_grant> slots;
};

/// dispatcher -> agent. Current load of one server, and its request counts per slot and key.
struct server_load_report {
    server_id server;
    std::uint32_t queued{0};
    std::uint32_t in_flight{0};
    std::uint32_t limit{0};
    /// Requests per slot since the previous report, largest first, at most 64.
    std::vector<std::pair<slot_index, std::uint32_t>> hottest_slots;
    /// The most frequent keys with the lower bounds of their decayed request counts, largest first,
    /// at most 64.
    std::vector<std::pair<key_hash, std::uint32_t>> hottest_keys;
};

/// entry, dispatcher -> agent. The task has finished its graceful shutdown.
struct task_drained {};

using dispatcher_message = std::variant<dispatcher_assignment, leases_renewed,
                                        dispatcher_assignment_ended, drain_all, view_changed>;
using entry_message = std::variant<view_changed, entry_shutdown>;
using agent_message =
    std::variant<server_lost, server_available, slots_drained, server_load_report, task_drained>;

} // namespace cornelswitch
