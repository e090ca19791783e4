#pragma once

#include "adapters/h2o/event_loop.h"

#include <memory>
#include <utility>

namespace cornelswitch {

/// Limits the timers of an object to its lifetime, on an event loop that outlives it. Timers that
/// expire after the destruction of the scope do nothing.
class timer_scope {
public:
    explicit timer_scope(event_loop& loop) : loop_{loop} {}
    timer_scope(const timer_scope&) = delete;
    auto operator=(const timer_scope&) -> timer_scope& = delete;
    ~timer_scope() { *alive_ = false; }

    /// Same as `event_loop::schedule`, but the timer cannot be canceled.
    auto schedule(duration delay, event_loop::function work) -> void
    {
        loop_.schedule(delay, [alive = alive_, work = std::move(work)] {
            if (*alive) {
                work();
            }
        });
    }

private:
    event_loop& loop_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
