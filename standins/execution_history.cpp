#include "standins/execution_history.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelswitch {

auto execution_history::add(execution it) -> void
{
    executions_.push_back(std::move(it));
    if (executions_.size() > capacity_) {
        executions_.pop_front();
        ++first_;
    }
}

auto execution_history::page(std::uint64_t from, std::size_t limit) const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (auto n = std::max(from, first_); n < count() && list.size() < limit; ++n) {
        const auto& it = executions_[n - first_];
        list.push_back({{"request", it.request},
                        {"service", it.service},
                        {"key", it.key},
                        {"method", it.method},
                        {"slot", it.slot},
                        {"epoch", it.epoch},
                        {"term", it.term},
                        {"started_ns", it.started.time_since_epoch().count()},
                        {"ended_ns", it.ended.time_since_epoch().count()}});
    }
    return {{"first", first_}, {"end", count()}, {"executions", std::move(list)}};
}

} // namespace cornelswitch
