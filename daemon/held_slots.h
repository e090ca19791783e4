#pragma once

#include "core/clock.h"
#include "core/epoch.h"
#include "core/ids.h"
#include "daemon/messages.h"
#include "routing/idempotency_table.h"

#include <map>
#include <optional>

namespace cornelswitch {

/// Slots of one backend server, and since when this dispatcher has held each of them.
class held_slots {
public:
    held_slots(const server_duty& duty, const clock& time);

    /// Takes over the slots of a newer duty. A slot that stays keeps its tenure.
    auto apply(const server_duty& duty) -> void;
    /// None when the slot is not held, or none is asked for.
    auto find(std::optional<slot_index> slot) const -> std::optional<slot_grant>;
    /// Since when this dispatcher has held the slot; without a slot, the server.
    auto tenure_of(std::optional<slot_index> slot) const -> slot_takeover;
    auto epochs() const -> const std::map<slot_index, slot_epoch>& { return epochs_; }

private:
    const clock& time_;
    slot_takeover server_;
    std::map<slot_index, slot_epoch> epochs_;
    std::map<slot_index, slot_takeover> tenures_;
};

} // namespace cornelswitch
