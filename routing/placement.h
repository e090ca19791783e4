#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cornelswitch {

enum class server_state : std::uint8_t {
    active,
    /// Its slots are moved to other servers, a few at a time.
    draining,
    /// Its slots have no owner and are placed immediately.
    lost,
};

struct placement_server {
    server_state state{server_state::active};
    /// Relative capacity, for example the concurrency limit.
    double capacity{1};
};

struct placement_slot {
    static constexpr std::uint32_t no_server = UINT32_MAX;

    /// Index into the servers, or `no_server`.
    std::uint32_t owner{no_server};
    /// Requests per second, or any other unit that is the same for all slots.
    double load{0};
    /// The slot is already being moved and keeps its owner in this plan.
    bool moving{false};
};

/// A hot key in a slot, with its load in the same unit as the load of the slots.
struct placement_key {
    key_hash key;
    slot_index slot;
    double load{0};
};

struct placement_input {
    std::vector<placement_server> servers;
    std::vector<placement_slot> slots;
    std::vector<placement_key> hot_keys;
    /// Values of the profile.
    double move_price_percent{10};
    double load_bound_percent{125};
    std::size_t concurrent_moves{4};
    /// Slots of draining servers that may move at the same time. The limit is higher than
    /// `concurrent_moves`, because a zone that is taken out of service must get no new work after
    /// 3 s.
    std::size_t concurrent_drains{64};
    /// Number of further keys that may get a slot of their own.
    std::size_t remaining_overrides{64};
};

struct placement_move {
    slot_index slot;
    /// If set, only this key moves, into a slot of its own.
    std::optional<key_hash> key;
    /// `no_server` for slots that had no owner.
    std::uint32_t from{placement_slot::no_server};
    std::uint32_t to{0};
    friend auto operator==(const placement_move&, const placement_move&) -> bool = default;
};

/// If a key causes at least this share of its slot's load, the whole slot moves. Otherwise only the
/// key moves, into a slot of its own.
inline constexpr double whole_slot_share = 0.8;

/// Plans moves: first of slots without an owner, then of slots of draining servers, then of slots
/// or hot keys of servers above the load bound. The last kind is planned only if it lowers the
/// largest load by more than the move price. All other slots keep their owner. Deterministic. The
/// plan is empty if no server is active.
auto plan_moves(const placement_input& input) -> std::vector<placement_move>;

/// Largest load of an active server relative to the mean, both per unit of capacity. 1 means
/// perfect balance.
auto imbalance(const placement_input& input) -> double;

} // namespace cornelswitch
