#include "ownership/cell_planner.h"

#include "core/hash.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto to_member(const instance_info& it) -> cell_member
{
    return {it.id, it.boot};
}

auto lists_instance(const std::vector<cell_member>& members, const instance_id& id) -> bool
{
    return std::any_of(members.begin(), members.end(),
                       [&id](const cell_member& it) { return it.instance == id; });
}

auto with(std::vector<cell_member> members, const cell_member& added) -> std::vector<cell_member>
{
    members.push_back(added);
    return members;
}

auto without(std::vector<cell_member> members, const cell_member& removed)
    -> std::vector<cell_member>
{
    std::erase(members, removed);
    return members;
}

auto with_boot(std::vector<cell_member> members, const cell_member& restarted)
    -> std::vector<cell_member>
{
    for (auto& it : members) {
        it = it.instance == restarted.instance ? restarted : it;
    }
    return members;
}

auto divide_rounding_up(std::size_t n, std::size_t divisor) -> std::size_t
{
    return (n + divisor - 1) / divisor;
}

// Returns every `step`-th server, starting with `first`.
auto every_nth(const std::vector<server_id>& servers, std::size_t first, std::size_t step)
    -> std::vector<server_id>
{
    std::vector<server_id> out;
    for (auto n = first; n < servers.size(); n += step) {
        out.push_back(servers[n]);
    }
    return out;
}

} // namespace

auto cell_planner::plan(const planner_view& view, planner_actions& out) -> void
{
    collect_usable(view);
    for (const auto& zone : collect_zones(view)) {
        plan_zone(view, zone, out);
    }
}

auto cell_planner::collect_usable(const planner_view& view) -> void
{
    usable_.clear();
    for (const auto& it : view.instances) {
        if (it.state == instance_state::live &&
            !view.config.out_of_service.instances.contains(it.id)) {
            usable_.emplace(it.id, &it);
        }
    }
    memberships_.clear();
    home_members_.clear();
    for (const auto& [id, cell] : view.state.cells()) {
        next_cell_ = std::max(next_cell_, id.value() + 1);
        for (const auto& it : cell.current.members) {
            ++memberships_[it.instance];
            const auto* info = find_usable(it.instance);
            if (info != nullptr && info->zone == cell.zone) {
                home_members_.insert(it.instance);
            }
        }
    }
    std::erase_if(missing_since_, [this](const auto& it) {
        return usable_.contains(it.first) || !memberships_.contains(it.first);
    });
}

auto cell_planner::collect_zones(const planner_view& view) const -> std::vector<zone_view>
{
    std::vector<zone_view> out;
    for (const auto& id : view.config.zones) {
        zone_view zone;
        zone.id = id;
        for (const auto& [name, info] : usable_) {
            if (info->zone == id) {
                zone.instances.push_back(info);
            }
        }
        for (const auto& [cell, state] : view.state.cells()) {
            if (state.zone == id) {
                zone.cells.push_back(cell);
            }
        }
        out.push_back(std::move(zone));
    }
    add_servers(view, out);
    return out;
}

auto cell_planner::add_servers(const planner_view& view, std::vector<zone_view>& zones) const
    -> void
{
    std::map<zone_id, zone_view*> by_id;
    for (auto& it : zones) {
        by_id.emplace(it.id, &it);
    }
    for (const auto& service : view.config.services) {
        for (const auto& server : service.servers) {
            auto zone = by_id.find(server.zone);
            if (zone == by_id.end()) {
                continue;
            }
            ++zone->second->servers;
            if (!view.state.cell_of(server.id)) {
                zone->second->new_servers.push_back(server.id);
            }
        }
    }
}

auto cell_planner::is_stable(const zone_view& zone, time_point now) -> bool
{
    std::string boots;
    for (const auto* it : zone.instances) {
        boots += it->id.value() + "/" + std::to_string(it->boot.value()) + " ";
    }
    auto& last = stable_since_[zone.id];
    if (last.first != boots || last.second == time_point{}) {
        last = {boots, now};
    }
    return now - last.second >= options_.stable_time;
}

auto cell_planner::plan_zone(const planner_view& view, const zone_view& zone, planner_actions& out)
    -> void
{
    auto stable = is_stable(zone, view.now);
    auto wanted = std::max<std::size_t>(divide_rounding_up(zone.instances.size(), max_members), 1);
    wanted = std::min(wanted, zone.servers);
    auto free = std::count_if(zone.instances.begin(), zone.instances.end(),
                              [this](const auto* it) { return !home_members_.contains(it->id); });
    auto can_create = zone.cells.empty() || static_cast<std::size_t>(free) >= min_members;
    if (!zone.new_servers.empty() && zone.cells.size() < wanted && can_create) {
        if (stable) {
            create_cells(view, zone, wanted - zone.cells.size(), out);
        }
        return;
    }
    // Distributes new servers, beginning with the cells that have the fewest.
    auto cells = zone.cells;
    std::stable_sort(cells.begin(), cells.end(), [&view](cell_id a, cell_id b) {
        return view.state.find_cell(a)->servers.size() < view.state.find_cell(b)->servers.size();
    });
    for (std::size_t n = 0; n < cells.size(); ++n) {
        change_cell(view, zone, cells[n], every_nth(zone.new_servers, n, cells.size()), out);
    }
}

auto cell_planner::create_cells(const planner_view& view, const zone_view& zone, std::size_t count,
                                planner_actions& out) -> void
{
    std::vector<cell_member> free;
    for (const auto* it : zone.instances) {
        if (!home_members_.contains(it->id)) {
            free.push_back(to_member(*it));
        }
    }
    count = std::max<std::size_t>(std::min(count, free.size() / min_members), 1);
    for (std::size_t n = 0; n < count; ++n) {
        auto size = std::min(divide_rounding_up(free.size(), count - n), max_members);
        std::vector<cell_member> members{free.end() - static_cast<std::ptrdiff_t>(size),
                                         free.end()};
        free.resize(free.size() - size);
        while (members.size() < min_members) {
            auto witness = witness_for(view, zone.id, members);
            if (!witness) {
                break;
            }
            members.push_back(*witness);
        }
        if (members.empty()) {
            return;
        }
        for (const auto& it : members) {
            ++memberships_[it.instance];
        }
        auto servers = every_nth(zone.new_servers, n, count);
        auto yield = configured_yield_ms(view.config, servers);
        out.emplace_back(propose_record{cell_record{
            cell_id{next_cell_++}, 0, zone.id, std::move(members), std::move(servers), yield}});
    }
}

auto cell_planner::change_cell(const planner_view& view, const zone_view& zone, cell_id id,
                               const std::vector<server_id>& added, planner_actions& out) -> void
{
    const auto& cell = *view.state.find_cell(id);
    auto members = next_members(view, zone, cell);
    auto servers = cell.servers;
    servers.insert(servers.end(), added.begin(), added.end());
    auto reported = is_reported(view, id, cell);
    auto yield = reported ? configured_yield_ms(view.config, servers) : cell.current.yield_after_ms;
    // Claims need a bound in the current and in the previous membership, so the first bound is
    // recorded twice.
    auto wants_yield = reported && (yield != cell.current.yield_after_ms ||
                                    (yield != 0 && cell.longest_yield_ms() == 0));
    // Members that missed the last change could not follow if the next one came before it is
    // active.
    if ((!members && added.empty() && !wants_yield) || !is_active(view, id, cell)) {
        return;
    }
    for (const auto& it : members.value_or(cell.current.members)) {
        memberships_[it.instance] += cell.current.contains(it.instance) ? 0 : 1;
        const auto* info = find_usable(it.instance);
        if (info != nullptr && info->zone == cell.zone) {
            home_members_.insert(it.instance);
        }
    }
    out.emplace_back(propose_record{cell_record{id, cell.current.epoch, cell.zone,
                                                members.value_or(cell.current.members),
                                                std::move(servers), yield, reported}});
}

auto cell_planner::next_members(const planner_view& view, const zone_view& zone,
                                const cell_state& cell) -> std::optional<std::vector<cell_member>>
{
    const auto& members = cell.current.members;
    auto it = classify(view, cell);
    if (it.restarted) {
        return with_boot(members, *it.restarted);
    }
    auto share =
        divide_rounding_up(zone.instances.size(), std::max<std::size_t>(zone.cells.size(), 1));
    auto wanted = std::clamp(share, min_members, max_members);
    auto present = it.home.size() + it.missing;
    auto kept = present + it.witnesses.size();
    auto has_room = members.size() < max_cell_members;
    if (has_room && present < wanted) {
        if (auto free = free_instance(zone)) {
            return with(members, *free);
        }
    }
    // A cell without a majority in the instance list is probably partitioned together with its zone
    // and may still be serving there, so it gets no witness.
    auto has_majority = it.home.size() + it.witnesses.size() > members.size() / 2;
    if (has_room && kept < min_members && has_majority) {
        if (auto witness = witness_for(view, zone.id, members)) {
            return with(members, *witness);
        }
    }
    if (!it.to_remove.empty() && kept >= min_members) {
        return without(members, it.to_remove.front());
    }
    if (!it.witnesses.empty() && present >= min_members) {
        return without(members, it.witnesses.front());
    }
    return std::nullopt;
}

auto cell_planner::classify(const planner_view& view, const cell_state& cell) -> member_view
{
    member_view out;
    for (const auto& it : cell.current.members) {
        const auto* info = find_usable(it.instance);
        if (info == nullptr) {
            if (is_lost(view, it)) {
                out.to_remove.push_back(it);
            } else {
                ++out.missing;
            }
        } else if (info->boot != it.boot && !out.restarted) {
            out.restarted = to_member(*info);
        } else if (info->zone == cell.zone) {
            out.home.push_back(it);
        } else {
            out.witnesses.push_back(it);
        }
    }
    return out;
}

auto cell_planner::is_lost(const planner_view& view, const cell_member& member) -> bool
{
    auto is_listed = std::any_of(view.instances.begin(), view.instances.end(),
                                 [&](const auto& it) { return it.id == member.instance; });
    if (is_listed) {
        // The instance is shutting down, or an operator has taken it out of service.
        return true;
    }
    auto since = missing_since_.try_emplace(member.instance, view.now).first->second;
    return view.now - since >= options_.member_replacement_delay;
}

auto cell_planner::is_reported(const planner_view& view, cell_id id, const cell_state& cell) -> bool
{
    auto it = view.active.find(id);
    return it != view.active.end() && it->second == cell.current.epoch;
}

auto cell_planner::is_active(const planner_view& view, cell_id id, const cell_state& cell) -> bool
{
    auto& seen = newest_epochs_[id];
    if (seen.first != cell.current.epoch) {
        seen = {cell.current.epoch, view.now};
    }
    if (is_reported(view, id, cell)) {
        return true;
    }
    auto is_present = [this](const cell_member& member) {
        const auto* info = find_usable(member.instance);
        return info != nullptr && info->boot == member.boot;
    };
    const auto& members = cell.previous.members;
    auto present = std::count_if(members.begin(), members.end(), is_present);
    auto can_report = static_cast<std::size_t>(present) > members.size() / 2;
    return !can_report && view.now - seen.second >= options_.assumed_active_after;
}

auto cell_planner::free_instance(const zone_view& zone) const -> std::optional<cell_member>
{
    for (const auto* it : zone.instances) {
        if (!home_members_.contains(it->id)) {
            return to_member(*it);
        }
    }
    return std::nullopt;
}

auto cell_planner::witness_for(const planner_view& view, const zone_id& zone,
                               const std::vector<cell_member>& members) const
    -> std::optional<cell_member>
{
    const instance_info* best = nullptr;
    auto order = [this, &zone](const instance_info& it) {
        auto count = memberships_.find(it.id);
        auto memberships = count == memberships_.end() ? 0 : count->second;
        return std::pair{memberships, ~rendezvous_weight(zone.value(), it.id.value())};
    };
    for (const auto& [id, info] : usable_) {
        auto is_away = info->zone != zone &&
                       !view.config.out_of_service.zones.contains(info->zone) &&
                       !view.config.out_of_service.stopped_zones.contains(info->zone);
        if (!is_away || lists_instance(members, id)) {
            continue;
        }
        if (best == nullptr || order(*info) < order(*best)) {
            best = info;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{to_member(*best)};
}

auto cell_planner::find_usable(const instance_id& id) const -> const instance_info*
{
    auto it = usable_.find(id);
    return it == usable_.end() ? nullptr : it->second;
}

} // namespace cornelswitch
