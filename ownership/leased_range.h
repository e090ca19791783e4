#pragma once

#include "ownership/range_authority.h"

#include <optional>
#include <string>

namespace cornelswitch {

/// State of one range of a `range_authority`.
struct range_authority::range {
    key_range keys;
    range_phase phase{range_phase::unowned};
    server_id owner;
    std::int64_t incarnation{0};
    fencing_token token;
    /// The token has been sent to the owner, so a grant with it may take effect at any time.
    bool is_granted{false};
    /// The server's process may have changed; the next grant needs a higher token.
    bool needs_token{false};
    /// The owner is the one that the predecessor recorded; the next grant repeats its token.
    bool is_adopted{false};
    /// The predecessor may have given the range to a server that it did not record.
    bool is_owner_unknown{false};
    /// Latest time at which a grant to the owner may have arrived.
    time_point last_grant{};
    /// `last_grant` before the call in flight.
    time_point earlier_grant{};
    /// Start of the latest call that the owner confirmed.
    time_point confirmed_grant{};
    /// An unknown server may hold the range until then: a predecessor can have moved it without a
    /// record.
    time_point unsure_until{};
    /// Server that is asked to release the range.
    server_id previous;
    time_point previous_lapse{};
    fencing_token release_token;
    /// The previous server confirmed the release, or its process has ended.
    bool is_released{false};
    std::string handover;
    /// Time before which nobody may be granted the keys.
    time_point free_at{};
    time_point next_action{};
    /// Revision that must be recorded before the keys are granted again; 0 when none.
    std::uint64_t record_before_grant{0};
    /// Number of the call in flight; 0 when there is none.
    std::uint64_t call{0};
    time_point call_started{};
    /// Server that is to get the keys once they are free.
    std::optional<server_id> target;
};

} // namespace cornelswitch
