#pragma once

#include "config/configuration.h"
#include "core/error.h"
#include "core/ids.h"
#include "ownership/key_range.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// Fencing token of a key lease. A server refuses tokens that are lower than the highest one that
/// it has seen for a key.
using fencing_token = strong_id<struct fencing_token_tag, std::uint64_t>;

/// Numbers of terms and fencing tokens in one era of the store. The era is the high part of both,
/// so they increase across a restore although the store has lost the last ones.
constexpr std::uint64_t numbers_per_era = 1ULL << 40U;

/// Number below all terms and tokens of the era; 0 for a store without eras.
constexpr auto first_number(store_era era) -> std::uint64_t
{
    return era.value() * numbers_per_era;
}
/// Era in which the term began.
constexpr auto era_of(lease_term term) -> store_era
{
    return store_era{term.value() / numbers_per_era};
}

/// Servers that may hold a key range, as the coordinator last wrote them to the store.
struct recorded_range {
    key_range keys;
    server_id owner;
    /// Start time of the owner's process, in milliseconds since 1970; 0 means unknown.
    std::int64_t incarnation{0};
    fencing_token token;
    /// Server that is granted the range once the owner has released it, if it is to move.
    std::optional<server_id> target;

    /// Whether both name the same servers. The token is of no use to a successor, which has higher
    /// ones.
    auto names_same_servers(const recorded_range& other) const -> bool
    {
        return keys == other.keys && owner == other.owner && incarnation == other.incarnation &&
               target == other.target;
    }
    friend auto operator==(const recorded_range&, const recorded_range&) -> bool = default;
};

/// Record that the store keeps for one service: its coordinator and, for a keyed service, the
/// owners of its key ranges.
///
/// Every server that may hold a key is named in the newest record, as its owner or as the target of
/// a move: a coordinator grants keys to a server only after it has stored a record that names it.
struct coordinator_record {
    instance_id coordinator;
    boot_id boot;
    /// Address at which other instances reach the coordinator.
    endpoint address;
    lease_term term;
    /// Era of the store in which the record was written; 0 for a store without eras.
    store_era era;
    /// Exclusive upper bound of the tokens that may have been used in this term.
    fencing_token token_limit;
    /// Number of the write, by which a coordinator recognizes its own record.
    std::uint64_t revision{0};
    /// The coordinator knows that no earlier coordinator can still renew leases.
    bool has_no_live_predecessor{false};
    /// The ranges name every server that may hold a key. False in records of earlier versions,
    /// which moved ranges before they recorded the move, and after a restore of the store, which
    /// may have lost records that named other servers.
    bool names_all_holders{true};
    std::vector<recorded_range> ranges;

    friend auto operator==(const coordinator_record&, const coordinator_record&) -> bool = default;
};

/// Encodes the record as JSON.
auto encode_coordinator_record(const coordinator_record& it) -> std::string;
/// Decodes a record. Errors: `invalid_message`.
auto decode_coordinator_record(std::string_view text) -> result<coordinator_record>;

} // namespace cornelswitch
