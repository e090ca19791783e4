#pragma once

#include "adapters/system_clock.h"
#include "core/clock.h"
#include "core/mailbox.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

struct st_h2o_evloop_t;

namespace cornelswitch {

/// Runs the socket callbacks, timers and posted functions of one task on one thread. Based on h2o's
/// event loop.
class event_loop {
public:
    using timer_id = std::uint64_t;
    using function = std::function<void()>;

    event_loop();
    event_loop(const event_loop&) = delete;
    auto operator=(const event_loop&) -> event_loop& = delete;
    ~event_loop();

    /// Runs until `stop`. Called by one thread at a time.
    auto run() -> void;
    /// Makes `run` return after its current iteration. May be called from any thread.
    auto stop() -> void;
    /// Runs one iteration, which waits up to `longest` for events.
    auto run_once(duration longest) -> void;

    /// Runs `work` on the loop's thread, in the order of the calls. May be called from any thread.
    auto post(function work) -> void;

    /// Calls `work` once after `delay`; the resolution is 1 ms. Only on the loop's thread.
    auto schedule(duration delay, function work) -> timer_id;
    /// Has no effect on a timer that has fired. Only on the loop's thread.
    auto cancel(timer_id timer) -> void;

    /// Returns a mailbox that passes its messages to `handler` on this loop's thread. The objects
    /// that `handler` refers to must outlive the messages in flight, so a task stops its loop
    /// before it is destroyed.
    template<typename message>
    auto make_mailbox(std::function<void(message)> handler) -> mailbox<message>
    {
        auto shared = std::make_shared<std::function<void(message)>>(std::move(handler));
        return [this, shared](message it) {
            auto held = std::make_shared<message>(std::move(it));
            post([shared, held] { (*shared)(std::move(*held)); });
        };
    }

    auto native() -> st_h2o_evloop_t* { return loop_; }
    auto now() const -> time_point { return clock_.now(); }
    auto time() const -> const clock& { return clock_; }

private:
    struct wakeup;
    struct timer_key {
        time_point due;
        timer_id id;
        friend auto operator<=>(const timer_key&, const timer_key&) = default;
    };

    auto run_posted() -> void;
    auto run_timers() -> void;
    auto run_socket_callbacks() -> void;
    auto time_to_next_timer(duration longest) const -> duration;

    system_clock clock_;
    st_h2o_evloop_t* loop_;
    std::unique_ptr<wakeup> wakeup_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::deque<function> posted_;
    std::map<timer_key, function> timers_;
    std::map<timer_id, time_point> timer_due_;
    timer_id last_timer_{0};
};

} // namespace cornelswitch
