#pragma once

#include "core/clock.h"
#include "ownership/grant_messages.h"
#include "ownership/slot_register.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// The grants that one backend server holds, and the rules by which it accepts requests. Used by
/// the stand-in server and by tests; a real server implements the same rules. All times are read
/// from the server's clock.
class grant_table {
public:
    enum class refusal : std::uint8_t { none, no_grant, older_term, wrong_epoch };

    /// Slot, epoch, term and version that a request carries.
    struct request {
        slot_key key;
        slot_epoch epoch;
        lease_term term;
        /// Last version that the dispatcher has received. If it is the server's newest, the request
        /// renews all grants; 0 renews nothing.
        std::uint64_t version{0};
    };

    /// `boot` must be a new random number for each start of the server. No state survives a
    /// restart.
    explicit grant_table(boot_id boot);

    auto apply(const grant_message& message, time_point now) -> grant_reply;
    /// Whether a request may be executed now. Returns `refusal::none` if so.
    auto check(const request& it, time_point now) -> refusal;

    /// Slots that the server may serve now.
    auto held(time_point now) const -> std::vector<grant_group>;
    auto boot() const -> boot_id { return boot_; }
    auto term() const -> lease_term { return term_; }
    auto version() const -> std::uint64_t { return version_; }
    /// Sets the number of requests in progress and whether the server is draining, for the replies.
    auto set_load(std::uint32_t running, bool draining) -> void;

private:
    auto expire(time_point now) -> void;
    auto renew(duration ttl) -> void;
    auto issue_version(time_point now) -> void;
    auto insert(const grant_group& group) -> void;

    boot_id boot_;
    lease_term term_;
    std::uint64_t version_{0};
    time_point version_issued_;
    duration ttl_{};
    std::optional<time_point> expires_;
    std::map<slot_key, slot_epoch> grants_;
    /// Newest epoch with which each slot was granted to this server.
    std::map<slot_key, slot_epoch> newest_epochs_;
    std::uint32_t running_{0};
    bool draining_{false};
};

/// Text of a refusal for the body of the response.
auto to_string(grant_table::refusal it) -> std::string_view;

} // namespace cornelswitch
