#include "standins/holding_history.h"

#include "standins/grant_body.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

auto holding_history::sample(const std::vector<grant_group>& held, time_point now) -> void
{
    std::map<slot_key, holding> next;
    for (const auto& group : held) {
        for (const auto& range : group.slots.ranges()) {
            for (std::uint64_t n = range.first; n <= range.last; ++n) {
                slot_key key{group.service, slot_index{static_cast<std::uint32_t>(n)}};
                next.emplace(std::move(key), holding{group.epoch, now, now});
            }
        }
    }
    for (auto& [key, old] : open_) {
        auto it = next.find(key);
        if (it != next.end() && it->second.epoch == old.epoch) {
            it->second.from = old.from;
            continue;
        }
        closed_.emplace_back(key, old);
    }
    open_ = std::move(next);
    while (closed_.size() > max_closed) {
        closed_.pop_front();
        ++dropped_;
    }
}

auto holding_history::to_json() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    auto add = [&](const slot_key& key, const holding& it) {
        list.push_back({{"service", key.service.value()},
                        {"slot", key.slot.value()},
                        {"epoch", epoch_text(it.epoch)},
                        {"from_ns", it.from.time_since_epoch().count()},
                        {"until_ns", it.until.time_since_epoch().count()}});
    };
    for (const auto& [key, it] : closed_) {
        add(key, it);
    }
    for (const auto& [key, it] : open_) {
        add(key, it);
    }
    return {{"dropped", dropped_}, {"holdings", std::move(list)}};
}

} // namespace cornelswitch
