#include "daemon/moved_slots.h"

namespace cornelswitch {

namespace {

auto add(const std::vector<register_entry>& entries, std::vector<moved_slot>& out) -> void
{
    for (const auto& it : entries) {
        if (it.value.target) {
            out.push_back({it.key.service, it.key.slot, it.value.epoch, *it.value.target});
        }
    }
}

} // namespace

auto moved_slots::set_own(cell_id cell, const std::vector<register_entry>& entries, time_point now)
    -> bool
{
    auto& state = own_[cell];
    if (state.entries == entries) {
        return false;
    }
    state = {entries, now + announce_after, {}};
    return true;
}

auto moved_slots::set_announced(cell_id cell, const std::vector<register_entry>& entries) -> bool
{
    auto& known = announced_[cell];
    if (known == entries) {
        return false;
    }
    known = entries;
    return true;
}

auto moved_slots::all() const -> std::vector<moved_slot>
{
    std::vector<moved_slot> out;
    for (const auto& [cell, it] : own_) {
        add(it.entries, out);
    }
    for (const auto& [cell, it] : announced_) {
        add(it, out);
    }
    return out;
}

auto moved_slots::take_due_announcements(time_point now) -> std::vector<cell_id>
{
    std::vector<cell_id> out;
    for (auto& [cell, it] : own_) {
        if (!it.entries.empty() && now >= it.announce_at) {
            it.announce_at = now + announce_interval;
            out.push_back(cell);
        }
    }
    return out;
}

auto moved_slots::own(cell_id cell) const -> const std::vector<register_entry>&
{
    static const std::vector<register_entry> none;
    auto it = own_.find(cell);
    return it == own_.end() ? none : it->second.entries;
}

auto moved_slots::is_unconfirmed(cell_id cell, const instance_id& instance) const -> bool
{
    auto it = own_.find(cell);
    return it != own_.end() && !it->second.confirmed.contains(instance);
}

auto moved_slots::confirm(cell_id cell, const std::vector<register_entry>& entries,
                          const instance_id& instance) -> void
{
    auto it = own_.find(cell);
    if (it != own_.end() && it->second.entries == entries) {
        it->second.confirmed.insert(instance);
    }
}

} // namespace cornelswitch
