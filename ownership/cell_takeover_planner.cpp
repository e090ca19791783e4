#include "ownership/cell_takeover_planner.h"

#include "core/intervals.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto has_live_majority(const planner_view& view, const cell_state& cell) -> bool
{
    const auto& members = cell.current.members;
    auto is_listed = [&view](const cell_member& it) {
        return std::any_of(
            view.instances.begin(), view.instances.end(),
            [&it](const instance_info& instance) { return instance.id == it.instance; });
    };
    auto live = std::count_if(members.begin(), members.end(), is_listed);
    return static_cast<std::size_t>(live) > members.size() / 2;
}

auto holds_slots(const planner_view& view, const cell_state& cell) -> bool
{
    return std::any_of(cell.servers.begin(), cell.servers.end(), [&view](const server_id& it) {
        return view.state.unreleased_slots(it) != 0;
    });
}

} // namespace

auto cell_takeover_planner::plan(const planner_view& view, planner_actions& out) -> void
{
    update_unresponsive(view);
    forget_closed_claims(view);
    for (const auto& [id, cell] : view.state.cells()) {
        if (!is_unresponsive(id) || !holds_slots(view, cell)) {
            continue;
        }
        auto stopped = view.config.out_of_service.stopped_zones.contains(cell.zone);
        auto wait = stopped ? options_.objection_time : yield_time(view, cell);
        if (wait) {
            plan_claim(view, id, cell, *wait, stopped ? view.version : config_version{0}, out);
        }
    }
}

auto cell_takeover_planner::forget_closed_claims(const planner_view& view) -> void
{
    for (auto it = open_claims_.begin(); it != open_claims_.end();) {
        const auto* cell = view.state.find_cell(it->first);
        auto is_open = cell != nullptr && cell->claim && cell->claim->epoch == it->second.first;
        it = is_open ? std::next(it) : open_claims_.erase(it);
    }
    std::erase_if(next_claim_at_, [&view](const auto& it) { return it.second <= view.now; });
}

auto cell_takeover_planner::update_unresponsive(const planner_view& view) -> void
{
    unresponsive_.clear();
    for (const auto& [id, cell] : view.state.cells()) {
        if (view.config.out_of_service.stopped_zones.contains(cell.zone)) {
            unresponsive_.insert(id);
        }
        if (has_live_majority(view, cell)) {
            no_majority_since_.erase(id);
            continue;
        }
        auto since = no_majority_since_.try_emplace(id, view.now).first->second;
        if (view.now - since >= options_.unresponsive_delay) {
            unresponsive_.insert(id);
        }
    }
}

auto cell_takeover_planner::plan_claim(const planner_view& view, cell_id id, const cell_state& cell,
                                       duration wait, config_version stopped_by,
                                       planner_actions& out) -> void
{
    auto epoch = cell.current.epoch;
    if (!cell.claim) {
        if (next_claim_at_.try_emplace(id, view.now + options_.claim_backoff).second) {
            out.emplace_back(propose_record{claim_record{id, epoch, stopped_by}});
        }
        return;
    }
    auto claim = std::pair{cell.claim->epoch, view.now};
    auto seen = open_claims_.try_emplace(id, claim).first->second.second;
    if (view.now - seen >= wait) {
        out.emplace_back(propose_record{takeover_record{id, epoch, cell.claim->epoch, stopped_by}});
    }
}

auto cell_takeover_planner::yield_time(const planner_view& view, const cell_state& cell)
    -> std::optional<duration>
{
    auto recorded = cell.longest_yield_ms();
    auto configured = configured_yield_ms(view.config, cell.servers);
    if (recorded == 0 || configured == 0) {
        return std::nullopt;
    }
    auto yield = std::chrono::milliseconds{std::max(recorded, configured)};
    // On servers that do not check grants, requests in progress may run until their deadline.
    duration requests{0};
    for (const auto& service : view.config.services) {
        const auto* policy = view.config.find_profile(service.profile);
        for (const auto& server : service.servers) {
            if (!server.checks_grants && policy != nullptr &&
                std::binary_search(cell.servers.begin(), cell.servers.end(), server.id)) {
                requests = std::max(requests, policy->max_deadline);
            }
        }
    }
    // The last grant or lease that was renewed before the cell stopped still has to expire.
    return lengthened_by_drift(yield + requests + grant_ttl + lease_duration);
}

} // namespace cornelswitch
