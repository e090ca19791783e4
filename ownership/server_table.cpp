#include "ownership/server_table.h"

namespace cornelswitch {

auto server_table::find(const server_id& id) const -> std::uint32_t
{
    auto it = indexes_.find(id);
    return it == indexes_.end() ? none : it->second;
}

auto server_table::find_or_add(const server_id& id) -> std::uint32_t
{
    auto index = find(id);
    if (index != none) {
        return index;
    }
    if (free_.empty()) {
        index = static_cast<std::uint32_t>(entries_.size());
        entries_.push_back({id});
    } else {
        index = free_.back();
        free_.pop_back();
        entries_[index] = {id};
    }
    indexes_.emplace(id, index);
    return index;
}

auto server_table::drop_if_unused(std::uint32_t index) -> void
{
    auto& it = entries_[index];
    if (it.cell || it.slots != 0) {
        return;
    }
    indexes_.erase(it.id);
    it = {};
    free_.push_back(index);
}

auto server_table::memory_bytes() const -> std::size_t
{
    constexpr std::size_t map_node = 4 * sizeof(void*) + sizeof(server_id) + sizeof(std::uint64_t);
    return entries_.capacity() * sizeof(entry) + free_.capacity() * sizeof(std::uint32_t) +
           indexes_.size() * map_node;
}

} // namespace cornelswitch
