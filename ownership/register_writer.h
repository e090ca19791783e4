#pragma once

#include "core/clock.h"
#include "ownership/cell_messages.h"
#include "ownership/quorum.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace cornelswitch {

/// Register writes in progress under this instance's dispatcher leases. A batch is proposed until a
/// majority has accepted it, and then announced as committed until every member has stored it.
class register_writer {
public:
    struct batch {
        std::uint32_t sequence{0};
        server_id server;
        lease_term term;
        std::vector<register_entry> entries;
        bool committed{false};
        std::vector<voter_answer> answers;
        time_point next_send;
    };

    /// Adds a batch. A batch whose entries are all committed is only announced.
    auto start(const server_id& server, lease_term term, std::vector<register_entry> entries)
        -> void;
    /// Stops the batches of a lease that has ended; the server's next dispatcher completes them.
    auto drop(const server_id& server) -> void;
    /// Batches that are to be sent or resent at `now`.
    auto take_due(time_point now) -> std::vector<batch>;
    auto on_answer(const voter_answer& by, const register_written& answer) -> void;
    /// Batches that a majority has newly accepted; from now on they are announced as committed.
    auto take_committed(const std::vector<quorum>& quorums) -> std::vector<batch>;
    /// Ends the announcement of batches that all of `members` have stored.
    auto finish(const std::vector<cell_member>& members) -> void;
    /// Whether a proposal for the slot is in progress and not committed yet.
    auto is_writing(const slot_key& key) const -> bool;
    auto size() const -> std::size_t { return batches_.size(); }

private:
    std::uint32_t sequence_{0};
    std::vector<batch> batches_;
};

} // namespace cornelswitch
