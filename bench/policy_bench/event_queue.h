#pragma once

#include "core/clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace cornelswitch::bench {

/// Runs events in virtual time. Events of the same time run in the order in which they were added.
class event_queue {
public:
    auto now() const -> time_point { return now_; }

    auto at(time_point when, std::function<void()> action) -> void
    {
        events_.push({std::max(when, now_), ++sequence_, std::move(action)});
    }

    auto after(duration delay, std::function<void()> action) -> void
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs all events up to and including `end`.
    auto run_until(time_point end) -> void
    {
        while (!events_.empty() && events_.top().when <= end) {
            auto action = std::move(const_cast<event&>(events_.top()).action);
            now_ = events_.top().when;
            events_.pop();
            action();
        }
        now_ = end;
    }

private:
    struct event {
        time_point when;
        std::uint64_t sequence{0};
        std::function<void()> action;
        auto operator<(const event& other) const -> bool
        {
            return std::pair{when, sequence} > std::pair{other.when, other.sequence};
        }
    };

    std::priority_queue<event> events_;
    std::uint64_t sequence_{0};
    time_point now_{std::chrono::seconds{1}};
};

} // namespace cornelswitch::bench
