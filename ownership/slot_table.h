#pragma once

#include "core/epoch.h"
#include "core/ids.h"
#include "ownership/server_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelswitch {

/// Slots of one service: the hash slots, followed by the slots of split-off hot keys.
class slot_table {
public:
    /// Last assignment of a slot, packed into 16 bytes.
    struct entry {
        std::uint64_t major{0};
        std::uint32_t server{server_table::none};
        std::uint32_t minor : 31 {0};
        std::uint32_t released : 1 {0};

        auto epoch() const -> slot_epoch { return {major, minor}; }
        friend auto operator==(const entry&, const entry&) -> bool = default;
    };

    slot_table() = default;
    explicit slot_table(std::uint32_t hash_slots) : hash_slots_{hash_slots}, entries_(hash_slots) {}

    auto hash_slots() const -> std::uint32_t { return hash_slots_; }
    /// Number of hash slots and slots of split-off keys.
    auto size() const -> std::uint32_t { return static_cast<std::uint32_t>(entries_.size()); }
    auto at(slot_index slot) const -> const entry& { return entries_[slot.value()]; }
    auto at(slot_index slot) -> entry& { return entries_[slot.value()]; }
    auto entries() const -> const std::vector<entry>& { return entries_; }

    /// Whether keys map to the slot; false for the former slot of a key that was merged back.
    auto is_in_use(slot_index slot) const -> bool;

    /// Slots of the split-off keys.
    auto overrides() const -> const std::map<key_hash, slot_index>& { return overrides_; }
    auto slot_of(key_hash key) const -> slot_index;
    /// Hash slot of a key, even if the key has been split off.
    auto parent_of(key_hash key) const -> slot_index;

    /// Gives a key its own slot, reusing an unused slot if there is one. Returns nothing when the
    /// limit is reached.
    auto add_override(key_hash key) -> std::optional<slot_index>;
    /// Returns a key to its hash slot. The key's own slot and its epoch are kept for reuse by the
    /// next split-off key.
    auto remove_override(key_hash key) -> void;
    /// Appends a slot from a decoded snapshot.
    auto restore(const entry& it) -> void { entries_.push_back(it); }
    auto restore_override(key_hash key, slot_index slot) -> void;
    auto set_hash_slots(std::uint32_t n) -> void { hash_slots_ = n; }

    auto memory_bytes() const -> std::size_t;

private:
    auto unused_slot() const -> std::optional<slot_index>;
    auto set_in_use(slot_index slot, bool value) -> void;

    std::uint32_t hash_slots_{0};
    std::vector<entry> entries_;
    std::map<key_hash, slot_index> overrides_;
    /// Whether each slot after the hash slots is in use.
    std::vector<bool> split_in_use_;
};

} // namespace cornelswitch
