#include "ownership/slot_planner.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>

namespace cornelswitch {

namespace {

// Maximum number of slots of a removed service that are released at the same time.
constexpr std::size_t max_removal_moves = 64;

// Approximate size limit of one assignment record; the remaining slots follow in further records.
constexpr std::size_t max_assignment_bytes = max_record_bytes / 2;
constexpr std::size_t bytes_per_range = 12;
constexpr std::size_t bytes_per_entry = 32;

auto find_keyed(const configuration& config, const service_id& id) -> const service_config*
{
    const auto* it = config.find_service(id);
    return it != nullptr && it->keyed ? it : nullptr;
}

} // namespace

auto slot_planner::plan(const planner_view& view, const cell_takeover_planner& takeover_planner,
                        planner_actions& out) -> void
{
    remove_finished(view);
    keys_.remove_finished(view);
    for (const auto& it : view.config.services) {
        if (it.keyed) {
            plan_service(view, takeover_planner, it, out);
        }
    }
    plan_removals(view, takeover_planner, out);
    request_releases(view, out);
}

auto slot_planner::remove_finished(const planner_view& view) -> void
{
    for (auto it = moves_.begin(); it != moves_.end();) {
        auto slot = view.state.slot(it->first.first, slot_index{it->first.second});
        auto is_finished = slot.epoch.major != it->second.major || slot.released;
        auto is_timed_out = view.now - it->second.started >= options_.release_timeout;
        if (is_timed_out && !is_finished) {
            release_backoff_until_[it->second.from] = view.now + options_.release_backoff;
        }
        it = is_finished || is_timed_out ? moves_.erase(it) : std::next(it);
    }
    std::erase_if(release_backoff_until_,
                  [&view](const auto& it) { return it.second <= view.now; });
}

auto slot_planner::plan_service(const planner_view& view,
                                const cell_takeover_planner& takeover_planner,
                                const service_config& service, planner_actions& out) -> void
{
    const auto* policy = view.config.find_profile(service.profile);
    static const profile default_policy;
    const auto* table = view.state.find_table(service.name);
    auto empty_table = slot_table{table == nullptr ? service.hash_slots : 0};
    service_plan plan{service.name,
                      table == nullptr ? empty_table : *table,
                      policy == nullptr ? default_policy : *policy,
                      {},
                      {}};
    collect(view, takeover_planner, service, plan);
    if (plan.total_weight == 0) {
        return;
    }
    start_key_changes(view, plan);
    exclude_moving_slots(plan);
    assign_unowned(view, service, plan, out);
    start_required_moves(view, plan);
    start_balancing_moves(view, plan);
}

auto slot_planner::collect(const planner_view& view, const cell_takeover_planner& takeover_planner,
                           const service_config& service, service_plan& plan) const -> void
{
    add_candidates(view, takeover_planner, service, plan);
    constexpr auto unknown = SIZE_MAX;
    std::vector<std::size_t> positions;
    auto position_of = [&](std::uint32_t server) -> std::size_t& {
        if (server >= positions.size()) {
            positions.resize(server + std::size_t{1}, unknown);
        }
        return positions[server];
    };
    for (std::size_t n = 0; n < plan.servers.size(); ++n) {
        auto index = view.state.servers().find(plan.servers[n].id);
        if (index != server_table::none) {
            position_of(index) = n;
        }
    }
    for (std::uint32_t n = 0; n < plan.table.size(); ++n) {
        const auto& slot = plan.table.at(slot_index{n});
        if (!plan.table.is_in_use(slot_index{n})) {
            continue;
        }
        if (slot.server == server_table::none || slot.released != 0) {
            plan.unowned.push_back(n);
            continue;
        }
        if (position_of(slot.server) == unknown) {
            // A server that is no longer in the configuration.
            const auto& owner = view.state.servers().at(slot.server);
            auto reachable = owner.cell && !takeover_planner.is_unresponsive(*owner.cell) &&
                             !release_backoff_until_.contains(owner.id);
            positions[slot.server] = plan.servers.size();
            plan.servers.push_back({owner.id, owner.cell, 1, false, reachable});
        }
        plan.servers[positions[slot.server]].slots.push_back(n);
    }
    for (auto& it : plan.servers) {
        it.expected_slots = static_cast<std::uint32_t>(it.slots.size());
        plan.total_weight += it.eligible ? it.weight : 0;
    }
    plan.total_slots = plan.table.size();
}

auto slot_planner::add_candidates(const planner_view& view,
                                  const cell_takeover_planner& takeover_planner,
                                  const service_config& service, service_plan& plan) const -> void
{
    const auto& out_of_service = view.config.out_of_service;
    for (const auto& it : service.servers) {
        candidate server;
        server.id = it.id;
        server.cell = view.state.cell_of(it.id);
        server.weight = std::max(it.concurrency, 1U);
        const auto* cell = server.cell ? view.state.find_cell(*server.cell) : nullptr;
        auto unresponsive = cell == nullptr || takeover_planner.is_unresponsive(*server.cell);
        server.reachable = !unresponsive && !release_backoff_until_.contains(it.id);
        server.eligible = !unresponsive && !view.state.is_lost(it.id) && cell->zone == it.zone &&
                          !out_of_service.servers.contains(it.id) &&
                          !out_of_service.zones.contains(it.zone) &&
                          !out_of_service.stopped_zones.contains(it.zone);
        plan.servers.push_back(std::move(server));
    }
}

auto slot_planner::exclude_moving_slots(service_plan& plan) -> void
{
    for (auto& server : plan.servers) {
        auto is_moving = [&](std::uint32_t slot) { return moves_.contains({plan.service, slot}); };
        auto moving = std::erase_if(server.slots, is_moving);
        server.expected_slots -= static_cast<std::uint32_t>(moving);
        plan.moving += moving;
    }
}

auto slot_planner::is_waiting_for_cells(const planner_view& view,
                                        const service_config& service) const -> bool
{
    return std::any_of(
        service.servers.begin(), service.servers.end(), [&](const server_config& server) {
            auto is_live = [&](const instance_info& it) {
                return it.zone == server.zone && it.state == instance_state::live &&
                       !view.config.out_of_service.instances.contains(it.id);
            };
            bool is_out = view.config.out_of_service.zones.contains(server.zone) ||
                          view.config.out_of_service.servers.contains(server.id);
            return !is_out && !view.state.cell_of(server.id) &&
                   std::any_of(view.instances.begin(), view.instances.end(), is_live);
        });
}

auto slot_planner::assign_unowned(const planner_view& view, const service_config& service,
                                  service_plan& plan, planner_actions& out) const -> void
{
    keys_.remove_blocked_slots(plan.service, plan.table, plan.unowned);
    // Moving slots will become unowned, so they are included in the distribution to get the
    // expected loads.
    using entry = std::pair<double, std::size_t>;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> queue;
    for (std::size_t n = 0; n < plan.servers.size(); ++n) {
        if (plan.servers[n].eligible) {
            queue.emplace(plan.servers[n].load(1), n);
        }
    }
    auto next_server_by_load = [&] {
        auto server = queue.top().second;
        queue.pop();
        ++plan.servers[server].expected_slots;
        queue.emplace(plan.servers[server].load(1), server);
        return server;
    };
    std::vector<std::size_t> quota(plan.servers.size());
    for (std::size_t n = 0; n < plan.unowned.size() + plan.moving; ++n) {
        quota[next_server_by_load()] += n < plan.unowned.size() ? 1 : 0;
    }
    if (plan.unowned.empty()) {
        return;
    }
    // Otherwise zones that start slightly later would get their share only through moves.
    if (view.state.find_table(service.name) == nullptr && is_waiting_for_cells(view, service)) {
        return;
    }
    assignment_record record;
    if (view.state.find_table(service.name) == nullptr) {
        record.tables.push_back({service.name, service.hash_slots});
    }
    record.entries = assign_quota(plan, quota);
    auto next_server = [&] { return plan.servers[next_server_by_load()].id; };
    keys_.add_split_and_merge_entries(plan.service, plan.table, next_server, record);
    out.emplace_back(propose_record{std::move(record)});
}

auto slot_planner::assign_quota(const service_plan& plan, std::vector<std::size_t> quota)
    -> std::vector<assignment_entry>
{
    // Adjacent slots are assigned to the same server, which keeps records and snapshots small.
    std::map<std::pair<std::size_t, std::uint64_t>, slot_set> sets;
    std::size_t bytes = 0;
    std::size_t next = 0;
    for (std::size_t server = 0; server < quota.size(); ++server) {
        for (; quota[server] > 0; --quota[server]) {
            auto slot = plan.unowned[next++];
            auto& set = sets[{server, plan.table.at(slot_index{slot}).major}];
            auto names = plan.service.value().size() + plan.servers[server].id.value().size();
            bytes += set.empty() ? bytes_per_entry + names : 0;
            bytes += set.empty() || set.ranges().back().last + 1 != slot ? bytes_per_range : 0;
            set.insert(slot_index{slot});
            if (bytes >= max_assignment_bytes) {
                quota.clear();
                break;
            }
        }
    }
    std::vector<assignment_entry> out;
    out.reserve(sets.size());
    for (auto& [key, slots] : sets) {
        out.push_back({plan.service, std::move(slots), plan.servers[key.first].id, key.second});
    }
    return out;
}

auto slot_planner::start_key_changes(const planner_view& view, service_plan& plan) -> void
{
    auto limit = plan.policy.concurrent_moves;
    for (auto n : keys_.slots_to_release(plan.service, plan.table, limit)) {
        const auto& slot = plan.table.at(slot_index{n});
        const auto& owner = view.state.servers().at(slot.server).id;
        if (!release_backoff_until_.contains(owner)) {
            moves_.try_emplace({plan.service, n}, move{slot.major, owner, view.now, {}});
        }
    }
}

auto slot_planner::start_required_moves(const planner_view& view, service_plan& plan) -> void
{
    for (auto& server : plan.servers) {
        if (server.eligible || !server.reachable) {
            continue;
        }
        while (plan.moving < plan.policy.concurrent_moves && start_move(view, plan, server)) {
        }
    }
}

auto slot_planner::start_balancing_moves(const planner_view& view, service_plan& plan) -> void
{
    // Balancing moves wait until all required moves have started.
    for (const auto& it : plan.servers) {
        if (!it.eligible && it.reachable && !it.slots.empty()) {
            return;
        }
    }
    auto mean = plan.total_slots / plan.total_weight;
    while (plan.moving < plan.policy.concurrent_moves) {
        candidate* from = nullptr;
        candidate* to = nullptr;
        for (auto& it : plan.servers) {
            if (!it.eligible) {
                continue;
            }
            auto can_release = it.reachable && !it.slots.empty();
            from = can_release && (from == nullptr || it.load() > from->load()) ? &it : from;
            to = to == nullptr || it.load(1) < to->load(1) ? &it : to;
        }
        if (from == nullptr || from == to) {
            return;
        }
        auto gain_percent = (from->load() - to->load()) / mean * 100;
        auto swaps_imbalance = to->load(1) > from->load(-1);
        if (gain_percent <= plan.policy.move_price_percent || swaps_imbalance) {
            return;
        }
        if (!start_move(view, plan, *from)) {
            return;
        }
        ++to->expected_slots;
    }
}

auto slot_planner::start_move(const planner_view& view, service_plan& plan, candidate& from) -> bool
{
    if (from.slots.empty() || !from.cell) {
        return false;
    }
    auto slot = from.slots.back();
    from.slots.pop_back();
    --from.expected_slots;
    ++plan.moving;
    auto major = plan.table.at(slot_index{slot}).major;
    moves_[{plan.service, slot}] = {major, from.id, view.now, time_point{}};
    return true;
}

auto slot_planner::request_releases(const planner_view& view, planner_actions& out) -> void
{
    std::map<std::pair<service_id, server_id>, slot_set> requested_slots;
    for (auto& [key, it] : moves_) {
        if (it.requested_at != time_point{} &&
            view.now - it.requested_at < options_.release_retry_interval) {
            continue;
        }
        it.requested_at = view.now;
        // A local transfer may have changed the owner since the move was planned.
        auto slot = view.state.slot(key.first, slot_index{key.second});
        requested_slots[{key.first, *slot.server}].insert(slot_index{key.second});
    }
    for (auto& [key, slots] : requested_slots) {
        auto cell = view.state.cell_of(key.second);
        if (cell) {
            out.emplace_back(request_release{*cell, key.second, key.first, std::move(slots)});
        }
    }
}

auto slot_planner::plan_removals(const planner_view& view,
                                 const cell_takeover_planner& takeover_planner,
                                 planner_actions& out) -> void
{
    removal_record record;
    for (const auto& it : view.state.services()) {
        if (find_keyed(view.config, it) == nullptr &&
            release_service_slots(view, takeover_planner, it)) {
            record.services.push_back(it);
        }
    }
    std::map<server_id, zone_id> zones;
    for (const auto& service : view.config.services) {
        for (const auto& it : service.servers) {
            zones.emplace(it.id, it.zone);
        }
    }
    for (const auto& [id, cell] : view.state.cells()) {
        for (const auto& it : cell.servers) {
            auto zone = zones.find(it);
            auto belongs = zone != zones.end() && zone->second == cell.zone;
            if (!belongs && view.state.unreleased_slots(it) == 0) {
                record.servers.push_back(it);
            }
        }
    }
    if (!record.services.empty() || !record.servers.empty()) {
        out.emplace_back(propose_record{std::move(record)});
    }
}

auto slot_planner::release_service_slots(const planner_view& view,
                                         const cell_takeover_planner& takeover_planner,
                                         const service_id& service) -> bool
{
    const auto& table = *view.state.find_table(service);
    std::size_t unreleased = 0;
    for (std::uint32_t n = 0; n < table.size() && unreleased < max_removal_moves; ++n) {
        const auto& slot = table.at(slot_index{n});
        if (slot.server == server_table::none || slot.released != 0) {
            continue;
        }
        const auto& owner = view.state.servers().at(slot.server);
        ++unreleased;
        if (!takeover_planner.is_unresponsive(*owner.cell) &&
            !release_backoff_until_.contains(owner.id)) {
            moves_.try_emplace({service, n}, move{slot.major, owner.id, view.now, time_point{}});
        }
    }
    return unreleased == 0;
}

} // namespace cornelswitch
