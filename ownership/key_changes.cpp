#include "ownership/key_changes.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto is_unowned(const slot_table& table, slot_index slot) -> bool
{
    const auto& it = table.at(slot);
    return it.major == 0 || it.released != 0;
}

auto assigns(const assignment_record& record, slot_index slot) -> bool
{
    return std::any_of(record.entries.begin(), record.entries.end(),
                       [slot](const assignment_entry& it) { return it.slots.contains(slot); });
}

auto remove(std::vector<std::uint32_t>& slots, slot_index slot) -> void
{
    auto it = std::lower_bound(slots.begin(), slots.end(), slot.value());
    if (it != slots.end() && *it == slot.value()) {
        slots.erase(it);
    }
}

} // namespace

auto key_changes::request(const service_id& service, key_hash key, kind change_kind, time_point now)
    -> void
{
    if (pending_.size() < max_pending) {
        pending_.try_emplace({service, key}, key_change{change_kind, now});
    }
}

auto key_changes::remove_finished(const planner_view& view) -> void
{
    std::erase_if(pending_, [&view](const auto& it) {
        const auto* table = view.state.find_table(it.first.first);
        if (table == nullptr || view.now - it.second.requested >= timeout) {
            return true;
        }
        auto has_slot = table->overrides().contains(it.first.second);
        return has_slot == (it.second.change_kind == kind::split);
    });
}

template<typename handler>
auto key_changes::for_each(const service_id& service, const slot_table& table,
                           const handler& handle) const -> void
{
    for (auto it = pending_.lower_bound({service, key_hash{0}});
         it != pending_.end() && it->first.first == service; ++it) {
        auto key = it->first.second;
        handle(key, it->second.change_kind, table.slot_of(key), table.parent_of(key));
    }
}

auto key_changes::slots_to_release(const service_id& service, const slot_table& table,
                                   std::size_t limit) const -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> out;
    for_each(service, table, [&](key_hash, kind, slot_index own, slot_index parent) {
        if (limit == 0) {
            return;
        }
        --limit;
        for (auto slot : {own, parent}) {
            if (!is_unowned(table, slot)) {
                out.push_back(slot.value());
            }
        }
    });
    return out;
}

auto key_changes::remove_blocked_slots(const service_id& service, const slot_table& table,
                                       std::vector<std::uint32_t>& unowned) const -> void
{
    for_each(service, table, [&](key_hash, kind change_kind, slot_index own, slot_index parent) {
        if (change_kind != kind::merge) {
            return;
        }
        if (!is_unowned(table, own) || !is_unowned(table, parent)) {
            remove(unowned, parent);
        }
        remove(unowned, own);
    });
}

auto key_changes::add_split_and_merge_entries(const service_id& service, const slot_table& table,
                                              const std::function<server_id()>& next_server,
                                              assignment_record& record) const -> void
{
    for_each(service, table,
             [&](key_hash key, kind change_kind, slot_index own, slot_index parent) {
                 if (!assigns(record, parent)) {
                     return;
                 }
                 if (change_kind == kind::split) {
                     auto replaces = table.at(parent).major;
                     record.splits.push_back({service, key, parent, next_server(), replaces});
                 } else {
                     record.merges.push_back({service, key, table.at(own).major});
                 }
             });
}

} // namespace cornelswitch
