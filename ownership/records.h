#pragma once

#include "config/record_header.h"
#include "core/epoch.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/slot_set.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Records of log stream `ownership`. An epoch in a record is the log offset + 1 of the record that
/// it refers to; 0 means none.
namespace cornelswitch {

/// Maximum size of an encoded record, in bytes. Large enough for one snapshot chunk and its header.
inline constexpr std::size_t max_record_bytes = std::size_t{256} * 1024;
/// Maximum number of members of one cell. Five members are enough to add one to a cell of four
/// before another one is removed.
inline constexpr std::size_t max_cell_members = 6;
inline constexpr std::size_t max_cell_servers = 1024;
/// Maximum yield time: 30 days, in milliseconds.
inline constexpr std::uint64_t max_yield_after_ms = 30ULL * 24 * 3600 * 1000;
inline constexpr std::uint32_t max_hash_slots = 65'536;
/// Maximum number of split-off hot keys of one service.
inline constexpr std::uint32_t max_split_slots = 4096;
/// Largest minor epoch; the applied state stores it in 31 bits.
inline constexpr std::uint64_t max_minor_epoch = 0x7fffffff;

/// Member of a cell. Members are identified by `instance`; `boot` identifies the process that ran
/// when the record was written.
struct cell_member {
    instance_id instance;
    boot_id boot;
    friend auto operator==(const cell_member&, const cell_member&) -> bool = default;
};

/// Creates a cell or replaces its membership. Compared with the membership of epoch `replaces`, at
/// most one member may be added, removed, or given a new boot id. A server may be removed from the
/// list only when all its slots are released.
struct cell_record {
    cell_id cell;
    std::uint64_t replaces{0};
    zone_id zone;
    std::vector<cell_member> members;
    std::vector<server_id> servers;
    /// Time without log contact after which the cell stops granting its slots, in milliseconds; 0
    /// means that it never stops. It is part of the membership rather than the configuration,
    /// because a claimant must rely on a value that the unresponsive cell has acknowledged.
    std::uint64_t yield_after_ms{0};
    /// A member has reported the membership `replaces` as active. Otherwise the cell may still
    /// operate under the membership before that, whose yield time then continues to apply to
    /// claims.
    bool replaces_active{false};
    friend auto operator==(const cell_record&, const cell_record&) -> bool = default;
};

/// Number of hash slots of a service; takes effect only if the service has no slot table yet.
struct table_entry {
    service_id service;
    std::uint32_t hash_slots{0};
    friend auto operator==(const table_entry&, const table_entry&) -> bool = default;
};

/// Assigns `slots` to `server`. `replaces` is the current major epoch of these slots; 0 if they
/// were never assigned.
struct assignment_entry {
    service_id service;
    slot_set slots;
    server_id server;
    std::uint64_t replaces{0};
    friend auto operator==(const assignment_entry&, const assignment_entry&) -> bool = default;
};

/// Gives a hot key its own slot. `replaces` is the current major epoch of the parent slot, which
/// the same record must assign again.
struct split_entry {
    service_id service;
    key_hash key;
    slot_index parent;
    server_id server;
    std::uint64_t replaces{0};
    friend auto operator==(const split_entry&, const split_entry&) -> bool = default;
};

/// Returns a split-off key to its parent slot. `replaces` is the current major epoch of the key's
/// own slot, which must be released; the same record must assign the parent slot again.
struct merge_entry {
    service_id service;
    key_hash key;
    std::uint64_t replaces{0};
    friend auto operator==(const merge_entry&, const merge_entry&) -> bool = default;
};

/// Assigns slots that were never assigned or have been released. Each slot is accepted or dropped
/// individually.
struct assignment_record {
    std::vector<table_entry> tables;
    std::vector<assignment_entry> entries;
    std::vector<split_entry> splits;
    std::vector<merge_entry> merges;
    friend auto operator==(const assignment_record&, const assignment_record&) -> bool = default;
};

struct release_entry {
    service_id service;
    slot_set slots;
    slot_epoch epoch;
    friend auto operator==(const release_entry&, const release_entry&) -> bool = default;
};

/// Statement of a cell that no server holds a grant for these slots any longer.
struct release_record {
    cell_id cell;
    std::vector<release_entry> entries;
    friend auto operator==(const release_record&, const release_record&) -> bool = default;
};

struct transfer_entry {
    service_id service;
    slot_set slots;
    slot_epoch epoch;
    server_id server;
    friend auto operator==(const transfer_entry&, const transfer_entry&) -> bool = default;
};

/// Records local transfers that the cell has already carried out.
struct transfer_record {
    cell_id cell;
    std::vector<transfer_entry> entries;
    friend auto operator==(const transfer_record&, const transfer_record&) -> bool = default;
};

/// Announces a takeover of the slots of an unresponsive cell, to which the cell can object.
struct claim_record {
    cell_id cell;
    std::uint64_t membership_epoch{0};
    /// Version of the configuration in which an operator declares the zone as stopped; 0 for a
    /// claim that relies on the cell's yield time.
    config_version stopped_by;
    friend auto operator==(const claim_record&, const claim_record&) -> bool = default;
};

/// Objection of a cell to a claim; `claim_epoch` is the log offset + 1 of the claim record.
struct objection_record {
    cell_id cell;
    std::uint64_t claim_epoch{0};
    friend auto operator==(const objection_record&, const objection_record&) -> bool = default;
};

/// Releases all slots of a cell's servers without the participation of the cell. Requires an open
/// claim on a cell with a yield time, or the version of the configuration in which an operator
/// declares the zone as stopped. If both are given, the claim must be open, so that a cell that is
/// still running can object.
struct takeover_record {
    cell_id cell;
    std::uint64_t membership_epoch{0};
    std::uint64_t claim_epoch{0};
    config_version stopped_by;
    friend auto operator==(const takeover_record&, const takeover_record&) -> bool = default;
};

/// Removes servers and services that are no longer in the configuration. Each is removed only if it
/// has no unreleased slots.
struct removal_record {
    std::vector<server_id> servers;
    std::vector<service_id> services;
    friend auto operator==(const removal_record&, const removal_record&) -> bool = default;
};

/// Reports whether a backend server answers its dispatcher, so that planners assign no slots to a
/// lost server. Dropped unless `cell` lists the server.
struct server_state_record {
    cell_id cell;
    server_id server;
    bool lost{false};
    friend auto operator==(const server_state_record&, const server_state_record&)
        -> bool = default;
};

/// Part `index` of `count` parts of an encoded snapshot of the state before offset `end`.
struct snapshot_chunk {
    log_offset end;
    /// XXH3 hash of the whole encoded snapshot.
    std::uint64_t digest{0};
    std::uint32_t index{0};
    std::uint32_t count{0};
    std::string bytes;
    friend auto operator==(const snapshot_chunk&, const snapshot_chunk&) -> bool = default;
};

/// The index of an alternative is the number of its kind in the encoding, so new kinds must be
/// added at the end.
using record_body = std::variant<cell_record, assignment_record, release_record, transfer_record,
                                 claim_record, objection_record, takeover_record, removal_record,
                                 snapshot_chunk, server_state_record>;

struct ownership_record {
    record_header header;
    record_body body;
    friend auto operator==(const ownership_record&, const ownership_record&) -> bool = default;
};

/// Encodes a record as msgpack.
auto encode_record(const ownership_record& record) -> std::string;

/// Decodes a record. Errors: `invalid_message` for records that are malformed, of unknown kind, or
/// beyond the limits above. Never throws on malformed input.
auto decode_record(std::string_view bytes) -> result<ownership_record>;

} // namespace cornelswitch
