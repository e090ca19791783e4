#pragma once

#include "config/configuration.h"
#include "core/error.h"
#include "core/ids.h"
#include "ownership/key_range.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// Fencing token of a key lease. Servers refuse lower ones than they have seen for a key.
using fencing_token = strong_id<struct fencing_token_tag, std::uint64_t>;

/// Owner of a range as the coordinator last recorded it.
struct recorded_range {
    key_range keys;
    server_id owner;
    /// Start of the owner's process, in ms since 1970; 0 means unknown.
    std::int64_t incarnation{0};
    fencing_token token;

    friend auto operator==(const recorded_range&, const recorded_range&) -> bool = default;
};

/// What the store keeps for one service: its coordinator and, for a keyed service, the owners.
///
/// The ranges are a hint that lags behind. Safety rests on the servers' fencing tokens and on the
/// waits of `range_authority`.
struct coordinator_record {
    instance_id coordinator;
    boot_id boot;
    /// Address of the coordinator for other instances.
    endpoint address;
    lease_term term;
    /// Tokens below this one may have been used in this term.
    fencing_token token_limit;
    /// Distinguishes the writes of one coordinator, so that it recognizes its own.
    std::uint64_t revision{0};
    /// The coordinator knows that no earlier one renews leases any more.
    bool is_sole{false};
    std::vector<recorded_range> ranges;

    friend auto operator==(const coordinator_record&, const coordinator_record&) -> bool = default;
};

/// Writes the record as JSON.
auto encode_coordinator_record(const coordinator_record& it) -> std::string;
/// Errors: `invalid_message`.
auto decode_coordinator_record(std::string_view text) -> result<coordinator_record>;

} // namespace cornelswitch
