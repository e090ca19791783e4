#include "standins/platform_instances.h"

namespace cornelswitch {

namespace {

/// Publications kept per instance; at one per second they cover a lag of one minute.
constexpr std::size_t max_history = 64;

} // namespace

auto platform_instances::publish(const std::string& id, std::string data, time_point now) -> bool
{
    prune(now);
    if (!history_.contains(id) && history_.size() >= max_instances) {
        return false;
    }
    auto& entries = history_[id];
    entries.push_back({now, std::move(data)});
    if (entries.size() > max_history) {
        entries.pop_front();
    }
    return true;
}

auto platform_instances::list(time_point now) -> std::vector<std::string>
{
    prune(now);
    auto as_of = now - lag_;
    auto out = false_entries_;
    for (const auto& [id, entries] : history_) {
        const entry* newest = nullptr;
        for (const auto& it : entries) {
            if (it.published_at <= as_of) {
                newest = &it;
            }
        }
        auto is_live = newest != nullptr && as_of - newest->published_at <= lifetime_;
        if (is_live && !hidden_.contains(id)) {
            out.push_back(newest->data);
        }
    }
    return out;
}

auto platform_instances::prune(time_point now) -> void
{
    std::erase_if(history_, [&](const auto& it) {
        return now - it.second.back().published_at > lifetime_ + lag_;
    });
}

} // namespace cornelswitch
