#include "bench/policy_bench/simulated_slot_table.h"

#include "core/hash.h"

#include <algorithm>
#include <numeric>

namespace cornelswitch::bench {

namespace {

// Weight of the newest interval in the moving average of a slot's load.
constexpr double interval_weight = 0.3;
// Hot keys of each server that the planner considers.
constexpr std::size_t reported_keys_per_server = 8;

} // namespace

simulated_slot_table::simulated_slot_table(const service_config& config, const key_source& keys)
    : keys_{keys}, servers_(config.servers.size()),
      counters_(config.servers.size()), hash_slots_{config.hash_slots}
{
    for (std::size_t n = 0; n < config.servers.size(); ++n) {
        servers_[n].capacity = config.servers[n].concurrency;
    }
    slots_.resize(hash_slots_);
    for (std::size_t n = 0; n < keys.size(); ++n) {
        auto hash = hash_key(keys.name(n)).value();
        hashes_.push_back(hash);
        key_of_hash_[hash] = n;
        slot_of_key_.push_back(static_cast<std::uint32_t>(hash % hash_slots_));
        // The initial assignment is balanced for the initial popularity of the keys.
        slots_[slot_of_key_.back()].load += keys.share(n);
    }
    for (const auto& it : plan_moves(make_input({}))) {
        slots_[it.slot.value()].owner = it.to;
    }
    for (auto& it : slots_) {
        it.load = 0;
    }
}

auto simulated_slot_table::slot_of(std::size_t key) const -> std::uint32_t
{
    return slot_of_key_[key];
}

auto simulated_slot_table::is_moving(std::size_t key) const -> bool
{
    return slots_[slot_of_key_[key]].moving || moving_keys_.contains(key);
}

auto simulated_slot_table::count_request(std::size_t key) -> void
{
    auto& slot = slots_[slot_of_key_[key]];
    ++slot.new_requests;
    counters_[slot.owner].add(key_hash{hashes_[key]});
}

auto simulated_slot_table::set_server_state(std::uint32_t server, server_state state) -> void
{
    servers_[server].state = state;
}

auto simulated_slot_table::plan(const profile& policy) -> std::vector<placement_move>
{
    for (auto& it : slots_) {
        auto is_first = it.load == 0;
        it.load += (is_first ? 1 : interval_weight) * (it.new_requests - it.load);
        it.new_requests = 0;
    }
    auto out = plan_moves(make_input(policy));
    for (auto& it : counters_) {
        it.decay();
    }
    return out;
}

auto simulated_slot_table::transfer_lost(const profile& policy) -> std::size_t
{
    auto input = make_input(policy);
    input.concurrent_moves = 0;
    input.concurrent_drains = 0;
    auto transfers = plan_moves(input);
    for (const auto& it : transfers) {
        slots_[it.slot.value()].owner = it.to;
        ++slots_[it.slot.value()].epoch;
    }
    moves_ += transfers.size();
    return transfers.size();
}

auto simulated_slot_table::begin_move(const placement_move& move) -> void
{
    ++moves_;
    auto seconds = std::chrono::duration<double>(move_time).count();
    if (move.key) {
        moving_keys_.insert(key_of_hash_.at(move.key->value()));
        unavailable_key_seconds_ += seconds;
        return;
    }
    slots_[move.slot.value()].moving = true;
    unavailable_key_seconds_ += seconds * static_cast<double>(count_keys(move.slot.value()));
}

auto simulated_slot_table::end_move(const placement_move& move) -> void
{
    if (!move.key) {
        auto& slot = slots_[move.slot.value()];
        slot.moving = false;
        slot.owner = move.to;
        ++slot.epoch;
        return;
    }
    auto key = key_of_hash_.at(move.key->value());
    moving_keys_.erase(key);
    slot_of_key_[key] = static_cast<std::uint32_t>(slots_.size());
    slot_state added;
    added.owner = move.to;
    slots_.push_back(added);
}

auto simulated_slot_table::fill_view(service_view& out) const -> void
{
    for (const auto& it : slots_) {
        out.slots.push_back({it.owner, {it.epoch, 0}});
    }
    for (std::size_t n = 0; n < slot_of_key_.size(); ++n) {
        if (slot_of_key_[n] >= hash_slots_) {
            out.overrides[key_hash{hashes_[n]}] = slot_index{slot_of_key_[n]};
        }
    }
}

auto simulated_slot_table::add_unavailable(std::uint32_t server, duration time) -> void
{
    for (std::uint32_t n = 0; n < slots_.size(); ++n) {
        if (slots_[n].owner == server) {
            auto seconds = std::chrono::duration<double>(time).count();
            unavailable_key_seconds_ += seconds * static_cast<double>(count_keys(n));
        }
    }
}

auto simulated_slot_table::minimum_moves(double bound) const -> std::uint64_t
{
    auto loads = true_loads();
    std::vector<double> slot_loads(slots_.size());
    for (std::size_t n = 0; n < keys_.size(); ++n) {
        slot_loads[slot_of_key_[n]] += keys_.share(n);
    }
    auto active = std::count_if(servers_.begin(), servers_.end(),
                                [](const auto& it) { return it.state == server_state::active; });
    std::uint64_t out = 0;
    for (std::uint32_t server = 0; server < servers_.size(); ++server) {
        std::vector<double> movable;
        for (std::uint32_t n = 0; n < slots_.size(); ++n) {
            if (slots_[n].owner == server) {
                movable.push_back(slot_loads[n]);
            }
        }
        if (servers_[server].state != server_state::active) {
            out += movable.size();
            continue;
        }
        std::sort(movable.rbegin(), movable.rend());
        auto excess = loads[server] - bound / static_cast<double>(active);
        for (auto it = movable.begin(); it != movable.end() && excess > 0; ++it, ++out) {
            excess -= *it;
        }
    }
    return out;
}

auto simulated_slot_table::true_imbalance() const -> double
{
    auto loads = true_loads();
    double largest = 0;
    double active = 0;
    for (std::size_t n = 0; n < loads.size(); ++n) {
        if (servers_[n].state == server_state::active) {
            largest = std::max(largest, loads[n]);
            ++active;
        }
    }
    return largest * active;
}

auto simulated_slot_table::attainable_share(double load) const -> double
{
    auto loads = true_loads();
    double out = 0;
    for (auto it : loads) {
        out += std::min(it, 1 / (load * static_cast<double>(loads.size())));
    }
    return out;
}

auto simulated_slot_table::make_input(const profile& policy) const -> placement_input
{
    placement_input out;
    out.servers = servers_;
    out.move_price_percent = policy.move_price_percent;
    out.load_bound_percent = policy.load_bound_percent;
    out.concurrent_moves = policy.concurrent_moves;
    std::vector<double> server_loads(servers_.size());
    for (const auto& it : slots_) {
        out.slots.push_back({it.owner, it.load, it.moving});
        if (it.owner < servers_.size()) {
            server_loads[it.owner] += it.load;
        }
    }
    for (std::size_t server = 0; server < counters_.size(); ++server) {
        auto top = counters_[server].top(counters_[server].capacity());
        double total = 0;
        for (const auto& it : top) {
            total += it.count;
        }
        for (std::size_t n = 0; n < std::min(reported_keys_per_server, top.size()); ++n) {
            auto key = key_of_hash_.at(top[n].key.value());
            auto slot = slot_of_key_[key];
            if (slots_[slot].owner != server || slot >= hash_slots_) {
                continue;
            }
            auto load = server_loads[server] * (top[n].count - top[n].error) / total;
            out.hot_keys.push_back({top[n].key, slot_index{slot}, load});
        }
    }
    return out;
}

auto simulated_slot_table::count_keys(std::uint32_t slot) const -> std::size_t
{
    auto n = std::count(slot_of_key_.begin(), slot_of_key_.end(), slot);
    return static_cast<std::size_t>(n);
}

auto simulated_slot_table::true_loads() const -> std::vector<double>
{
    std::vector<double> out(servers_.size());
    for (std::size_t n = 0; n < keys_.size(); ++n) {
        auto owner = slots_[slot_of_key_[n]].owner;
        if (owner < out.size()) {
            out[owner] += keys_.share(n);
        }
    }
    return out;
}

} // namespace cornelswitch::bench
