#include "ownership/slot_table.h"

#include "ownership/records.h"

#include <algorithm>

namespace cornelswitch {

auto slot_table::slot_of(key_hash key) const -> slot_index
{
    auto it = overrides_.find(key);
    return it != overrides_.end() ? it->second : parent_of(key);
}

auto slot_table::parent_of(key_hash key) const -> slot_index
{
    return slot_index{static_cast<std::uint32_t>(key.value() % hash_slots_)};
}

auto slot_table::add_override(key_hash key) -> std::optional<slot_index>
{
    auto slot = unused_slot();
    if (!slot) {
        if (size() - hash_slots_ >= max_split_slots) {
            return std::nullopt;
        }
        slot = slot_index{size()};
        entries_.emplace_back();
    }
    restore_override(key, *slot);
    return slot;
}

auto slot_table::remove_override(key_hash key) -> void
{
    auto it = overrides_.find(key);
    if (it != overrides_.end()) {
        set_in_use(it->second, false);
        overrides_.erase(it);
    }
}

auto slot_table::restore_override(key_hash key, slot_index slot) -> void
{
    overrides_.emplace(key, slot);
    set_in_use(slot, true);
}

auto slot_table::is_in_use(slot_index slot) const -> bool
{
    if (slot.value() < hash_slots_) {
        return true;
    }
    auto n = slot.value() - hash_slots_;
    return n < split_in_use_.size() && split_in_use_[n];
}

auto slot_table::set_in_use(slot_index slot, bool value) -> void
{
    auto n = slot.value() - hash_slots_;
    split_in_use_.resize(std::max<std::size_t>(split_in_use_.size(), n + std::size_t{1}));
    split_in_use_[n] = value;
}

auto slot_table::unused_slot() const -> std::optional<slot_index>
{
    for (auto n = hash_slots_; n < size(); ++n) {
        if (!is_in_use(slot_index{n})) {
            return slot_index{n};
        }
    }
    return std::nullopt;
}

auto slot_table::memory_bytes() const -> std::size_t
{
    constexpr std::size_t map_node = 4 * sizeof(void*) + sizeof(key_hash) + sizeof(std::uint64_t);
    return sizeof(*this) + entries_.capacity() * sizeof(entry) + overrides_.size() * map_node;
}

} // namespace cornelswitch
