#include "routing/request_queue.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr auto interactive = static_cast<std::size_t>(request_class::interactive);
constexpr auto bulk = static_cast<std::size_t>(request_class::bulk);

} // namespace

auto request_queue::push(const request_info& request) -> push_result
{
    push_result out;
    if (limit_ == 0 || positions_.contains(request.id)) {
        return out;
    }
    if (size() >= limit_) {
        out.displaced = displace(request);
        if (!out.displaced) {
            return out;
        }
    }
    auto& queue_of_class = classes_[static_cast<std::size_t>(request.priority)];
    auto [it, added] = queue_of_class.tenants.try_emplace(request.tenant);
    if (added) {
        it->second.turns = queue_of_class.current_turn;
    }
    auto& entries = it->second.entries;
    auto insert_position = std::upper_bound(
        entries.begin(), entries.end(), request.deadline,
        [](time_point deadline, const entry& e) { return deadline >= e.deadline; });
    entries.insert(insert_position, entry{request.deadline, sequence_++, request});
    ++queue_of_class.size;
    positions_.emplace(request.id, position{request.priority, request.tenant, request.deadline});
    out.queued = true;
    return out;
}

auto request_queue::pop() -> std::optional<request_info>
{
    if (empty()) {
        return std::nullopt;
    }
    auto chosen = choose_class();
    auto are_both_waiting = classes_[interactive].size > 0 && classes_[bulk].size > 0;
    consecutive_interactive_ =
        are_both_waiting && chosen == interactive ? consecutive_interactive_ + 1 : 0;
    return pop_from(classes_[chosen]);
}

auto request_queue::remove(request_id id) -> bool
{
    auto it = positions_.find(id);
    if (it == positions_.end()) {
        return false;
    }
    auto& queue_of_class = classes_[static_cast<std::size_t>(it->second.priority)];
    auto tenant = it->second.tenant;
    auto& entries = queue_of_class.tenants.find(tenant)->second.entries;
    std::erase_if(entries, [&](const entry& e) { return e.request.id == id; });
    --queue_of_class.size;
    positions_.erase(it);
    erase_if_empty(queue_of_class, tenant);
    return true;
}

auto request_queue::ahead_of(const request_info& request) const -> std::size_t
{
    const auto& queue_of_class = classes_[static_cast<std::size_t>(request.priority)];
    auto it = queue_of_class.tenants.find(request.tenant);
    auto own = it == queue_of_class.tenants.end() ? 0 : count_earlier(it->second, request.deadline);
    return add_other_class(request.priority,
                           position_in_class(queue_of_class, request.tenant, own));
}

auto request_queue::remove_if(const std::function<bool(const request_info&, std::size_t)>& matches)
    -> std::vector<request_info>
{
    std::vector<request_info> out;
    for (auto& queue_of_class : classes_) {
        for (auto& [tenant, queue] : queue_of_class.tenants) {
            std::size_t kept = 0;
            for (auto n = queue.entries.size(); n > 0; --n) {
                const auto& request = queue.entries[n - 1].request;
                auto ahead = add_other_class(request.priority,
                                             position_in_class(queue_of_class, tenant, kept));
                if (!matches(request, ahead)) {
                    ++kept;
                    continue;
                }
                out.push_back(request);
                positions_.erase(request.id);
                --queue_of_class.size;
                queue.entries.erase(queue.entries.begin() + static_cast<std::ptrdiff_t>(n - 1));
            }
        }
        std::erase_if(queue_of_class.tenants,
                      [](const auto& it) { return it.second.entries.empty(); });
    }
    return out;
}

auto request_queue::earliest_deadline() const -> std::optional<time_point>
{
    std::optional<time_point> out;
    for (const auto& queue_of_class : classes_) {
        for (const auto& [tenant, queue] : queue_of_class.tenants) {
            auto deadline = queue.entries.back().deadline;
            out = out ? std::min(*out, deadline) : deadline;
        }
    }
    return out;
}

auto request_queue::count_earlier(const tenant_queue& queue, time_point deadline) -> std::size_t
{
    // Entries with the same deadline were added earlier and are sent first.
    auto it = std::partition_point(queue.entries.begin(), queue.entries.end(),
                                   [&](const entry& e) { return e.deadline > deadline; });
    return static_cast<std::size_t>(queue.entries.end() - it);
}

auto request_queue::position_in_class(const class_queue& queue, const tenant_id& tenant,
                                      std::size_t own) const -> std::size_t
{
    auto self = queue.tenants.find(tenant);
    auto turns = self == queue.tenants.end() ? queue.current_turn : self->second.turns;
    auto turn = turns + own;
    auto ahead = own;
    for (const auto& [id, other] : queue.tenants) {
        if (id == tenant || other.turns > turn) {
            continue;
        }
        auto goes_first_on_tie = id < tenant ? 1U : 0U;
        ahead +=
            std::min<std::size_t>(other.entries.size(), turn - other.turns + goes_first_on_tie);
    }
    return ahead;
}

auto request_queue::add_other_class(request_class priority, std::size_t ahead) const -> std::size_t
{
    constexpr std::size_t interactive_turns = bulk_interval - 1;
    if (priority == request_class::interactive) {
        auto bulk_turns = (ahead + consecutive_interactive_) / interactive_turns;
        return ahead + std::min(classes_[bulk].size, bulk_turns);
    }
    auto interactive_ahead = interactive_turns * (ahead + 1);
    return ahead + std::min(classes_[interactive].size, interactive_ahead);
}

auto request_queue::choose_class() const -> std::size_t
{
    if (classes_[interactive].size == 0) {
        return bulk;
    }
    auto bulk_due = consecutive_interactive_ + 1 >= bulk_interval;
    return bulk_due && classes_[bulk].size > 0 ? bulk : interactive;
}

auto request_queue::pop_from(class_queue& queue) -> request_info
{
    auto it = std::min_element(
        queue.tenants.begin(), queue.tenants.end(),
        [](const auto& a, const auto& b) { return a.second.turns < b.second.turns; });
    queue.current_turn = it->second.turns;
    ++it->second.turns;
    auto request = std::move(it->second.entries.back().request);
    it->second.entries.pop_back();
    --queue.size;
    positions_.erase(request.id);
    if (it->second.entries.empty()) {
        // A tenant that rejoins immediately must wait for the turns of the others.
        queue.current_turn = std::max(queue.current_turn, it->second.turns - 1);
        queue.tenants.erase(it);
    }
    return request;
}

auto request_queue::displace(const request_info& request) -> std::optional<request_info>
{
    std::size_t class_index = 0;
    auto largest = largest_tenant(class_index);
    const auto& own_class = classes_[static_cast<std::size_t>(request.priority)];
    auto own = own_class.tenants.find(request.tenant);
    auto own_size = own == own_class.tenants.end() ? 0 : own->second.entries.size();
    if (own_size + 1 >= largest->second.entries.size()) {
        return std::nullopt;
    }
    auto displaced = largest->second.entries.front().request;
    remove(displaced.id);
    return displaced;
}

auto request_queue::largest_tenant(std::size_t& class_index)
    -> std::map<tenant_id, tenant_queue>::iterator
{
    std::optional<std::map<tenant_id, tenant_queue>::iterator> largest;
    for (std::size_t n = 0; n < classes_.size(); ++n) {
        for (auto it = classes_[n].tenants.begin(); it != classes_[n].tenants.end(); ++it) {
            if (!largest || it->second.entries.size() >= (*largest)->second.entries.size()) {
                largest = it;
                class_index = n;
            }
        }
    }
    return *largest;
}

auto request_queue::erase_if_empty(class_queue& queue, const tenant_id& tenant) -> void
{
    auto it = queue.tenants.find(tenant);
    if (it != queue.tenants.end() && it->second.entries.empty()) {
        queue.tenants.erase(it);
    }
}

} // namespace cornelswitch
