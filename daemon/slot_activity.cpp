#include "daemon/slot_activity.h"

#include <algorithm>

namespace cornelswitch {

auto slot_activity::begin(std::optional<slot_index> slot, std::optional<key_hash> key) -> void
{
    if (slot) {
        ++in_use_[*slot];
        ++counts_[*slot];
    }
    if (key) {
        keys_.add(*key);
    }
}

auto slot_activity::end(std::optional<slot_index> slot) -> void
{
    auto it = slot ? in_use_.find(*slot) : in_use_.end();
    if (it != in_use_.end() && --it->second == 0) {
        in_use_.erase(it);
    }
}

auto slot_activity::abandon(request_id id, std::optional<slot_index> slot, time_point until) -> void
{
    if (slot) {
        abandoned_.emplace(id, abandoned{*slot, until});
    }
}

auto slot_activity::release(request_id id) -> void
{
    auto node = abandoned_.extract(id);
    if (!node.empty()) {
        end(node.mapped().slot);
    }
}

auto slot_activity::expire(time_point now) -> void
{
    for (auto it = abandoned_.begin(); it != abandoned_.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        end(it->second.slot);
        it = abandoned_.erase(it);
    }
}

auto slot_activity::fill_report(server_load_report& report) -> void
{
    report.hottest_slots.assign(counts_.begin(), counts_.end());
    counts_.clear();
    auto by_count = [](const auto& a, const auto& b) { return a.second > b.second; };
    std::ranges::sort(report.hottest_slots, by_count);
    if (report.hottest_slots.size() > max_reported_entries) {
        report.hottest_slots.resize(max_reported_entries);
    }
    for (const auto& it : keys_.top(max_reported_entries)) {
        report.hottest_keys.emplace_back(it.key, it.count - it.error);
    }
    keys_.decay();
}

} // namespace cornelswitch
