#include "daemon/held_slots.h"

namespace cornelswitch {

held_slots::held_slots(const server_duty& duty, const clock& time) : time_{time}
{
    auto held_for = time_.now() - duty.taken_at;
    server_.taken_at = duty.taken_at;
    server_.taken_wall =
        time_.wall_now() - std::chrono::duration_cast<wall_time_point::duration>(held_for);
    apply(duty);
}

auto held_slots::apply(const server_duty& duty) -> void
{
    epochs_.clear();
    // A slot may have been served by another dispatcher until now.
    slot_takeover since{time_.now(), time_.wall_now()};
    for (const auto& it : duty.slots) {
        epochs_[it.slot] = it.epoch;
        tenures_.try_emplace(it.slot, since);
    }
    std::erase_if(tenures_, [this](const auto& it) { return !epochs_.contains(it.first); });
}

auto held_slots::find(std::optional<slot_index> slot) const -> std::optional<slot_grant>
{
    auto it = slot ? epochs_.find(*slot) : epochs_.end();
    return it != epochs_.end() ? std::optional{slot_grant{it->first, it->second}} : std::nullopt;
}

auto held_slots::tenure_of(std::optional<slot_index> slot) const -> slot_takeover
{
    auto it = slot ? tenures_.find(*slot) : tenures_.end();
    return it != tenures_.end() ? it->second : server_;
}

} // namespace cornelswitch
