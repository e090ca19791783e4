#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/cell_messages.h"
#include "ownership/records.h"
#include "ownership/safety_rules.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cornelswitch {

/// One member's votes for the dispatcher leases of its cell's servers. The caller must check that
/// the sender knows the newest membership that this member has acknowledged.
class lease_voter {
public:
    struct entry {
        cell_member holder;
        lease_term term;
        /// Highest term that this voter has granted or accepted in a register write.
        lease_term promised;
        /// End of the lease by this member's clock, lengthened by the drift bound. The holder
        /// counts a shorter lease.
        time_point expires;
        bool released{true};
        /// The last holder handed the lease over with no request in progress.
        bool handed_over{false};
        /// Whether the holder reports that the server is responding.
        bool available{true};
    };

    lease_voter(time_point started, const safety_rules& rules);

    /// True while leases that an earlier process of this instance voted for may still be valid.
    auto abstains(time_point now) const -> bool;

    /// Renews every lease of `from`. Returns false without renewing when `digest` does not match
    /// the leases that this voter has recorded for `from`.
    auto renew(const cell_member& from, std::uint32_t digest, time_point now) -> bool;
    /// Votes on each entry and releases the leases of `from` that are not in the list. Returns no
    /// votes for a list that is older than the last one.
    auto vote(const cell_member& from, const lease_list& list, time_point now)
        -> std::vector<lease_vote>;
    auto release(const cell_member& from, const lease_release& message) -> void;

    /// Whether a register write under this term may be accepted; if so, promises the term.
    auto promise(const server_id& server, lease_term term) -> bool;

    /// Null when this voter has no entry for the server.
    auto find(const server_id& server) const -> const entry*;
    /// Highest promised term; 0 if there is none.
    auto promised(const server_id& server) const -> lease_term;
    /// Whether this voter would grant the server's lease to a new holder.
    auto is_free(const server_id& server, time_point now) const -> bool;
    auto entries() const -> const std::map<server_id, entry>& { return entries_; }

private:
    auto vote_for(const cell_member& from, const lease_entry& requested, time_point now)
        -> lease_vote;
    auto drop_unlisted(const cell_member& from, const lease_list& list) -> void;
    auto is_current(const cell_member& from, std::uint32_t sequence) -> bool;

    time_point started_;
    safety_rules rules_;
    std::map<server_id, entry> entries_;
    struct sender {
        boot_id boot;
        std::uint32_t sequence{0};
    };
    std::map<instance_id, sender> senders_;
};

} // namespace cornelswitch
