#include "ownership/append_throttle.h"

#include <chrono>

namespace cornelswitch {

namespace {

// Longer than a log read needs to return the record, and short compared with a planned move.
constexpr duration append_pause = std::chrono::milliseconds{500};
// After this time without an answer the log writer has given up and the append may be started
// again.
constexpr duration append_timeout = std::chrono::seconds{10};

} // namespace

auto append_throttle::is_ready(const std::string& purpose, time_point now) const -> bool
{
    auto it = entries_.find(purpose);
    return it == entries_.end() || now >= it->second.not_before;
}

auto append_throttle::try_start(const std::string& purpose, time_point now) -> std::uint64_t
{
    auto& it = entries_[purpose];
    if (now < it.not_before) {
        return 0;
    }
    it = {++last_ticket_, now + append_timeout};
    return it.ticket;
}

auto append_throttle::finish(std::uint64_t ticket, time_point now) -> void
{
    for (auto& [purpose, it] : entries_) {
        if (it.ticket == ticket) {
            it = {0, now + append_pause};
        }
    }
    std::erase_if(entries_, [now](const auto& it) { return it.second.not_before < now; });
}

} // namespace cornelswitch
