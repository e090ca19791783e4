#pragma once

#include "core/clock.h"
#include "core/epoch.h"
#include "core/ids.h"
#include "core/slot_set.h"

#include <cstdint>
#include <vector>

namespace cornelswitch {

/// Slots of one service that have the same epoch.
struct grant_group {
    service_id service;
    slot_set slots;
    slot_epoch epoch;
    friend auto operator==(const grant_group&, const grant_group&) -> bool = default;
};

struct revoke_group {
    service_id service;
    slot_set slots;
    friend auto operator==(const revoke_group&, const revoke_group&) -> bool = default;
};

/// Sent by a dispatcher to a backend server. `version` is the version from the server's last
/// answer. The server applies the message only while that version is its newest, and counts `ttl`
/// from the time at which it issued the version. Therefore a message that is delayed, for example
/// in the socket of a frozen server, never extends grants beyond its send time + `ttl`.
struct grant_message {
    lease_term term;
    std::uint64_t version{0};
    duration ttl{};
    /// Whether `grants` are all slots of the server; otherwise they are added to those that it
    /// holds.
    bool full{false};
    std::vector<grant_group> grants;
    std::vector<revoke_group> revoke;
    friend auto operator==(const grant_message&, const grant_message&) -> bool = default;
};

/// Answer of a backend server to a `grant_message`. The message was applied if `version` is its
/// version + 1.
struct grant_reply {
    boot_id boot;
    /// Highest term that the server has seen.
    lease_term term;
    /// Version for the next message. Every answer has a new one, except answers to older terms.
    std::uint64_t version{0};
    /// Requests in progress.
    std::uint32_t running{0};
    /// Number of slots held after the message.
    std::uint32_t held{0};
    bool draining{false};
    /// The message's term was older than `term`; the HTTP status is 409 instead of 200.
    bool refused_term{false};
    friend auto operator==(const grant_reply&, const grant_reply&) -> bool = default;
};

} // namespace cornelswitch
