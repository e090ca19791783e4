#include "standins/platform_log.h"

#include <algorithm>

namespace cornelswitch {

auto platform_log::append(const std::string& stream, std::string data)
    -> std::optional<std::uint64_t>
{
    if (data.size() > max_record_size) {
        return std::nullopt;
    }
    if (!streams_.contains(stream) && streams_.size() >= max_streams) {
        return std::nullopt;
    }
    auto& state = streams_[stream];
    auto offset = state.first + state.records.size();
    state.records.push_back(std::move(data));
    if (state.records.size() > retained_) {
        truncate(stream, state.first + state.records.size() - retained_);
    }
    return offset;
}

auto platform_log::read(const std::string& stream, std::uint64_t from, std::size_t limit) const
    -> page
{
    auto it = streams_.find(stream);
    if (it == streams_.end()) {
        return {};
    }
    const auto& state = it->second;
    page out{state.first, state.first + state.records.size(), {}};
    for (auto n = std::max(from, out.first); n < out.end && out.records.size() < limit; ++n) {
        out.records.push_back({n, state.records[n - out.first]});
    }
    return out;
}

auto platform_log::truncate(const std::string& stream, std::uint64_t first) -> void
{
    auto it = streams_.find(stream);
    if (it == streams_.end()) {
        return;
    }
    auto& state = it->second;
    while (state.first < first && !state.records.empty()) {
        state.records.pop_front();
        ++state.first;
    }
}

} // namespace cornelswitch
