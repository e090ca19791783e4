#include "ownership/ownership_state.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto slot_count(const slot_set& slots) -> std::uint32_t
{
    return static_cast<std::uint32_t>(slots.size());
}

// Calls `handle` for each slot of the set that is in use in the table, and counts the others as
// dropped.
template<typename handler>
auto for_each_slot(slot_table& table, const slot_set& slots, apply_result& out,
                   const handler& handle) -> void
{
    for (const auto& range : slots.ranges()) {
        for (auto n = range.first; n <= range.last; ++n) {
            if (n < table.size() && table.is_in_use(slot_index{n})) {
                handle(table.at(slot_index{n}));
            } else {
                out.drop(drop_reason::unknown_slot);
            }
        }
    }
}

} // namespace

auto ownership_state::apply_body(const assignment_record& body, apply_result& out) -> void
{
    for (const auto& it : body.tables) {
        create_table(it);
    }
    for (const auto& it : body.entries) {
        assign(it, out);
    }
    for (const auto& it : body.splits) {
        split(it, body, out);
    }
    for (const auto& it : body.merges) {
        merge(it, out);
    }
}

auto ownership_state::create_table(const table_entry& entry) -> void
{
    auto fits = total_slots() + entry.hash_slots <= max_total_slots;
    if (fits && tables_.size() < max_services) {
        tables_.try_emplace(entry.service, entry.hash_slots);
    }
}

auto ownership_state::total_slots() const -> std::size_t
{
    std::size_t n = 0;
    for (const auto& [id, table] : tables_) {
        n += table.size();
    }
    return n;
}

auto ownership_state::assign(const assignment_entry& entry, apply_result& out) -> void
{
    auto table = tables_.find(entry.service);
    if (table == tables_.end()) {
        return out.drop(drop_reason::unknown_service, slot_count(entry.slots));
    }
    if (!cell_of(entry.server)) {
        return out.drop(drop_reason::unknown_server, slot_count(entry.slots));
    }
    auto server = servers_.find(entry.server);
    for_each_slot(table->second, entry.slots, out,
                  [&](slot_table::entry& slot) { assign_slot(slot, server, entry.replaces, out); });
}

auto ownership_state::assign_slot(slot_table::entry& slot, std::uint32_t server,
                                  std::uint64_t replaces, apply_result& out) -> void
{
    if (slot.major != replaces) {
        return out.drop(drop_reason::stale_epoch, 1, slot.major);
    }
    auto is_free = slot.major == 0 || slot.released != 0;
    if (!is_free && rules_.require_release) {
        return out.drop(drop_reason::not_released);
    }
    mark_released(slot);
    set_owner(slot, server);
    slot.major = epoch();
    slot.minor = 0;
    slot.released = 0;
    ++servers_.at(server).unreleased;
    out.accept();
}

auto ownership_state::is_parent_assigned(const service_id& service, slot_index parent) const -> bool
{
    const auto* table = find_table(service);
    return table != nullptr && table->at(parent).major == epoch();
}

auto ownership_state::split(const split_entry& entry, const assignment_record& body,
                            apply_result& out) -> void
{
    auto table = tables_.find(entry.service);
    if (table == tables_.end()) {
        return out.drop(drop_reason::unknown_service);
    }
    if (!cell_of(entry.server)) {
        return out.drop(drop_reason::unknown_server);
    }
    auto parent = table->second.parent_of(entry.key);
    if (entry.parent != parent || table->second.overrides().contains(entry.key)) {
        return out.drop(drop_reason::wrong_key);
    }
    auto names_parent = [&](const assignment_entry& it) {
        return it.service == entry.service && it.replaces == entry.replaces &&
               it.slots.contains(parent);
    };
    auto is_parent_named = std::any_of(body.entries.begin(), body.entries.end(), names_parent);
    if (!is_parent_named || !is_parent_assigned(entry.service, parent)) {
        return out.drop(drop_reason::parent_not_assigned);
    }
    auto slot =
        total_slots() < max_total_slots ? table->second.add_override(entry.key) : std::nullopt;
    if (!slot) {
        return out.drop(drop_reason::limit);
    }
    auto& it = table->second.at(*slot);
    assign_slot(it, servers_.find(entry.server), it.major, out);
}

auto ownership_state::merge(const merge_entry& entry, apply_result& out) -> void
{
    auto table = tables_.find(entry.service);
    if (table == tables_.end()) {
        return out.drop(drop_reason::unknown_service);
    }
    auto it = table->second.overrides().find(entry.key);
    if (it == table->second.overrides().end()) {
        return out.drop(drop_reason::wrong_key);
    }
    const auto& slot = table->second.at(it->second);
    if (slot.major != entry.replaces) {
        return out.drop(drop_reason::stale_epoch, 1, slot.major);
    }
    if (slot.released == 0) {
        return out.drop(drop_reason::not_released);
    }
    if (!is_parent_assigned(entry.service, table->second.parent_of(entry.key))) {
        return out.drop(drop_reason::parent_not_assigned);
    }
    table->second.remove_override(entry.key);
    out.accept();
}

auto ownership_state::apply_body(const release_record& body, apply_result& out) -> void
{
    for (const auto& it : body.entries) {
        auto table = tables_.find(it.service);
        if (table == tables_.end()) {
            out.drop(drop_reason::unknown_service, slot_count(it.slots));
            continue;
        }
        for_each_slot(table->second, it.slots, out, [&](slot_table::entry& slot) {
            release_slot(body.cell, slot, it.epoch, out);
        });
    }
}

auto ownership_state::release_slot(cell_id cell, slot_table::entry& slot, slot_epoch released,
                                   apply_result& out) -> void
{
    // A lower minor epoch belongs to a previous holder; a later transfer has granted the slot
    // again.
    if (slot.major != released.major || released.minor < slot.minor) {
        return out.drop(drop_reason::stale_epoch, 1, slot.major);
    }
    if (slot.major == 0) {
        return out.drop(drop_reason::unknown_slot);
    }
    if (slot.released != 0) {
        return out.drop(drop_reason::already_released);
    }
    if (servers_.at(slot.server).cell != cell) {
        return out.drop(drop_reason::not_in_cell);
    }
    mark_released(slot);
    slot.minor = static_cast<std::uint32_t>(released.minor);
    out.accept();
}

auto ownership_state::apply_body(const transfer_record& body, apply_result& out) -> void
{
    for (const auto& it : body.entries) {
        auto table = tables_.find(it.service);
        if (table == tables_.end()) {
            out.drop(drop_reason::unknown_service, slot_count(it.slots));
            continue;
        }
        if (cell_of(it.server) != body.cell) {
            out.drop(drop_reason::not_in_cell, slot_count(it.slots));
            continue;
        }
        for_each_slot(table->second, it.slots, out,
                      [&](slot_table::entry& slot) { transfer_slot(body.cell, slot, it, out); });
    }
}

auto ownership_state::transfer_slot(cell_id cell, slot_table::entry& slot,
                                    const transfer_entry& entry, apply_result& out) -> void
{
    if (slot.major != entry.epoch.major || entry.epoch.minor <= slot.minor) {
        return out.drop(drop_reason::stale_epoch, 1, slot.major);
    }
    if (slot.major == 0) {
        return out.drop(drop_reason::unknown_slot);
    }
    if (slot.released != 0) {
        return out.drop(drop_reason::already_released);
    }
    if (servers_.at(slot.server).cell != cell) {
        return out.drop(drop_reason::not_in_cell);
    }
    mark_released(slot);
    set_owner(slot, servers_.find(entry.server));
    slot.released = 0;
    slot.minor = static_cast<std::uint32_t>(entry.epoch.minor);
    ++servers_.at(slot.server).unreleased;
    out.accept();
}

auto ownership_state::set_owner(slot_table::entry& slot, std::uint32_t server) -> void
{
    auto old = slot.server;
    ++servers_.at(server).slots;
    slot.server = server;
    if (old != server_table::none) {
        --servers_.at(old).slots;
        servers_.drop_if_unused(old);
    }
}

auto ownership_state::mark_released(slot_table::entry& slot) -> void
{
    if (slot.server != server_table::none && slot.released == 0) {
        --servers_.at(slot.server).unreleased;
    }
    slot.released = 1;
}

} // namespace cornelswitch
