#pragma once

#include "ownership/range_authority.h"

#include <optional>
#include <string>

namespace cornelswitch {

/// State of one key range that a `range_authority` manages.
struct range_authority::range {
    key_range keys;
    range_phase phase{range_phase::unowned};
    /// The only server that may hold the keys, but for `target` while the range moves; empty when
    /// no server may.
    server_id owner;
    std::int64_t incarnation{0};
    fencing_token token;
    /// A grant has been sent to the owner and may take effect at any time.
    bool is_granted{false};
    /// The next grant needs a higher token, because the server's process may have restarted or the
    /// last token is that of another coordinator.
    bool needs_new_token{false};
    /// The owner was read from the predecessor's record, and no call was made for the range yet.
    bool is_adopted{false};
    /// A coordinator of an earlier version may have granted the range to a server that no record
    /// names.
    bool is_owner_unknown{false};
    /// Latest time at which a grant may have reached the owner.
    time_point last_grant{};
    /// Value of `last_grant` before the call in flight; restored when the connection was refused.
    time_point last_grant_before_call{};
    /// Start of the latest grant call that the owner confirmed.
    time_point last_confirmed_grant{};
    /// Process of the owner that confirmed a grant of this coordinator; none before the first one.
    /// Another coordinator may have granted the range to a later process.
    std::optional<std::int64_t> granted_incarnation;
    /// When the owner refused a grant. The range is granted again only after the role was confirmed
    /// later than that.
    time_point refused_at{};
    /// Server that is granted the keys once they are free.
    std::optional<server_id> target;
    /// A predecessor may have granted the range to `target` already.
    bool is_target_granted{false};
    /// Revision that the store must hold before `target` may be granted the keys, and before the
    /// owner may be granted them again after a move was dropped.
    std::uint64_t required_revision{0};
    /// Time at which the lease of the owner has certainly expired while the range is releasing.
    time_point release_expires_at{};
    fencing_token release_token;
    /// The owner confirmed the release, or its process has ended.
    bool is_released{false};
    time_point release_started_at{};
    /// A release call got no usable answer, so the keys are free only when the lease has expired.
    bool is_release_failing{false};
    /// State that the owner returned with its release; passed on with the next grant.
    std::string handover;
    /// Former owner, for log lines.
    server_id previous;
    /// Earliest time at which the keys may be granted to any server.
    time_point free_at{};
    time_point next_action{};
    /// Id of the call in flight; 0 when there is none.
    std::uint64_t call_id{0};
    time_point call_started_at{};
    /// Process of the owner, as known when the call started.
    std::int64_t call_incarnation{0};
    /// Call whose outcome is ignored but which may still reach the owner, and the time from which
    /// it cannot.
    std::uint64_t ignored_call_id{0};
    time_point ignored_call_ends_at{};
};

} // namespace cornelswitch
