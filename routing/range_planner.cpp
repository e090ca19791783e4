#include "routing/range_planner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cornelswitch {

namespace {

/// Keys are moved off a server only above this utilization; below it the queue is short anyway.
constexpr double busy_utilization = 0.55;
/// Keys are moved off a server whose utilization exceeds the mean by this factor.
constexpr double busy_factor = 1.25;
/// Standard deviations by which a rate must exceed the bound, so that random fluctuations cause no
/// moves.
constexpr double confidence_deviations = 1.0;
/// A slice must carry at least this share of the wanted rate.
constexpr double slice_tolerance = 0.75;
/// Minimum rate of a slice that is worth a move, in requests per second.
constexpr double min_slice_rate = 0.4;
/// A single group of keys that uses more than this share of an average server's capacity is placed
/// on a server of its own, because it cannot be split to offload its owner.
constexpr double hot_group_share = 0.45;
/// A hot group moves only to a server whose capacity is higher by this factor.
constexpr double hot_group_gain = 1.2;
/// A range without an owner is divided if it would use more than this share of a server.
constexpr double max_unowned_share = 0.3;
constexpr std::uint32_t max_unowned_parts = 8;

struct server_load {
    planned_server server;
    double rate{0};
    /// Part of `rate` from hot groups, which stay on the server.
    double hot_rate{0};
    std::uint32_t keys{0};

    auto utilization() const -> double { return rate / std::max(0.001, server.capacity); }
};

class plan_builder {
public:
    plan_builder(const std::vector<planned_server>& servers,
                 const std::vector<planned_range>& ranges, const key_rate_estimator& key_rates,
                 std::map<std::uint32_t, time_point>& hot_group_moves, time_point now)
        : ranges_{ranges}, key_rates_{key_rates}, rates_{key_rates.rates(now)},
          hot_group_moves_{hot_group_moves}, now_{now}
    {
        for (const auto& it : servers) {
            loads_.emplace(it.id, server_load{it, 0, 0, 0});
        }
        for (const auto& it : ranges_) {
            auto owner = it.owner ? loads_.find(*it.owner) : loads_.end();
            if (owner != loads_.end()) {
                owner->second.rate += key_rates_.rate(it.keys, now_);
                owner->second.keys += it.keys.size();
            }
        }
    }

    auto build() -> std::vector<range_move>
    {
        if (loads_.empty()) {
            return {};
        }
        place_unowned_ranges();
        if (moves_.empty()) {
            place_hot_groups();
            fill_empty_servers();
            offload_busy_servers();
        }
        return std::move(moves_);
    }

private:
    auto has_owner(const planned_range& it) const -> bool
    {
        return it.owner && loads_.contains(*it.owner);
    }

    auto least_loaded() -> server_load&
    {
        auto less = [](const auto& left, const auto& right) {
            auto a = left.second.utilization();
            auto b = right.second.utilization();
            // The number of keys decides between servers without traffic.
            return a != b ? a < b
                          : left.second.keys / left.second.server.capacity <
                                right.second.keys / right.second.server.capacity;
        };
        return std::min_element(loads_.begin(), loads_.end(), less)->second;
    }

    auto move(key_range keys, server_load& target) -> void
    {
        moves_.push_back({keys, target.server.id});
        target.rate += key_rates_.rate(keys, now_);
        target.keys += keys.size();
    }

    auto place_unowned_ranges() -> void
    {
        double total_capacity = 0;
        for (const auto& [id, load] : loads_) {
            total_capacity += load.server.capacity;
        }
        for (const auto& it : ranges_) {
            if (has_owner(it) || it.is_moving || moves_.size() >= max_unowned_moves()) {
                continue;
            }
            if (it.keys.size() > numeric_keys / 2) {
                divide_by_capacity(it.keys, total_capacity);
                continue;
            }
            double rate = key_rates_.rate(it.keys, now_);
            double share = rate / (total_capacity / static_cast<double>(loads_.size()));
            auto parts = static_cast<std::uint32_t>(std::ceil(share / max_unowned_share));
            auto by_size = it.keys.size() * loads_.size() / numeric_keys + 1;
            parts = std::max<std::uint32_t>(parts, static_cast<std::uint32_t>(by_size));
            parts =
                std::clamp<std::uint32_t>(parts, 1, std::min(max_unowned_parts, it.keys.size()));
            divide_evenly(it.keys, parts, rate);
        }
    }

    auto max_moves() const -> std::size_t
    {
        return std::max(range_planner::max_moves, loads_.size() / range_planner::servers_per_move);
    }

    /// Ranges without an owner are not served at all, so more of them are placed in one plan.
    auto max_unowned_moves() const -> std::size_t { return 8 * range_planner::max_moves; }

    auto divide_by_capacity(key_range keys, double total_capacity) -> void
    {
        double done = 0;
        std::uint32_t first = keys.first;
        std::size_t left = loads_.size();
        for (auto& [id, load] : loads_) {
            done += load.server.capacity;
            auto end = keys.first + static_cast<std::uint32_t>(keys.size() * done / total_capacity);
            if (--left == 0) {
                end = keys.last + 1U;
            }
            if (end > first) {
                move({static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(end - 1)},
                     load);
                first = end;
            }
        }
    }

    /// Divides a range into parts of about the same rate, or the same size when it has no traffic.
    auto divide_evenly(key_range keys, std::uint32_t parts, double rate) -> void
    {
        std::uint32_t first = keys.first;
        for (std::uint32_t n = 1; n <= parts; ++n) {
            std::uint32_t last = keys.last;
            if (n < parts && rate > 0) {
                last = end_of_slice(first, keys.last, rate / parts);
            } else if (n < parts) {
                last = keys.first + keys.size() * n / parts - 1;
            }
            if (last < first) {
                continue;
            }
            move({static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(last)},
                 least_loaded());
            first = last + 1;
            if (first > keys.last) {
                return;
            }
        }
    }

    auto end_of_slice(std::uint32_t first, std::uint32_t limit, double wanted) const
        -> std::uint32_t
    {
        double sum = 0;
        std::uint32_t key = first;
        while (key < limit) {
            auto group_end =
                (key / key_rate_estimator::group_keys + 1) * key_rate_estimator::group_keys - 1;
            auto last = std::min(group_end, limit);
            sum += rates_[key / key_rate_estimator::group_keys] * (last - key + 1) /
                   key_rate_estimator::group_keys;
            if (sum >= wanted) {
                return last;
            }
            key = last + 1;
        }
        return limit;
    }

    auto mean_utilization() const -> double
    {
        double rate = 0;
        double capacity = 0;
        for (const auto& [id, load] : loads_) {
            rate += load.rate;
            capacity += load.server.capacity;
        }
        return capacity > 0 ? rate / capacity : 0;
    }

    auto is_busy(const server_load& it, double mean) const -> bool
    {
        double rate_lower_bound =
            it.rate - confidence_deviations * key_rates_.standard_deviation(it.rate);
        double utilization = rate_lower_bound / std::max(0.001, it.server.capacity);
        if (utilization > std::max(busy_utilization, busy_factor * mean)) {
            return true;
        }
        return it.server.backlog > 2U * it.server.slots && it.utilization() > mean;
    }

    auto busiest(double mean) -> server_load*
    {
        server_load* out = nullptr;
        for (auto& [id, load] : loads_) {
            if (is_busy(load, mean) && !cannot_offload_.contains(id) &&
                (out == nullptr || load.utilization() > out->utilization())) {
                out = &load;
            }
        }
        return out;
    }

    auto offload_busy_servers() -> void
    {
        double mean = mean_utilization();
        while (moves_.size() < max_moves()) {
            auto* donor = busiest(mean);
            if (donor == nullptr) {
                return;
            }
            auto& target = least_loaded();
            double excess = donor->rate - mean * donor->server.capacity;
            double room = mean * target.server.capacity - target.rate;
            double wanted = std::min({excess, room, 0.95 * (donor->rate - donor->hot_rate)});
            bool is_too_little = wanted < min_slice_rate || &target == donor;
            auto slice = is_too_little ? std::nullopt : narrowest_slice(donor->server.id, wanted);
            if (!slice && !is_too_little) {
                // The keys of the donor are scattered over ranges that carry less each. Several of
                // them together relieve it.
                slice = heaviest_slice(donor->server.id);
            }
            if (!slice) {
                cannot_offload_.emplace(donor->server.id, true);
                continue;
            }
            auto rate = key_rates_.rate(*slice, now_);
            // Moving a single busy group must not just overload the target instead.
            if (rate > 1.5 * excess ||
                (target.rate + rate) / target.server.capacity > donor->utilization()) {
                cannot_offload_.emplace(donor->server.id, true);
                continue;
            }
            detach_slice(*slice, *donor, rate);
            move(*slice, target);
        }
    }

    /// Gives a server without keys a share of the busiest server, even if the others are balanced.
    auto fill_empty_servers() -> void
    {
        for (auto& [id, load] : loads_) {
            if (load.keys > 0 || moves_.size() >= max_moves()) {
                continue;
            }
            auto more = [](const auto& left, const auto& right) {
                return left.second.utilization() < right.second.utilization();
            };
            auto& donor = std::max_element(loads_.begin(), loads_.end(), more)->second;
            double wanted = std::min((donor.rate - donor.hot_rate) / 2,
                                     mean_utilization() * load.server.capacity);
            auto slice =
                wanted < min_slice_rate ? std::nullopt : narrowest_slice(donor.server.id, wanted);
            if (slice) {
                detach_slice(*slice, donor, key_rates_.rate(*slice, now_));
                move(*slice, load);
            }
        }
    }

    /// Places groups that fill a server by themselves on the fastest servers, one on each, and
    /// excludes them from the slices that offload busy servers.
    auto place_hot_groups() -> void
    {
        double mean_capacity = 0;
        for (const auto& [id, load] : loads_) {
            mean_capacity += load.server.capacity / static_cast<double>(loads_.size());
        }
        std::vector<std::uint32_t> hot;
        for (std::uint32_t n = 0; n < key_rate_estimator::groups; ++n) {
            double rate_lower_bound = rates_[n] - key_rates_.standard_deviation(rates_[n]);
            if (rate_lower_bound > hot_group_share * mean_capacity) {
                hot.push_back(n);
            }
        }
        std::ranges::sort(hot, [&](auto left, auto right) { return rates_[left] > rates_[right]; });
        std::map<server_id, bool> hot_group_hosts;
        for (auto n : hot) {
            place_hot_group(n, hot_group_hosts);
        }
    }

    auto place_hot_group(std::uint32_t group, std::map<server_id, bool>& hot_group_hosts) -> void
    {
        auto first = static_cast<std::uint16_t>(group * key_rate_estimator::group_keys);
        key_range keys{first,
                       static_cast<std::uint16_t>(first + key_rate_estimator::group_keys - 1)};
        const auto* range = range_of(keys);
        reserved_.push_back(keys);
        if (range == nullptr || range->is_moving || !has_owner(*range)) {
            return;
        }
        auto& owner = loads_.at(*range->owner);
        server_load* best = nullptr;
        for (auto& [id, load] : loads_) {
            if (!hot_group_hosts.contains(id) &&
                (best == nullptr || load.server.capacity > best->server.capacity)) {
                best = &load;
            }
        }
        bool is_owner_fast_enough =
            best == nullptr || best->server.capacity < hot_group_gain * owner.server.capacity;
        auto moved = hot_group_moves_.find(group);
        bool has_just_moved = moved != hot_group_moves_.end() &&
                              now_ < moved->second + range_planner::hot_group_dwell;
        bool stays = best == nullptr || ((is_owner_fast_enough || has_just_moved) &&
                                         !hot_group_hosts.contains(owner.server.id));
        auto& host = stays ? owner : *best;
        hot_group_hosts.emplace(host.server.id, true);
        host.hot_rate += rates_[group];
        if (&host != &owner) {
            owner.rate -= rates_[group];
            owner.keys -= std::min(owner.keys, keys.size());
            hot_group_moves_[group] = now_;
            move(keys, host);
        }
    }

    /// The range that holds all of `keys`.
    auto range_of(key_range keys) const -> const planned_range*
    {
        for (const auto& it : ranges_) {
            if (it.keys.first <= keys.first && keys.last <= it.keys.last) {
                return &it;
            }
        }
        return nullptr;
    }

    auto detach_slice(key_range slice, server_load& donor, double rate) -> void
    {
        donor.rate -= rate;
        donor.keys -= std::min(donor.keys, slice.size());
        reserved_.push_back(slice);
    }

    auto is_reserved(std::uint32_t first, std::uint32_t last) const -> bool
    {
        return std::ranges::any_of(
            reserved_, [&](const key_range& it) { return first <= it.last && it.first <= last; });
    }

    /// Narrowest run of groups within one of the owner's ranges whose rate is about `wanted`.
    auto narrowest_slice(const server_id& owner, double wanted) const -> std::optional<key_range>
    {
        std::optional<key_range> best;
        for (const auto& it : ranges_) {
            if (it.is_moving || it.owner != owner) {
                continue;
            }
            consider_range(it.keys, wanted, best);
        }
        return best;
    }

    /// Run of groups within one of the owner's ranges that has the highest rate.
    auto heaviest_slice(const server_id& owner) const -> std::optional<key_range>
    {
        std::optional<key_range> best;
        double best_rate = min_slice_rate;
        for (const auto& it : ranges_) {
            if (it.is_moving || it.owner != owner) {
                continue;
            }
            for (const auto& run : unreserved_runs(it.keys)) {
                double rate = key_rates_.rate(run, now_);
                if (rate > best_rate) {
                    best = run;
                    best_rate = rate;
                }
            }
        }
        return best;
    }

    /// The longest parts of `keys` that are not reserved.
    auto unreserved_runs(key_range keys) const -> std::vector<key_range>
    {
        std::vector<key_range> out;
        bool continues = false;
        std::uint32_t first = keys.first;
        while (first <= keys.last) {
            auto group_end =
                (first / key_rate_estimator::group_keys + 1) * key_rate_estimator::group_keys - 1;
            auto last = std::min<std::uint32_t>(group_end, keys.last);
            if (is_reserved(first, last)) {
                continues = false;
            } else if (continues) {
                out.back().last = static_cast<std::uint16_t>(last);
            } else {
                out.push_back(
                    {static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(last)});
                continues = true;
            }
            first = last + 1;
        }
        return out;
    }

    auto consider_range(key_range keys, double wanted, std::optional<key_range>& best) const -> void
    {
        double min_rate = wanted * slice_tolerance;
        std::uint32_t from = keys.first / key_rate_estimator::group_keys;
        double sum = 0;
        for (std::uint32_t to = from; to <= keys.last / key_rate_estimator::group_keys; ++to) {
            if (is_reserved(to * key_rate_estimator::group_keys,
                            to * key_rate_estimator::group_keys + key_rate_estimator::group_keys -
                                1)) {
                from = to + 1;
                sum = 0;
                continue;
            }
            sum += rates_[to];
            while (from < to && sum - rates_[from] >= min_rate) {
                sum -= rates_[from++];
            }
            if (sum < min_rate) {
                continue;
            }
            auto first = std::max<std::uint32_t>(keys.first, from * key_rate_estimator::group_keys);
            auto last = std::min<std::uint32_t>(keys.last, to * key_rate_estimator::group_keys +
                                                               key_rate_estimator::group_keys - 1);
            key_range slice{static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(last)};
            if (!best || slice.size() < best->size()) {
                best = slice;
            }
        }
    }

    const std::vector<planned_range>& ranges_;
    const key_rate_estimator& key_rates_;
    std::vector<double> rates_;
    std::map<std::uint32_t, time_point>& hot_group_moves_;
    time_point now_;
    std::map<server_id, server_load> loads_;
    std::map<server_id, bool> cannot_offload_;
    std::vector<key_range> reserved_;
    std::vector<range_move> moves_;
};

} // namespace

auto range_planner::plan(const std::vector<planned_server>& servers,
                         const std::vector<planned_range>& ranges,
                         const key_rate_estimator& key_rates, time_point now)
    -> std::vector<range_move>
{
    std::erase_if(hot_group_moves_,
                  [&](const auto& it) { return now >= it.second + hot_group_dwell; });
    return plan_builder{servers, ranges, key_rates, hot_group_moves_, now}.build();
}

} // namespace cornelswitch
