#pragma once

#include "core/clock.h"
#include "core/epoch.h"
#include "core/ids.h"
#include "daemon/messages.h"
#include "routing/idempotency_table.h"

#include <map>
#include <optional>

namespace cornelswitch {

/// Slots of one backend server that this dispatcher holds, and when it took over each of them.
class held_slots {
public:
    held_slots(const dispatcher_assignment& assignment, const clock& time);

    /// Replaces the slots by those of a newer assignment. A slot that is in both keeps its takeover
    /// time.
    auto apply(const dispatcher_assignment& assignment) -> void;
    /// Returns none when the slot is not held, or `slot` is empty.
    auto find(std::optional<slot_index> slot) const -> std::optional<slot_grant>;
    /// When this dispatcher took over the slot; for an empty or unknown slot, the server.
    auto takeover_of(std::optional<slot_index> slot) const -> slot_takeover;
    auto epochs() const -> const std::map<slot_index, slot_epoch>& { return epochs_; }

private:
    const clock& time_;
    slot_takeover server_takeover_;
    std::map<slot_index, slot_epoch> epochs_;
    std::map<slot_index, slot_takeover> takeovers_;
};

} // namespace cornelswitch
