#pragma once

#include "core/clock.h"
#include "daemon/messages.h"
#include "ownership/grant_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelswitch {

/// A server that has not answered for this long is reported as lost.
inline constexpr duration loss_timeout = std::chrono::milliseconds{200};

/// Tracks what one dispatcher has granted to one backend server under one term, and when all of
/// these grants are certain to have expired. One message is in progress at a time.
class grant_tracker {
public:
    struct outgoing {
        /// Identifies the message in calls of `on_reply` and `on_failure`.
        std::uint64_t ticket{0};
        grant_message message;
    };
    /// What an answer means for the dispatcher.
    struct event {
        /// The server applied the message.
        bool renewed{false};
        /// The server has restarted since its last answer.
        bool restarted{false};
        /// Set when the server knows a higher term, so this dispatcher has been replaced.
        std::optional<lease_term> superseded_by;
    };

    /// `acquired_at` is when this dispatcher acquired the lease. Until then an earlier dispatcher
    /// may have sent grants.
    grant_tracker(service_id service, lease_term term, bool checks_grants, time_point acquired_at);

    /// Sets the slots that the server is to hold; the next message contains the difference.
    auto set_slots(const std::vector<slot_grant>& slots) -> void;
    /// Returns the next message, if one is due. The caller must send it at `now`, while the lease
    /// is valid. Returns none for servers that do not check grants, and while a message is in
    /// progress, which ends by `on_reply`, `on_failure` or `abandon`. A message without an answer
    /// is not resent: after `loss_timeout` the dispatcher reports the server as lost.
    auto next(time_point now, time_point lease_valid_until) -> std::optional<outgoing>;
    /// Processes an answer. An answer to an earlier message confirms and renews nothing.
    auto on_reply(std::uint64_t ticket, const grant_reply& reply, time_point now) -> event;
    auto on_failure(std::uint64_t ticket, time_point now) -> void;
    /// Discards the message in progress and all confirmations, so that the next message is sent at
    /// once and lists all grants. To be called when a lost server responds again.
    auto abandon() -> void;
    /// To be called when a request is written to the server at `now`. On a server that does not
    /// check grants it may run until `deadline`.
    auto on_request_sent(time_point now, time_point deadline) -> void;

    /// Version that requests carry to renew the grants; 0 if the server has not sent one yet.
    auto version() const -> std::uint64_t { return version_; }
    /// Whether a request for the slot may be sent: the lease is valid, and a server that checks
    /// grants has confirmed this one.
    auto may_send(const slot_grant& slot, time_point now, time_point lease_valid_until) const
        -> bool;
    /// Whether the server can no longer serve the slot: it has confirmed the revocation, or all
    /// grants have expired.
    auto is_revoked(slot_index slot, time_point now) const -> bool;
    /// Time from which no grant of this or an earlier dispatcher is valid, unless the server
    /// answers again: grants are valid from the time at which the server issued the version in a
    /// message.
    auto grants_expired_at() const -> time_point { return expired_at_; }
    /// Send time of the first message that the server has not answered; empty when there is none.
    auto unanswered_since() const -> std::optional<time_point> { return unanswered_since_; }
    auto term() const -> lease_term { return term_; }

private:
    auto make_message() -> grant_message;
    auto extend_expiry(time_point until) -> void;

    service_id service_;
    lease_term term_;
    bool checks_grants_;
    std::map<slot_index, slot_epoch> wanted_;
    /// Grants that the server has confirmed.
    std::map<slot_index, slot_epoch> confirmed_;
    /// Grants that the server may hold: confirmed, or sent and not answered yet.
    std::map<slot_index, slot_epoch> possibly_held_;
    boot_id boot_;
    std::uint64_t version_{0};
    bool needs_full_list_{true};
    std::uint64_t last_ticket_{0};
    std::optional<outgoing> in_progress_;
    std::map<slot_index, slot_epoch> sent_slots_;
    time_point next_send_at_;
    std::optional<time_point> unanswered_since_;
    time_point expired_at_;
};

} // namespace cornelswitch
