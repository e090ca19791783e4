#pragma once

#include "bench/policy_bench/key_source.h"
#include "core/clock.h"
#include "routing/hot_key_counter.h"
#include "routing/placement.h"
#include "routing/routing_view.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cornelswitch::bench {

/// Slots of the keyed service with their owners and measured loads. Replaces the ownership state in
/// the simulation and calls the placement policy.
class simulated_slot_table {
public:
    /// Time for the drain, release and assignment of one planned move.
    static constexpr duration move_time = std::chrono::milliseconds{50};

    simulated_slot_table(const service_config& config, const key_source& keys);

    auto slot_of(std::size_t key) const -> std::uint32_t;
    auto owner_of(std::uint32_t slot) const -> std::uint32_t { return slots_[slot].owner; }
    /// Whether the key is in a planned move that has begun and not ended.
    auto is_moving(std::size_t key) const -> bool;
    /// Counts a request for the key.
    auto count_request(std::size_t key) -> void;

    auto set_server_state(std::uint32_t server, server_state state) -> void;
    /// Updates the load of each slot with the requests counted since the last call, and plans
    /// moves.
    auto plan(const profile& policy) -> std::vector<placement_move>;
    /// Assigns the slots of lost servers to other servers at once. Returns the number of slots.
    auto transfer_lost(const profile& policy) -> std::size_t;
    auto begin_move(const placement_move& move) -> void;
    auto end_move(const placement_move& move) -> void;
    /// Writes the slots and their owners to the view.
    auto fill_view(service_view& out) const -> void;

    auto moves() const -> std::uint64_t { return moves_; }
    auto unavailable_key_seconds() const -> double { return unavailable_key_seconds_; }
    /// Counts all keys of the server as unavailable for this time.
    auto add_unavailable(std::uint32_t server, duration time) -> void;
    /// Minimum number of slots and hot keys that must move so that no server has more than `bound`
    /// times the mean load and no slot is on a server that is not active. Uses the true
    /// popularity of the keys, not the measured load.
    auto minimum_moves(double bound) const -> std::uint64_t;
    /// Largest load of an active server relative to the mean, with the true popularity of keys.
    auto true_imbalance() const -> double;
    /// Share of the requests that the owners can complete if each server completes at most its
    /// share of the capacity. `load` is the load of the service relative to its capacity.
    auto attainable_share(double load) const -> double;

private:
    struct slot_state {
        std::uint32_t owner{placement_slot::no_server};
        double load{0};
        /// Requests since the last plan.
        std::uint32_t new_requests{0};
        std::uint64_t epoch{1};
        bool moving{false};
    };

    auto make_input(const profile& policy) const -> placement_input;
    auto count_keys(std::uint32_t slot) const -> std::size_t;
    auto true_loads() const -> std::vector<double>;

    const key_source& keys_;
    std::vector<std::uint64_t> hashes_;
    std::unordered_map<std::uint64_t, std::size_t> key_of_hash_;
    std::vector<std::uint32_t> slot_of_key_;
    std::vector<slot_state> slots_;
    std::vector<placement_server> servers_;
    std::vector<hot_key_counter> counters_;
    std::set<std::size_t> moving_keys_;
    std::uint32_t hash_slots_;
    std::uint64_t moves_{0};
    double unavailable_key_seconds_{0};
};

} // namespace cornelswitch::bench
