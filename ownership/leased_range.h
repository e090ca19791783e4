#pragma once

#include "ownership/range_authority.h"

#include <optional>
#include <string>

namespace cornelswitch {

/// State of one key range that a `range_authority` manages.
struct range_authority::range {
    key_range keys;
    range_phase phase{range_phase::unowned};
    server_id owner;
    std::int64_t incarnation{0};
    fencing_token token;
    /// A grant with the token has been sent to the owner and may take effect at any time.
    bool is_granted{false};
    /// The next grant needs a higher token, because the server's process may have restarted.
    bool needs_new_token{false};
    /// The owner was read from the predecessor's record and has not been verified; the next grant
    /// repeats the recorded token.
    bool is_adopted{false};
    /// The predecessor may have granted the range to a server that is missing in its record.
    bool is_owner_unknown{false};
    /// Latest time at which a grant may have reached the owner.
    time_point last_grant{};
    /// Value of `last_grant` before the call in flight; restored when the connection was refused.
    time_point last_grant_before_call{};
    /// Start of the latest grant call that the owner confirmed.
    time_point last_confirmed_grant{};
    /// Until this time an unknown server may hold the range, because a predecessor may have moved
    /// it without recording the move.
    time_point uncertain_until{};
    /// Owner that must release the range before it moves.
    server_id previous;
    /// Time at which the lease of `previous` has certainly expired.
    time_point previous_expires_at{};
    fencing_token release_token;
    /// The previous server confirmed the release, or its process has ended.
    bool is_released{false};
    /// State that the previous server returned with its release; passed on with the next grant.
    std::string handover;
    /// Earliest time at which the keys may be granted to any server.
    time_point free_at{};
    time_point next_action{};
    /// Revision that the store must hold before the keys are granted again; 0 when there is no such
    /// condition.
    std::uint64_t record_before_grant{0};
    /// Id of the call in flight; 0 when there is none.
    std::uint64_t call_id{0};
    time_point call_started_at{};
    /// Server that is granted the keys once they are free.
    std::optional<server_id> target;
};

} // namespace cornelswitch
