#pragma once

#include "config/apply_result.h"
#include "config/writer_window.h"
#include "core/epoch.h"
#include "core/ids.h"
#include "core/slot_set.h"
#include "ownership/log_service.h"
#include "ownership/records.h"
#include "ownership/server_table.h"
#include "ownership/slot_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// Limits of the applied state. Records that would exceed them are dropped with reason `limit`.
inline constexpr std::size_t max_cells = 4096;
inline constexpr std::size_t max_services = 1024;
/// Maximum number of slots of all services. A slot takes 16 bytes in memory and at most 21 bytes in
/// a snapshot.
inline constexpr std::size_t max_total_slots = std::size_t{1} << 19;

/// Members of a cell and the epoch of the record that defined them; epoch 0 means no membership.
struct cell_membership {
    std::uint64_t epoch{0};
    std::vector<cell_member> members;
    /// See `cell_record`. In a previous membership, the value also covers earlier memberships that
    /// may still be active.
    std::uint64_t yield_after_ms{0};

    auto contains(const instance_id& id) const -> bool;
    friend auto operator==(const cell_membership&, const cell_membership&) -> bool = default;
};

/// An announced takeover to which the cell has not objected.
struct cell_claim {
    /// Log offset + 1 of the claim record.
    std::uint64_t epoch{0};
    std::uint64_t membership_epoch{0};
    instance_id claimant;
    friend auto operator==(const cell_claim&, const cell_claim&) -> bool = default;
};

struct cell_state {
    zone_id zone;
    cell_membership current;
    /// Membership that `current` replaced; needed until `current` is active on all members.
    cell_membership previous;
    /// Sorted by id.
    std::vector<server_id> servers;
    std::optional<cell_claim> claim;
    /// Servers that are reported as not answering their dispatcher, sorted by id.
    std::vector<server_id> lost;

    /// Longest time without log contact, in milliseconds, for which the cell may continue to serve
    /// under any membership that may still be active; 0 when this time is unlimited.
    auto longest_yield_ms() const -> std::uint64_t;
    friend auto operator==(const cell_state&, const cell_state&) -> bool = default;
};

/// Last assignment of one slot.
struct slot_view {
    /// Null if the slot was never assigned.
    const server_id* server{nullptr};
    slot_epoch epoch;
    /// True if no server holds a grant for the slot any longer.
    bool released{false};
};

/// A slot that a server owns, or owned last if `released` is set.
struct owned_slot {
    service_id service;
    slot_index slot;
    slot_epoch epoch;
    bool released{false};
    friend auto operator==(const owned_slot&, const owned_slot&) -> bool = default;
};

/// Safety rules for applying records. A test can disable one to prove that its checks detect the
/// violation.
struct apply_rules {
    /// An assigned slot can be assigned again only after its release.
    bool require_release{true};
};

/// State that results from applying log stream `ownership`. The same records give the same state on
/// every instance.
class ownership_state {
public:
    ownership_state() = default;
    explicit ownership_state(const apply_rules& rules) : rules_{rules} {}

    /// Applies the record at offset `end()`. Records at other offsets are dropped as
    /// `out_of_order`.
    auto apply(const log_record& record) -> apply_result;

    /// Next offset to be applied.
    auto end() const -> log_offset { return end_; }

    auto cells() const -> const std::map<cell_id, cell_state>& { return cells_; }
    /// Null if the cell does not exist.
    auto find_cell(cell_id id) const -> const cell_state*;
    /// Cell that lists the server.
    auto cell_of(const server_id& id) const -> std::optional<cell_id>;

    /// Whether the server's cell has reported that the server does not answer.
    auto is_lost(const server_id& id) const -> bool;

    /// Services that have a slot table.
    auto services() const -> std::vector<service_id>;
    /// Null if the service has no slot table.
    auto find_table(const service_id& id) const -> const slot_table*;
    /// Owner and epoch of a slot; `server` is null if the slot does not exist.
    auto slot(const service_id& service, slot_index index) const -> slot_view;
    /// Slots whose last owner is `id`, in order of service and slot. Scans all tables.
    auto slots_of(const server_id& id) const -> std::vector<owned_slot>;
    /// Number of slots of the server that are not released.
    auto unreleased_slots(const server_id& id) const -> std::uint32_t;
    auto servers() const -> const server_table& { return servers_; }

    /// Whether a record with this header was applied. Only recent records of recent writers are
    /// remembered.
    auto was_applied(const record_header& header) const -> bool
    {
        return writers_.contains(header);
    }

    /// Approximate memory use in bytes.
    auto memory_bytes() const -> std::size_t;

private:
    friend class snapshot_codec;

    auto apply_body(const cell_record& body, apply_result& out) -> void;
    auto apply_body(const assignment_record& body, apply_result& out) -> void;
    auto apply_body(const release_record& body, apply_result& out) -> void;
    auto apply_body(const transfer_record& body, apply_result& out) -> void;
    auto apply_body(const claim_record& body, apply_result& out) -> void;
    auto apply_body(const objection_record& body, apply_result& out) -> void;
    auto apply_body(const takeover_record& body, apply_result& out) -> void;
    auto apply_body(const removal_record& body, apply_result& out) -> void;
    auto apply_body(const snapshot_chunk& body, apply_result& out) -> void;
    auto apply_body(const server_state_record& body, apply_result& out) -> void;

    auto check_members(const cell_record& body, const cell_state* old) const -> drop_reason;
    auto check_servers(const cell_record& body) const -> drop_reason;
    auto set_servers(cell_id id, cell_state& cell, std::vector<server_id> servers) -> void;
    auto create_table(const table_entry& entry) -> void;
    auto assign(const assignment_entry& entry, apply_result& out) -> void;
    auto assign_slot(slot_table::entry& slot, std::uint32_t server, std::uint64_t replaces,
                     apply_result& out) -> void;
    auto split(const split_entry& entry, const assignment_record& body, apply_result& out) -> void;
    auto merge(const merge_entry& entry, apply_result& out) -> void;
    /// Whether the record being applied assigned the slot `parent`.
    auto is_parent_assigned(const service_id& service, slot_index parent) const -> bool;
    auto release_slot(cell_id cell, slot_table::entry& slot, slot_epoch released, apply_result& out)
        -> void;
    auto transfer_slot(cell_id cell, slot_table::entry& slot, const transfer_entry& entry,
                       apply_result& out) -> void;
    /// Returns the cell if it has this membership epoch; otherwise drops the record and returns
    /// null.
    auto current_cell(cell_id id, std::uint64_t membership_epoch, apply_result& out) -> cell_state*;
    auto set_owner(slot_table::entry& slot, std::uint32_t server) -> void;
    auto mark_released(slot_table::entry& slot) -> void;
    auto release_all_slots(cell_id cell) -> std::uint32_t;
    auto remove_server(const server_id& id, apply_result& out) -> void;
    auto remove_service(const service_id& id, apply_result& out) -> void;
    auto total_slots() const -> std::size_t;
    /// Epoch of the record being applied.
    auto epoch() const -> std::uint64_t { return end_.value() + 1; }

    apply_rules rules_;
    log_offset end_;
    std::map<cell_id, cell_state> cells_;
    std::map<service_id, slot_table> tables_;
    server_table servers_;
    writer_window writers_;
};

} // namespace cornelswitch
