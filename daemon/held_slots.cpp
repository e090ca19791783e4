#include "daemon/held_slots.h"

namespace cornelswitch {

held_slots::held_slots(const dispatcher_assignment& assignment, const clock& time) : time_{time}
{
    auto held_for = time_.now() - assignment.acquired_at;
    server_takeover_.taken_at = assignment.acquired_at;
    server_takeover_.taken_at_wall =
        time_.wall_now() - std::chrono::duration_cast<wall_time_point::duration>(held_for);
    apply(assignment);
}

auto held_slots::apply(const dispatcher_assignment& assignment) -> void
{
    epochs_.clear();
    // Another dispatcher may have served a new slot until now.
    slot_takeover since{time_.now(), time_.wall_now()};
    for (const auto& it : assignment.slots) {
        epochs_[it.slot] = it.epoch;
        takeovers_.try_emplace(it.slot, since);
    }
    std::erase_if(takeovers_, [this](const auto& it) { return !epochs_.contains(it.first); });
}

auto held_slots::find(std::optional<slot_index> slot) const -> std::optional<slot_grant>
{
    auto it = slot ? epochs_.find(*slot) : epochs_.end();
    return it != epochs_.end() ? std::optional{slot_grant{it->first, it->second}} : std::nullopt;
}

auto held_slots::takeover_of(std::optional<slot_index> slot) const -> slot_takeover
{
    auto it = slot ? takeovers_.find(*slot) : takeovers_.end();
    return it != takeovers_.end() ? it->second : server_takeover_;
}

} // namespace cornelswitch
