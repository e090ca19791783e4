#include "ownership/ownership_state.h"

#include <algorithm>
#include <set>

namespace cornelswitch {

namespace {

auto has_duplicate_instance(const std::vector<cell_member>& members) -> bool
{
    std::set<instance_id> ids;
    for (const auto& it : members) {
        ids.insert(it.instance);
    }
    return ids.size() != members.size();
}

// Counts the members of `left` that `right` does not contain with the same boot.
auto count_missing(const std::vector<cell_member>& left, const std::vector<cell_member>& right)
    -> std::size_t
{
    auto missing = [&right](const auto& it) {
        return std::find(right.begin(), right.end(), it) == right.end();
    };
    return static_cast<std::size_t>(std::count_if(left.begin(), left.end(), missing));
}

auto changes_more_than_one_member(const cell_membership& old, const std::vector<cell_member>& now)
    -> bool
{
    auto removed = count_missing(old.members, now);
    auto added = count_missing(now, old.members);
    if (removed + added <= 1) {
        return false;
    }
    // The same instance with a new boot counts as one change.
    auto same_instance = old.members.size() == now.size() &&
                         std::all_of(now.begin(), now.end(),
                                     [&old](const auto& it) { return old.contains(it.instance); });
    return !(removed == 1 && same_instance);
}

} // namespace

auto cell_membership::contains(const instance_id& id) const -> bool
{
    return std::any_of(members.begin(), members.end(),
                       [&id](const auto& it) { return it.instance == id; });
}

auto cell_state::longest_yield_ms() const -> std::uint64_t
{
    auto previous_is_unbounded = previous.epoch != 0 && previous.yield_after_ms == 0;
    if (previous_is_unbounded || current.yield_after_ms == 0) {
        return 0;
    }
    return std::max(current.yield_after_ms, previous.yield_after_ms);
}

auto ownership_state::apply(const log_record& record) -> apply_result
{
    apply_result out;
    if (record.offset != end_) {
        out.reason = drop_reason::out_of_order;
        return out;
    }
    auto decoded = decode_record(record.data);
    if (!decoded) {
        out.reason = drop_reason::malformed;
        end_ = log_offset{end_.value() + 1};
        return out;
    }
    out.header = decoded.value().header;
    // Chunks do not change the state, so they are not recorded in the writer's window.
    out.is_snapshot = std::holds_alternative<snapshot_chunk>(decoded.value().body);
    if (!out.is_snapshot && !writers_.insert(out.header, end_)) {
        out.status = apply_status::duplicate;
    } else {
        std::visit([&](const auto& body) { apply_body(body, out); }, decoded.value().body);
        auto accepted = out.accepted_items != 0;
        out.status = accepted ? apply_status::accepted : apply_status::dropped;
    }
    end_ = log_offset{end_.value() + 1};
    return out;
}

auto ownership_state::find_cell(cell_id id) const -> const cell_state*
{
    auto it = cells_.find(id);
    return it == cells_.end() ? nullptr : &it->second;
}

auto ownership_state::cell_of(const server_id& id) const -> std::optional<cell_id>
{
    auto index = servers_.find(id);
    return index == server_table::none ? std::nullopt : servers_.at(index).cell;
}

auto ownership_state::services() const -> std::vector<service_id>
{
    std::vector<service_id> out;
    out.reserve(tables_.size());
    for (const auto& [id, table] : tables_) {
        out.push_back(id);
    }
    return out;
}

auto ownership_state::find_table(const service_id& id) const -> const slot_table*
{
    auto it = tables_.find(id);
    return it == tables_.end() ? nullptr : &it->second;
}

auto ownership_state::slot(const service_id& service, slot_index index) const -> slot_view
{
    const auto* table = find_table(service);
    if (table == nullptr || index.value() >= table->size()) {
        return {};
    }
    const auto& it = table->at(index);
    if (it.server == server_table::none) {
        return {};
    }
    return {&servers_.at(it.server).id, it.epoch(), it.released != 0};
}

auto ownership_state::slots_of(const server_id& id) const -> std::vector<owned_slot>
{
    std::vector<owned_slot> out;
    auto server = servers_.find(id);
    if (server == server_table::none || servers_.at(server).slots == 0) {
        return out;
    }
    out.reserve(servers_.at(server).slots);
    for (const auto& [service, table] : tables_) {
        for (std::uint32_t n = 0; n < table.size(); ++n) {
            const auto& it = table.at(slot_index{n});
            if (it.server == server) {
                out.push_back({service, slot_index{n}, it.epoch(), it.released != 0});
            }
        }
    }
    return out;
}

auto ownership_state::unreleased_slots(const server_id& id) const -> std::uint32_t
{
    auto index = servers_.find(id);
    return index == server_table::none ? 0 : servers_.at(index).unreleased;
}

auto ownership_state::memory_bytes() const -> std::size_t
{
    constexpr std::size_t map_node = 4 * sizeof(void*);
    auto n = sizeof(*this) + servers_.memory_bytes();
    for (const auto& [id, table] : tables_) {
        n += map_node + sizeof(id) + table.memory_bytes();
    }
    for (const auto& [id, cell] : cells_) {
        n += map_node + sizeof(id) + sizeof(cell) + cell.servers.capacity() * sizeof(server_id);
        auto members = cell.current.members.capacity() + cell.previous.members.capacity();
        n += members * sizeof(cell_member);
    }
    auto writer = map_node + sizeof(writer_window::writer_key) + sizeof(writer_window::entry);
    return n + writers_.entries().size() * writer;
}

auto ownership_state::apply_body(const cell_record& body, apply_result& out) -> void
{
    auto found = cells_.find(body.cell);
    auto exists = found != cells_.end();
    auto current = exists ? found->second.current.epoch : 0;
    if (body.replaces != current) {
        return out.drop(exists ? drop_reason::stale_epoch : drop_reason::unknown_cell, 1, current);
    }
    if (!exists && cells_.size() >= max_cells) {
        return out.drop(drop_reason::limit);
    }
    auto reason = check_members(body, exists ? &found->second : nullptr);
    if (reason == drop_reason::none) {
        reason = check_servers(body);
    }
    if (reason != drop_reason::none) {
        return out.drop(reason);
    }
    auto& cell = cells_[body.cell];
    cell.zone = body.zone;
    auto old_yield_ms = cell.longest_yield_ms();
    cell.previous = std::move(cell.current);
    if (!body.replaces_active) {
        cell.previous.yield_after_ms = old_yield_ms;
    }
    cell.current = {epoch(), body.members, body.yield_after_ms};
    // A claim refers to the previous membership epoch, so it can no longer lead to a takeover.
    cell.claim.reset();
    set_servers(body.cell, cell, body.servers);
    out.accept();
}

auto ownership_state::check_members(const cell_record& body, const cell_state* old) const
    -> drop_reason
{
    if (has_duplicate_instance(body.members)) {
        return drop_reason::membership_change;
    }
    if (old == nullptr) {
        return drop_reason::none;
    }
    if (old->zone != body.zone) {
        return drop_reason::zone_change;
    }
    if (changes_more_than_one_member(old->current, body.members)) {
        return drop_reason::membership_change;
    }
    return drop_reason::none;
}

auto ownership_state::check_servers(const cell_record& body) const -> drop_reason
{
    for (const auto& it : body.servers) {
        auto cell = cell_of(it);
        if (cell && *cell != body.cell) {
            return drop_reason::server_in_other_cell;
        }
    }
    const auto* old = find_cell(body.cell);
    if (old == nullptr) {
        return drop_reason::none;
    }
    auto kept = std::set<server_id>{body.servers.begin(), body.servers.end()};
    for (const auto& it : old->servers) {
        // Without a cell, the release of the server's slots could not be proven.
        if (!kept.contains(it) && unreleased_slots(it) != 0) {
            return drop_reason::in_use;
        }
    }
    return drop_reason::none;
}

auto ownership_state::set_servers(cell_id id, cell_state& cell, std::vector<server_id> servers)
    -> void
{
    std::sort(servers.begin(), servers.end());
    servers.erase(std::unique(servers.begin(), servers.end()), servers.end());
    std::vector<std::uint32_t> old;
    for (const auto& it : cell.servers) {
        old.push_back(servers_.find(it));
        servers_.at(old.back()).cell.reset();
    }
    for (const auto& it : servers) {
        servers_.at(servers_.find_or_add(it)).cell = id;
    }
    for (auto it : old) {
        servers_.drop_if_unused(it);
    }
    cell.servers = std::move(servers);
    std::erase_if(cell.lost, [&cell](const server_id& it) {
        return !std::binary_search(cell.servers.begin(), cell.servers.end(), it);
    });
}

auto ownership_state::current_cell(cell_id id, std::uint64_t membership_epoch, apply_result& out)
    -> cell_state*
{
    auto it = cells_.find(id);
    if (it == cells_.end()) {
        out.drop(drop_reason::unknown_cell);
        return nullptr;
    }
    if (it->second.current.epoch != membership_epoch) {
        out.drop(drop_reason::stale_epoch, 1, it->second.current.epoch);
        return nullptr;
    }
    return &it->second;
}

auto ownership_state::apply_body(const claim_record& body, apply_result& out) -> void
{
    auto* cell = current_cell(body.cell, body.membership_epoch, out);
    if (cell == nullptr) {
        return;
    }
    if (cell->claim) {
        return out.drop(drop_reason::claim_open, 1, cell->claim->epoch);
    }
    if (cell->longest_yield_ms() == 0 && body.stopped_by.value() == 0) {
        return out.drop(drop_reason::never_yields);
    }
    cell->claim = cell_claim{epoch(), body.membership_epoch, out.header.writer};
    out.accept();
}

auto ownership_state::apply_body(const objection_record& body, apply_result& out) -> void
{
    auto it = cells_.find(body.cell);
    if (it == cells_.end()) {
        return out.drop(drop_reason::unknown_cell);
    }
    auto& claim = it->second.claim;
    if (!claim || claim->epoch != body.claim_epoch) {
        return out.drop(drop_reason::no_claim);
    }
    claim.reset();
    out.accept();
}

auto ownership_state::apply_body(const takeover_record& body, apply_result& out) -> void
{
    auto* cell = current_cell(body.cell, body.membership_epoch, out);
    if (cell == nullptr) {
        return;
    }
    auto is_declared_stopped = body.stopped_by.value() != 0;
    auto is_claim_open = cell->claim && cell->claim->epoch == body.claim_epoch;
    if (!is_claim_open && (!is_declared_stopped || body.claim_epoch != 0)) {
        return out.drop(drop_reason::no_claim);
    }
    if (!is_declared_stopped && cell->longest_yield_ms() == 0) {
        return out.drop(drop_reason::never_yields);
    }
    cell->claim.reset();
    out.accept(std::max(release_all_slots(body.cell), std::uint32_t{1}));
}

auto ownership_state::release_all_slots(cell_id cell) -> std::uint32_t
{
    std::uint32_t n = 0;
    for (auto& [service, table] : tables_) {
        for (std::uint32_t index = 0; index < table.size(); ++index) {
            auto& slot = table.at(slot_index{index});
            if (slot.released == 0 && slot.server != server_table::none &&
                servers_.at(slot.server).cell == cell) {
                mark_released(slot);
                ++n;
            }
        }
    }
    return n;
}

auto ownership_state::apply_body(const removal_record& body, apply_result& out) -> void
{
    for (const auto& it : body.services) {
        remove_service(it, out);
    }
    for (const auto& it : body.servers) {
        remove_server(it, out);
    }
}

auto ownership_state::remove_service(const service_id& id, apply_result& out) -> void
{
    auto table = tables_.find(id);
    if (table == tables_.end()) {
        return out.drop(drop_reason::unknown_service);
    }
    const auto& slots = table->second.entries();
    auto is_unreleased = [](const auto& it) { return it.major != 0 && it.released == 0; };
    if (std::any_of(slots.begin(), slots.end(), is_unreleased)) {
        return out.drop(drop_reason::in_use);
    }
    for (const auto& it : slots) {
        if (it.server != server_table::none) {
            --servers_.at(it.server).slots;
            servers_.drop_if_unused(it.server);
        }
    }
    tables_.erase(table);
    out.accept();
}

auto ownership_state::remove_server(const server_id& id, apply_result& out) -> void
{
    auto cell = cell_of(id);
    if (!cell) {
        return out.drop(drop_reason::unknown_server);
    }
    if (unreleased_slots(id) != 0) {
        return out.drop(drop_reason::in_use);
    }
    auto kept = cells_[*cell].servers;
    std::erase(kept, id);
    set_servers(*cell, cells_[*cell], std::move(kept));
    out.accept();
}

auto ownership_state::is_lost(const server_id& id) const -> bool
{
    auto cell = cell_of(id);
    const auto* state = cell ? find_cell(*cell) : nullptr;
    return state != nullptr && std::binary_search(state->lost.begin(), state->lost.end(), id);
}

auto ownership_state::apply_body(const server_state_record& body, apply_result& out) -> void
{
    auto it = cells_.find(body.cell);
    if (it == cells_.end()) {
        return out.drop(drop_reason::unknown_cell);
    }
    auto& cell = it->second;
    if (!std::binary_search(cell.servers.begin(), cell.servers.end(), body.server)) {
        return out.drop(drop_reason::not_in_cell);
    }
    auto position = std::lower_bound(cell.lost.begin(), cell.lost.end(), body.server);
    bool was_lost = position != cell.lost.end() && *position == body.server;
    if (body.lost && !was_lost) {
        cell.lost.insert(position, body.server);
    } else if (!body.lost && was_lost) {
        cell.lost.erase(position);
    }
    out.accept();
}

auto ownership_state::apply_body(const snapshot_chunk&, apply_result& out) -> void
{
    out.accept();
}

} // namespace cornelswitch
