#include "fleet/fleet_view.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

fleet_view::fleet_view(candidate self, time_point now)
    : self_{std::move(self)}, member_reachable_at_{now}
{
}

auto fleet_view::add(const candidate& record) -> bool
{
    auto [known, is_new] = candidates_.try_emplace(record.id, record);
    if (!is_new && known->second == record) {
        return false;
    }
    known->second = record;
    update_members();
    return true;
}

auto fleet_view::remove(const instance_id& id) -> bool
{
    if (candidates_.erase(id) == 0) {
        return false;
    }
    update_members();
    return true;
}

auto fleet_view::set_reachable(const instance_id& id, bool is_reachable, time_point now) -> void
{
    if (has_reachable_member()) {
        member_reachable_at_ = now;
    }
    bool is_changed = is_reachable ? reachable_.insert(id).second : reachable_.erase(id) > 0;
    if (is_changed) {
        update_members();
    }
}

auto fleet_view::largest_cpu_share() const -> double
{
    double largest = self_.cpu_share;
    for (const auto& [id, known] : candidates_) {
        largest = std::max(largest, known.cpu_share);
    }
    return largest;
}

auto fleet_view::should_announce(time_point now, duration max_unreachable) const -> bool
{
    if (is_announced()) {
        return false;
    }
    if (is_large(self_)) {
        return true;
    }
    return !has_reachable_member() && now >= member_reachable_at_ + max_unreachable;
}

auto fleet_view::count_small() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        candidates_, [&](const auto& known) { return !is_large(known.second); }));
}

auto fleet_view::has_reachable_member() const -> bool
{
    return std::ranges::any_of(members_, [&](const auto& id) { return reachable_.contains(id); });
}

auto fleet_view::connection_targets(time_point now) const -> std::vector<const candidate*>
{
    bool needs_all = !has_reachable_member() && now >= member_reachable_at_ + connect_all_delay;
    std::vector<const candidate*> targets;
    for (const auto& [id, known] : candidates_) {
        if (needs_all || members_.contains(id) || reachable_.contains(id)) {
            targets.push_back(&known);
        }
    }
    return targets;
}

auto fleet_view::update_members() -> void
{
    auto min_large_share = min_relative_cpu_share * largest_cpu_share();
    auto is_available = [&](const instance_id& id) {
        return id == self_.id || reachable_.contains(id);
    };
    std::set<instance_id> large;
    std::set<instance_id> all;
    bool has_available_large = false;
    for (const auto& [id, known] : candidates_) {
        all.insert(id);
        if (known.cpu_share >= min_large_share) {
            large.insert(id);
            has_available_large = has_available_large || is_available(id);
        }
    }
    bool has_available_small = std::ranges::any_of(
        all, [&](const auto& id) { return !large.contains(id) && is_available(id); });
    auto& new_members = has_available_large || !has_available_small ? large : all;
    if (new_members != members_) {
        members_ = std::move(new_members);
        rankings_.clear();
        ++revision_;
    }
}

auto fleet_view::members() const -> std::vector<const candidate*>
{
    std::vector<const candidate*> active;
    for (const auto& id : members_) {
        active.push_back(&candidates_.at(id));
    }
    return active;
}

auto fleet_view::is_member() const -> bool
{
    return members_.contains(self_.id);
}

auto fleet_view::find(const instance_id& id) const -> const candidate*
{
    auto it = candidates_.find(id);
    return it == candidates_.end() ? nullptr : &it->second;
}

auto fleet_view::rank_members(const std::string& role) const -> std::vector<instance_id>
{
    std::vector<instance_id> ranked{members_.begin(), members_.end()};
    std::ranges::stable_sort(ranked, std::greater{}, [&](const instance_id& id) {
        return rendezvous_weight(role, id.value());
    });
    return ranked;
}

auto fleet_view::ranking(const std::string& role) const -> const std::vector<instance_id>&
{
    auto it = rankings_.find(role);
    if (it == rankings_.end()) {
        it = rankings_.emplace(role, rank_members(role)).first;
    }
    return it->second;
}

auto fleet_view::zone_ranking(const zone_id& zone, std::size_t rotation) const
    -> const std::vector<instance_id>&
{
    auto cache_key = "zone/" + zone.value() + "/" + std::to_string(rotation);
    auto it = rankings_.find(cache_key);
    if (it != rankings_.end()) {
        return it->second;
    }
    auto ranked = rank_members("zone/" + zone.value());
    auto others = std::stable_partition(ranked.begin(), ranked.end(), [&](const auto& id) {
        return candidates_.at(id).zone == zone;
    });
    auto local_count = others - ranked.begin();
    if (local_count > 0) {
        auto shift = static_cast<std::ptrdiff_t>(rotation % static_cast<std::size_t>(local_count));
        std::rotate(ranked.begin(), ranked.begin() + shift, others);
    }
    return rankings_.emplace(std::move(cache_key), std::move(ranked)).first->second;
}

auto fleet_view::position_in(const std::vector<instance_id>& ranked) const
    -> std::optional<std::size_t>
{
    auto it = std::ranges::find(ranked, self_.id);
    return it == ranked.end() ? std::nullopt
                              : std::optional{static_cast<std::size_t>(it - ranked.begin())};
}

} // namespace cornelswitch
