#include "routing/placement.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cornelswitch {

namespace {

constexpr auto no_server = placement_slot::no_server;

// Load added to each slot, as a share of the mean slot load, so that slots without traffic are
// spread evenly, too.
constexpr double base_slot_load_share = 0.05;

/// A possible move from the most loaded server.
struct candidate {
    placement_move move;
    double load{0};
    double largest_load_after{0};
};

class planner {
public:
    explicit planner(const placement_input& input) : input_{input}
    {
        sum_loads();
        for (std::uint32_t n = 0; n < input.servers.size(); ++n) {
            if (input.servers[n].state == server_state::active) {
                by_load_.emplace(relative_load(n), n);
            }
        }
    }

    auto plan() -> std::vector<placement_move>
    {
        if (by_load_.empty()) {
            return {};
        }
        place_unowned();
        drain_servers();
        remaining_moves_ =
            input_.concurrent_moves - std::min(input_.concurrent_moves, moving_count_);
        while (remaining_moves_ > 0 && plan_best_move()) {
            --remaining_moves_;
        }
        return std::move(moves_);
    }

    auto mean_load() const -> double { return mean_load_; }
    auto largest_load() const -> double { return by_load_.empty() ? 0 : by_load_.rbegin()->first; }

private:
    auto sum_loads() -> void
    {
        double total = 0;
        for (const auto& it : input_.slots) {
            total += it.load;
        }
        auto slots = std::max<double>(1, static_cast<double>(input_.slots.size()));
        base_slot_load_ = total > 0 ? base_slot_load_share * total / slots : 1;
        loads_.assign(input_.servers.size(), 0);
        slots_of_.resize(input_.servers.size());
        double capacity = 0;
        for (const auto& it : input_.servers) {
            capacity += it.state == server_state::active ? it.capacity : 0;
        }
        mean_load_ = (total + base_slot_load_ * slots) / std::max(capacity, 1e-9);
        for (std::uint32_t n = 0; n < input_.slots.size(); ++n) {
            const auto& slot = input_.slots[n];
            moving_count_ += slot.moving ? 1 : 0;
            if (slot.owner < input_.servers.size()) {
                loads_[slot.owner] += load_of(n);
                slots_of_[slot.owner].push_back(n);
            }
        }
    }

    auto load_of(std::uint32_t slot) const -> double
    {
        return input_.slots[slot].load + base_slot_load_;
    }
    auto relative_load(std::uint32_t server) const -> double
    {
        return loads_[server] / input_.servers[server].capacity;
    }

    auto add_load(std::uint32_t server, double load) -> void
    {
        auto active = input_.servers[server].state == server_state::active;
        if (active) {
            by_load_.erase({relative_load(server), server});
        }
        loads_[server] += load;
        if (active) {
            by_load_.emplace(relative_load(server), server);
        }
    }

    auto least_loaded() const -> std::uint32_t { return by_load_.begin()->second; }

    auto sorted_by_load(std::vector<std::uint32_t> slots) const -> std::vector<std::uint32_t>
    {
        std::stable_sort(slots.begin(), slots.end(),
                         [&](std::uint32_t a, std::uint32_t b) { return load_of(a) > load_of(b); });
        return slots;
    }

    auto place(std::uint32_t slot, std::uint32_t from) -> void
    {
        auto to = least_loaded();
        add_load(to, load_of(slot));
        moves_.push_back({slot_index{slot}, std::nullopt, from, to});
    }

    auto place_unowned() -> void
    {
        std::vector<std::uint32_t> slots;
        for (std::uint32_t n = 0; n < input_.slots.size(); ++n) {
            auto owner = input_.slots[n].owner;
            auto unowned =
                owner >= input_.servers.size() || input_.servers[owner].state == server_state::lost;
            if (unowned && !input_.slots[n].moving) {
                slots.push_back(n);
            }
        }
        for (auto slot : sorted_by_load(std::move(slots))) {
            auto owner = input_.slots[slot].owner;
            place(slot, owner < input_.servers.size() ? owner : no_server);
        }
    }

    auto drain_servers() -> void
    {
        remaining_moves_ =
            input_.concurrent_drains - std::min(input_.concurrent_drains, moving_count_);
        for (std::uint32_t n = 0; n < input_.servers.size() && remaining_moves_ > 0; ++n) {
            if (input_.servers[n].state != server_state::draining) {
                continue;
            }
            for (auto slot : sorted_by_load(slots_of_[n])) {
                if (remaining_moves_ == 0) {
                    return;
                }
                if (!input_.slots[slot].moving) {
                    place(slot, n);
                    --remaining_moves_;
                }
            }
        }
    }

    /// Plans the move that lowers the largest load most. Returns false if no move gains more than
    /// the move price.
    auto plan_best_move() -> bool
    {
        auto [from_load, from] = *by_load_.rbegin();
        if (from_load * 100 <= mean_load_ * input_.load_bound_percent) {
            return false;
        }
        auto best = best_move(from);
        auto gain = best ? from_load - best->largest_load_after : 0;
        if (!best || gain * 100 <= mean_load_ * input_.move_price_percent) {
            return false;
        }
        add_load(from, -best->load);
        add_load(best->move.to, best->load);
        auto slot = best->move.slot.value();
        if (best->move.key) {
            split_keys_.insert({slot, best->move.key->value()});
            split_slots_.insert(slot);
        } else {
            moved_slots_.insert(slot);
        }
        moves_.push_back(best->move);
        return true;
    }

    auto best_move(std::uint32_t from) const -> std::optional<candidate>
    {
        std::optional<candidate> best;
        auto to = least_loaded();
        auto consider = [&](std::uint32_t slot, std::optional<key_hash> key, double load) {
            auto from_after = (loads_[from] - load) / input_.servers[from].capacity;
            auto to_after = (loads_[to] + load) / input_.servers[to].capacity;
            auto after = std::max(from_after, to_after);
            if (!best || after < best->largest_load_after) {
                best = candidate{{slot_index{slot}, key, from, to}, load, after};
            }
        };
        for (auto slot : slots_of_[from]) {
            if (!input_.slots[slot].moving && !moved_slots_.contains(slot) &&
                !split_slots_.contains(slot)) {
                consider(slot, std::nullopt, load_of(slot));
            }
        }
        if (split_keys_.size() >= input_.remaining_overrides) {
            return best;
        }
        for (const auto& it : input_.hot_keys) {
            auto slot = it.slot.value();
            if (slot >= input_.slots.size() || input_.slots[slot].owner != from ||
                input_.slots[slot].moving || moved_slots_.contains(slot) ||
                split_keys_.contains({slot, it.key.value()}) ||
                it.load >= whole_slot_share * input_.slots[slot].load) {
                continue;
            }
            consider(slot, it.key, it.load);
        }
        return best;
    }

    const placement_input& input_;
    std::vector<double> loads_;
    std::vector<std::vector<std::uint32_t>> slots_of_;
    /// Active servers, sorted by relative load.
    std::set<std::pair<double, std::uint32_t>> by_load_;
    double mean_load_{0};
    double base_slot_load_{0};
    std::size_t moving_count_{0};
    std::size_t remaining_moves_{0};
    std::set<std::uint32_t> moved_slots_;
    std::set<std::pair<std::uint32_t, std::uint64_t>> split_keys_;
    std::set<std::uint32_t> split_slots_;
    std::vector<placement_move> moves_;
};

} // namespace

auto plan_moves(const placement_input& input) -> std::vector<placement_move>
{
    return planner{input}.plan();
}

auto imbalance(const placement_input& input) -> double
{
    planner it{input};
    return it.mean_load() > 0 ? it.largest_load() / it.mean_load() : 1;
}

} // namespace cornelswitch
