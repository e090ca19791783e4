#pragma once

#include "core/clock.h"
#include "core/epoch.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/slot_set.h"
#include "ownership/slot_register.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between the members of a cell. The transport identifies the sender (instance and boot),
/// so message bodies do not contain it. The budget is 3 KB/s for each node. In a cell of 5 members
/// with 5 heartbeats per second, this leaves 34 bytes for the bodies of one heartbeat and its
/// reply, after 42 bytes of HTTP/2 framing.
namespace cornelswitch {

/// Largest encoded message: room for the registers of one lost server with fragmented slots.
inline constexpr std::size_t max_cell_message_bytes = std::size_t{4} * 1024 * 1024;

/// Renews every lease that the receiver has granted to the sender.
struct heartbeat {
    /// Number of the heartbeat, returned by the reply.
    std::uint16_t number{0};
    /// Membership epoch under which the sender votes; 0 for none.
    std::uint64_t active{0};
    /// Newest membership epoch that the sender acknowledged.
    std::uint64_t acked{0};
    /// Digest of the sender's lease set, see `lease_digest`.
    std::uint32_t digest{0};
    /// First offset of the ownership stream that the sender has not applied yet.
    std::uint64_t applied_end{0};
    /// The sender is shutting down and requests no more leases.
    bool leaving{false};
    /// The sender's membership was activated after the loss of a majority, see
    /// `membership_activation`.
    bool recovering{false};
    friend auto operator==(const heartbeat&, const heartbeat&) -> bool = default;
};

/// Result of a heartbeat at a voter.
enum class renewal_status : std::uint8_t {
    /// Every lease covered by the digest was renewed.
    renewed,
    /// The digest differs from the voter's; the sender is to send its lease list.
    mismatch,
    /// The voter does not vote yet, or does not accept the sender under its membership.
    refused,
};

struct heartbeat_reply {
    std::uint16_t number{0};
    std::uint64_t active{0};
    std::uint64_t acked{0};
    renewal_status status{renewal_status::refused};
    /// Whether the sender's process has copied the registers of its cell from a majority of members
    /// since its start, see `membership_activation`.
    bool has_synced{false};
    friend auto operator==(const heartbeat_reply&, const heartbeat_reply&) -> bool = default;
};

struct lease_entry {
    server_id server;
    lease_term term;
    /// The server is responding, so it may become the target of transfers.
    bool available{true};
    /// A majority has granted the sender the lease. A voter that has granted no valid lease to
    /// another holder then renews it even if it has promised a higher term in a request that
    /// failed.
    bool held{false};
    friend auto operator==(const lease_entry&, const lease_entry&) -> bool = default;
};

/// All leases that the sender holds or requests. The receiver releases leases of the sender that
/// are not listed.
struct lease_list {
    /// Incremented for each list of a process; a voter ignores older lists.
    std::uint32_t sequence{0};
    std::uint64_t active{0};
    std::uint64_t acked{0};
    std::vector<lease_entry> entries;
    friend auto operator==(const lease_list&, const lease_list&) -> bool = default;
};

struct lease_vote {
    bool granted{false};
    /// Highest term that the voter had promised for the server before this vote.
    lease_term promised;
    /// The previous holder handed the lease over with no request in progress.
    bool handed_over{false};
    /// Remaining time of another holder's lease at the voter, in milliseconds; 0 if there is none.
    std::uint32_t other_lease_ms{0};
    friend auto operator==(const lease_vote&, const lease_vote&) -> bool = default;
};

/// Votes in the order of the list's entries.
struct lease_votes {
    std::uint32_t sequence{0};
    std::uint64_t active{0};
    std::uint64_t acked{0};
    /// Digest of the voter's registers; if it equals the holder's, no copy is needed.
    std::uint64_t register_digest{0};
    std::vector<lease_vote> votes;
    friend auto operator==(const lease_votes&, const lease_votes&) -> bool = default;
};

/// Releases leases of the sender. No request that it dispatched is in progress on the servers.
struct lease_release {
    std::uint32_t sequence{0};
    std::vector<lease_entry> entries;
    friend auto operator==(const lease_release&, const lease_release&) -> bool = default;
};

/// Requests all registers of the receiver. Sent by a new dispatcher and by a joining member.
struct register_read {
    std::uint32_t sequence{0};
    friend auto operator==(const register_read&, const register_read&) -> bool = default;
};

struct register_copy {
    std::uint32_t sequence{0};
    std::uint64_t active{0};
    std::uint64_t acked{0};
    /// The sender has synced under a membership since its start; only then do its registers count
    /// as those of a member.
    bool has_synced{false};
    std::vector<register_entry> entries;
    friend auto operator==(const register_copy&, const register_copy&) -> bool = default;
};

/// Writes registers under the lease for `server` with `term`. Committed entries are final and are
/// accepted under any term.
struct register_write {
    std::uint32_t sequence{0};
    std::uint64_t active{0};
    std::uint64_t acked{0};
    server_id server;
    lease_term term;
    std::vector<register_entry> entries;
    friend auto operator==(const register_write&, const register_write&) -> bool = default;
};

struct register_written {
    std::uint32_t sequence{0};
    std::uint64_t active{0};
    std::uint64_t acked{0};
    bool accepted{false};
    friend auto operator==(const register_written&, const register_written&) -> bool = default;
};

/// Acknowledges a membership: the sender has applied it from the log and from now on votes only for
/// instances that know it.
struct membership_ack {
    std::uint64_t epoch{0};
    std::uint64_t active{0};
    friend auto operator==(const membership_ack&, const membership_ack&) -> bool = default;
};

/// Asks which instance holds the dispatcher lease of a server.
struct dispatcher_query {
    server_id server;
    friend auto operator==(const dispatcher_query&, const dispatcher_query&) -> bool = default;
};

struct dispatcher_answer {
    server_id server;
    /// Empty when the sender knows no holder.
    instance_id dispatcher;
    lease_term term;
    friend auto operator==(const dispatcher_answer&, const dispatcher_answer&) -> bool = default;
};

/// Sent by the planner to every member of a cell. The dispatcher of `server` drains these slots and
/// releases them, so that they can be assigned again.
struct release_request {
    service_id service;
    server_id server;
    slot_set slots;
    friend auto operator==(const release_request&, const release_request&) -> bool = default;
};

/// The index of a type is its number in the encoding, so new types must be added at the end.
using cell_message =
    std::variant<heartbeat, heartbeat_reply, lease_list, lease_votes, lease_release, register_read,
                 register_copy, register_write, register_written, membership_ack, dispatcher_query,
                 dispatcher_answer, release_request>;

/// Encodes a message as msgpack.
auto encode_cell_message(const cell_message& message) -> std::string;

/// Decodes a message. Errors: `invalid_message` for anything malformed or of unknown kind.
auto decode_cell_message(std::string_view bytes) -> result<cell_message>;

/// HTTP path of the control port to which the message is sent, for example `/lease`.
auto control_path(const cell_message& message) -> std::string_view;

/// Digest of a set of leases. `entries` must be sorted by server.
auto lease_digest(const std::vector<lease_entry>& entries) -> std::uint32_t;

} // namespace cornelswitch
