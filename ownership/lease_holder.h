#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/cell_messages.h"
#include "ownership/quorum.h"
#include "ownership/records.h"
#include "ownership/safety_rules.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cornelswitch {

/// The dispatcher leases that one instance holds or requests. The validity of a lease is counted
/// from the send time of the request or heartbeat that a voter confirmed.
class lease_holder {
public:
    /// A voter's confirmation of a lease request or renewal.
    struct confirmation {
        voter_answer by;
        time_point sent;
    };

    struct lease {
        lease_term term;
        time_point requested_at;
        bool available{true};
        /// A majority has granted the lease, and it has been valid at every check since then.
        bool in_force{false};
        /// Sequence number of the first list that contains the lease.
        std::uint32_t first_list{0};
        std::vector<confirmation> confirmations;
        /// Newest earlier term that voters reported, and whether its holder handed the lease over.
        lease_term previous;
        bool handed_over{false};
        /// A voter has refused the request since it was last sent.
        bool refused{false};
        /// Latest time at which another holder's lease expires at a voter that refused the request.
        time_point other_lease_until;
    };

    lease_holder(cell_member self, const safety_rules& rules);

    auto self() const -> const cell_member& { return self_; }
    auto leases() const -> const std::map<server_id, lease>& { return leases_; }
    auto find(const server_id& server) const -> const lease*;

    /// Starts a request, which is sent with the next list.
    auto request(const server_id& server, lease_term term, time_point now) -> void;
    /// Whether a request that was refused because of another holder's lease is to be resent now.
    auto retry(const server_id& server, time_point now) -> bool;
    /// Removes a lease or request; the next list no longer contains it.
    auto drop(const server_id& server) -> void;
    auto set_in_force(const server_id& server) -> void;
    auto set_available(const server_id& server, bool available) -> void;

    /// Lists all leases and requests, to be sent to every voter at `now`.
    auto make_list(std::uint64_t active, std::uint64_t acked, time_point now) -> lease_list;
    auto make_release(const std::vector<server_id>& servers) -> lease_release;
    /// Fills in the number and the lease digest; the caller sets the other fields.
    auto make_heartbeat(time_point now) -> heartbeat;

    /// Send time of a heartbeat; empty when the number is unknown or too old.
    auto heartbeat_sent_at(std::uint16_t number) const -> std::optional<time_point>;
    auto on_votes(const cell_member& from, const lease_votes& votes, time_point now) -> void;
    auto on_reply(const cell_member& from, const heartbeat_reply& reply, time_point now) -> void;

    /// End of the lease by this instance's clock; the clock's epoch if no majority has confirmed
    /// it.
    auto valid_until(const lease& it, const std::vector<quorum>& quorums) const -> time_point;
    /// Highest term that is known for the server.
    auto highest_seen(const server_id& server) const -> lease_term;
    auto note_term(const server_id& server, lease_term term) -> void;

private:
    struct sent_list {
        lease_list list;
        time_point sent;
    };
    struct sent_heartbeat {
        std::uint16_t number{0};
        std::uint32_t list_sequence{0};
        time_point sent;
    };

    auto entries() const -> std::vector<lease_entry>;
    auto confirm(lease& it, const voter_answer& by, time_point sent, time_point now) -> void;
    auto on_vote(const lease_entry& entry, const lease_vote& vote, const voter_answer& by,
                 time_point sent, time_point now) -> void;

    cell_member self_;
    safety_rules rules_;
    std::map<server_id, lease> leases_;
    std::map<server_id, lease_term> highest_seen_;
    std::uint32_t sequence_{0};
    std::uint16_t heartbeat_number_{0};
    std::deque<sent_list> sent_lists_;
    std::deque<sent_heartbeat> sent_heartbeats_;
};

} // namespace cornelswitch
