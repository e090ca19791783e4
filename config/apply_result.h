#pragma once

#include "config/record_header.h"

#include <cstdint>
#include <ostream>
#include <string_view>

namespace cornelswitch {

enum class apply_status : std::uint8_t {
    /// The record is a snapshot, or it changed the state with at least one of its entries.
    accepted,
    /// The record did not change the state.
    dropped,
    /// A record with the same header was applied before.
    duplicate,
};

/// Reason for dropping a record or one of its entries.
enum class drop_reason : std::uint8_t {
    none,
    /// The record cannot be decoded or exceeds a limit.
    malformed,
    /// The offset of the record is not the next one to be applied.
    out_of_order,
    /// The record names an epoch or version that is no longer current.
    stale_epoch,
    /// The slot is assigned, and its cell has not released it.
    not_released,
    already_released,
    unknown_cell,
    unknown_server,
    unknown_service,
    unknown_slot,
    /// Another cell lists the server.
    server_in_other_cell,
    /// The slot's server, or the target of a transfer, does not belong to the cell.
    not_in_cell,
    /// More than one member changed, or the number of members is out of bounds.
    membership_change,
    /// The record names another zone for the cell; the zone of a cell cannot change.
    zone_change,
    /// The server or service still has unreleased slots.
    in_use,
    /// Another claim on the cell is still open.
    claim_open,
    /// There is no open claim with this epoch.
    no_claim,
    /// The cell continues to serve its slots without log contact, so they cannot be claimed.
    never_yields,
    /// The parent of a split or merged key was not assigned by the same record.
    parent_not_assigned,
    /// The key already has a slot of its own, or belongs to another parent.
    wrong_key,
    /// A limit on the size of the state is reached.
    limit,
};

auto to_string(drop_reason reason) -> std::string_view;
auto operator<<(std::ostream& os, drop_reason reason) -> std::ostream&;
auto operator<<(std::ostream& os, apply_status status) -> std::ostream&;

/// Result of applying one record.
struct apply_result {
    apply_status status{apply_status::dropped};
    /// Reason for the first drop; `none` if nothing was dropped.
    drop_reason reason{drop_reason::none};
    /// Current epoch or version if the reason is `stale_epoch`; epoch of the open claim if it is
    /// `claim_open`.
    std::uint64_t current_epoch{0};
    /// Number of changed items: slots, servers, services or configurations.
    std::uint32_t accepted_items{0};
    /// Number of items that the record would have changed but that were dropped.
    std::uint32_t dropped_items{0};
    /// The record is a snapshot or a chunk of one and does not change the state.
    bool is_snapshot{false};
    /// Header of the record; empty if the record is malformed or out of order.
    record_header header;

    auto accept(std::uint32_t items = 1) -> void { accepted_items += items; }

    /// `reason` and `current_epoch` are those of the first drop.
    auto drop(drop_reason why, std::uint32_t items = 1, std::uint64_t current = 0) -> void
    {
        dropped_items += items;
        if (reason == drop_reason::none) {
            reason = why;
            current_epoch = current;
        }
    }

    friend auto operator==(const apply_result&, const apply_result&) -> bool = default;
};

} // namespace cornelswitch
