#pragma once

#include "config/configuration.h"
#include "core/clock.h"
#include "daemon/messages.h"
#include "ownership/append_throttle.h"
#include "ownership/cell_messages.h"
#include "ownership/cell_slots.h"
#include "ownership/dispatcher_assignments.h"
#include "ownership/lease_holder.h"
#include "ownership/lease_voter.h"
#include "ownership/membership_activation.h"
#include "ownership/ownership_state.h"
#include "ownership/register_writer.h"
#include "ownership/safety_rules.h"
#include "ownership/slot_registers.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cornelswitch {

/// Longest time between two calls of `cell_agent::tick`.
inline constexpr duration cell_tick_interval = std::chrono::milliseconds{20};

/// Sends a message to the control port of another instance. The answer, if any, goes back through
/// `cell_agent::receive`.
struct send_to_peer {
    instance_id peer;
    cell_message message;
};

/// Appends a record to the ownership stream; the outcome goes to `cell_agent::append_finished`.
struct append_record {
    std::uint64_t ticket{0};
    record_body body;
};

/// Dispatchers of the cell's servers, for routing. They may be out of date. Replaces earlier hints.
struct dispatcher_hints {
    std::map<server_id, instance_id> dispatchers;
    friend auto operator==(const dispatcher_hints&, const dispatcher_hints&) -> bool = default;
};

using cell_action = std::variant<send_to_peer, dispatcher_message, append_record, dispatcher_hints>;

/// Status of one lease for operators.
struct lease_status {
    server_id server;
    lease_term term;
    /// Whether this instance dispatches under the lease. False for requests, and for leases whose
    /// registers are still being read.
    bool in_force{false};
    /// Whether the server is not responding, so that its slots are being transferred.
    bool lost{false};
    time_point valid_until;
    std::size_t slots{0};
};

/// Status of one agent for operators.
struct cell_status {
    std::optional<cell_id> cell;
    std::uint64_t active_epoch{0};
    std::uint64_t acked_epoch{0};
    /// Epoch of the cell's current membership in the log; 0 if the log has no such cell.
    std::uint64_t recorded_epoch{0};
    bool synced{false};
    bool recovering{false};
    bool votes{false};
    std::vector<lease_status> leases;
    std::size_t registers{0};
    std::size_t writes_in_progress{0};
};

/// Takes part in one cell on behalf of this instance: votes on leases, holds dispatcher leases,
/// stores the cell's registers, and tells the local dispatcher which servers it dispatches for (its
/// assignments). All times are read from this instance's clock.
class cell_agent {
public:
    /// With `cell` the agent takes part in that cell only; otherwise in the cell that `self` is a
    /// member of.
    cell_agent(cell_member self, time_point started, const safety_rules& rules = {},
               std::optional<cell_id> cell = std::nullopt);

    /// Advances all timers to `now`. Must be called at least every `cell_tick_interval`.
    auto tick(time_point now) -> void;
    /// Processes a message or an answer from a member. Returns the immediate answer, if any.
    auto receive(const cell_member& from, const cell_message& message, time_point now)
        -> std::optional<cell_message>;
    /// Must be called for each record that changes a cell, and at least once for each page of
    /// records.
    auto ownership_changed(std::shared_ptr<const ownership_state> log, time_point now) -> void;
    /// To be called when the log has answered a read that was sent at `read_sent`, after the state
    /// up to the end position in that answer has been passed to `ownership_changed`.
    auto on_log_read(time_point read_sent, time_point now) -> void;
    auto configuration_changed(std::shared_ptr<const configuration> config, time_point now) -> void;
    auto handle(const server_lost& message, time_point now) -> void;
    auto handle(const server_available& message, time_point now) -> void;
    auto handle(const slots_drained& message, time_point now) -> void;
    auto append_finished(std::uint64_t ticket, time_point now) -> void;
    /// To be called when the server knows a term higher than this dispatcher's, for example after
    /// the loss of the whole cell.
    auto note_server_term(const server_id& server, lease_term term, time_point now) -> void;
    /// Drains slots of `server` and releases them for a new assignment. Ignored unless this
    /// instance dispatches for the server. To be repeated until the release is in the log.
    auto request_release(const server_id& server, const std::vector<slot_index>& slots,
                         time_point now) -> void;
    /// Begins a graceful shutdown: no more leases are requested.
    auto begin_shutdown(time_point now) -> void;
    /// Releases every lease so that other members can take it at once. No request may be in
    /// progress.
    auto release_all(time_point now) -> void;

    /// Actions since the last call.
    auto take_actions() -> std::vector<cell_action>;
    auto status(time_point now) const -> cell_status;
    /// Committed transfers away from servers that this instance dispatches for, and that are not in
    /// the log yet.
    auto unrecorded_transfers() const -> std::vector<register_entry>;

private:
    struct peer_state {
        cell_member member;
        std::optional<time_point> last_received;
        std::uint64_t applied_end{0};
        bool leaving{false};
    };
    /// Takeover of a server: from the request of its lease until this instance begins to dispatch.
    struct takeover {
        /// Voters whose registers have been merged, and the epoch of each copy.
        std::vector<voter_answer> copies;
        /// Sequence number of the read from which on a voter's copy counts.
        std::map<instance_id, std::uint32_t> wanted;
        /// When copies that are still missing are requested again.
        time_point next_read;
        /// End of the wait for requests of the earlier holder on a server that does not check
        /// grants.
        std::optional<time_point> wait_until;
    };
    /// State of the attempts to get the lease of one server.
    struct candidacy {
        std::optional<time_point> free_since;
        time_point retry_at;
        std::uint32_t attempts{0};
    };

    using answer = std::optional<cell_message>;
    auto on(const cell_member& from, const heartbeat& message, time_point now) -> answer;
    auto on(const cell_member& from, const heartbeat_reply& message, time_point now) -> answer;
    auto on(const cell_member& from, const lease_list& message, time_point now) -> answer;
    auto on(const cell_member& from, const lease_votes& message, time_point now) -> answer;
    auto on(const cell_member& from, const lease_release& message, time_point now) -> answer;
    auto on(const cell_member& from, const register_read& message, time_point now) -> answer;
    auto on(const cell_member& from, const register_copy& message, time_point now) -> answer;
    auto on(const cell_member& from, const register_write& message, time_point now) -> answer;
    auto on(const cell_member& from, const register_written& message, time_point now) -> answer;
    auto on(const cell_member& from, const membership_ack& message, time_point now) -> answer;
    auto on(const cell_member& from, const dispatcher_query& message, time_point now) -> answer;
    auto on(const cell_member& from, const dispatcher_answer& message, time_point now) -> answer;
    auto on(const cell_member& from, const release_request& message, time_point now) -> answer;

    auto send(const instance_id& peer, cell_message message) -> void;
    auto broadcast(const cell_message& message) -> void;
    auto may_vote(const cell_member& from, std::uint64_t its_acked, time_point now) const -> bool;
    auto is_live(const peer_state& it, time_point now) const -> bool;
    auto send_list(time_point now) -> void;
    auto vote_for_self(const lease_list& list, time_point now) -> void;
    auto send_heartbeats(time_point now) -> void;
    auto send_acknowledgement() -> void;
    auto read_registers(const instance_id& peer) -> std::uint32_t;
    auto request_leases(time_point now) -> void;
    /// Whether a lease may have to be requested. Erases the earlier attempts for all other leases.
    auto has_leases_to_request(time_point now) -> bool;
    auto request_lease(const server_id& server, std::size_t rank, time_point now) -> bool;
    auto next_term(const server_id& server) const -> lease_term;
    auto check_leases(time_point now) -> void;
    auto abandon_lease(const server_id& server, time_point now) -> void;
    auto advance_takeover(const server_id& server, const lease_holder::lease& lease, time_point now)
        -> void;
    auto earlier_request_wait(const server_id& server) const -> duration;
    auto lease_end(const server_id& server, const lease_holder::lease& lease,
                   const std::vector<quorum>& quorums) const -> time_point;
    auto yield_deadline(const server_id& server) const -> std::optional<time_point>;
    auto note_vote(const cell_member& from, const lease_votes& votes) -> void;
    auto read_missing(const lease_holder::lease& lease, takeover& it, time_point now) -> void;
    auto has_read_majority(const lease_holder::lease& lease, const takeover& it) const -> bool;
    auto start_write(const dispatcher_assignments::register_batch& batch) -> void;
    auto advance_writes(time_point now) -> void;
    auto accept_write(const register_write& message) -> bool;
    auto refresh_cell(time_point now) -> void;
    auto refresh_services(const cell_state& cell) -> void;
    auto note_peer_state(const heartbeat& message) -> void;
    auto refresh_membership() -> void;
    auto begin_recovery() -> void;
    auto refresh_slots() -> void;
    auto object_to_claim(time_point now) -> void;
    auto record_server_states(time_point now) -> void;
    auto update_hints(time_point now) -> void;
    auto is_available(const server_id& server, time_point now) const -> bool;
    auto is_grantable(const slot_key& key) const -> bool;
    auto advance_assignments(time_point now) -> void;
    auto applied_by_all() const -> log_offset;

    cell_member self_;
    safety_rules rules_;
    membership_activation membership_;
    lease_voter voter_;
    lease_holder holder_;
    slot_registers registers_;
    register_writer writer_;
    dispatcher_assignments assignments_;
    append_throttle appends_;

    std::shared_ptr<const configuration> config_;
    std::shared_ptr<const ownership_state> log_;
    std::optional<cell_id> cell_;
    std::map<server_id, service_id> services_;
    std::map<instance_id, peer_state> peers_;
    std::map<server_id, takeover> takeovers_;
    std::map<server_id, candidacy> candidacies_;
    /// Leases that this instance has abandoned before they expire, and their ends. The dispatcher
    /// may not have been told yet and may send requests until then, so the voters must not grant
    /// these leases to other members earlier.
    std::map<server_id, time_point> abandoned_leases_;
    std::uint32_t read_sequence_{0};
    std::uint64_t last_sent_ack_{0};
    time_point next_heartbeat_;
    /// Time since which this member has been voting.
    std::optional<time_point> voting_since_;
    time_point next_copy_read_;
    std::optional<time_point> last_log_contact_;
    /// Newer membership that a peer reported as active, to be adopted once the log has been applied
    /// up to `applied_end`.
    struct reported_membership {
        std::uint64_t epoch{0};
        bool recovering{false};
        std::uint64_t applied_end{0};
    };
    std::optional<reported_membership> reported_membership_;
    /// Log position at which a peer with the same membership had completed the recovery.
    std::optional<std::uint64_t> recovered_at_;
    /// Epochs at the start of a recovery, of the slots that have no newer epoch yet.
    std::map<slot_key, slot_epoch> pre_recovery_epochs_;
    cell_slots slots_;
    std::uint64_t slots_version_{0};
    bool slots_stale_{true};
    bool assignments_changed_{true};
    bool leaving_{false};
    dispatcher_hints hints_;
    std::vector<cell_action> actions_;
};

} // namespace cornelswitch
