#include "routing/server_choice.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cornelswitch {

namespace {

using candidates = std::vector<server_candidate>;
using indexes = std::vector<std::size_t>;

auto filter(const candidates& all, const std::function<bool(const server_candidate&)>& predicate)
    -> indexes
{
    indexes out;
    for (std::size_t n = 0; n < all.size(); ++n) {
        if (predicate(all[n])) {
            out.push_back(n);
        }
    }
    return out;
}

auto cheaper(const candidates& all, std::size_t a, std::size_t b) -> std::size_t
{
    auto cost = [&](std::size_t n) { return std::pair{all[n].expected_time, all[n].outstanding}; };
    return cost(b) < cost(a) ? b : a;
}

auto best_of_two(const candidates& all, const indexes& from, random_engine& random) -> std::size_t
{
    auto first = uniform_below(random, from.size());
    if (from.size() == 1) {
        return from[first];
    }
    // The second draw excludes the first, so that two different servers are compared.
    auto second = uniform_below(random, from.size() - 1);
    second += second >= first ? 1 : 0;
    return cheaper(all, from[first], from[second]);
}

} // namespace

auto choose_power_of_two(const candidates& all, random_engine& random) -> std::size_t
{
    auto any_healthy =
        std::any_of(all.begin(), all.end(), [](const auto& it) { return !it.straggler; });
    auto is_eligible = [&](const server_candidate& it) { return !any_healthy || !it.straggler; };
    auto local_candidates =
        filter(all, [&](const auto& it) { return is_eligible(it) && it.same_zone; });
    auto remote_candidates =
        filter(all, [&](const auto& it) { return is_eligible(it) && !it.same_zone; });
    if (local_candidates.empty()) {
        return best_of_two(all, remote_candidates, random);
    }
    auto local = best_of_two(all, local_candidates, random);
    if (remote_candidates.empty()) {
        return local;
    }
    auto remote = best_of_two(all, remote_candidates, random);
    auto gain = all[local].expected_time - all[remote].expected_time;
    return gain > remote_zone_delay ? remote : local;
}

auto choose_random(const candidates& all, random_engine& random) -> std::size_t
{
    return uniform_below(random, all.size());
}

auto choose_least_outstanding(const candidates& all, random_engine& random) -> std::size_t
{
    auto start = uniform_below(random, all.size());
    auto best = start;
    for (std::size_t n = 1; n < all.size(); ++n) {
        auto index = (start + n) % all.size();
        best = all[index].outstanding < all[best].outstanding ? index : best;
    }
    return best;
}

auto make_round_robin() -> server_choice_hook
{
    auto next_index = std::make_shared<std::size_t>(0);
    return [next_index](const candidates& all, random_engine&) {
        return (*next_index)++ % all.size();
    };
}

} // namespace cornelswitch
