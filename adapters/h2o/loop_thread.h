#pragma once

#include "adapters/h2o/event_loop.h"

#include <functional>
#include <future>
#include <memory>
#include <thread>

namespace cornelswitch {

/// A thread with its own event loop. h2o keeps free lists of buffers for each thread, and a buffer
/// returns to the list of the thread that created its socket, so everything that owns sockets must
/// be created, used and destroyed on the loop's thread, with `call`.
class loop_thread {
public:
    loop_thread();
    loop_thread(const loop_thread&) = delete;
    auto operator=(const loop_thread&) -> loop_thread& = delete;
    /// Stops the loop and waits for the thread.
    ~loop_thread();

    auto loop() -> event_loop& { return *loop_; }
    /// Runs `work` on the loop's thread and waits until it has returned. Not to be called on that
    /// thread.
    auto call(std::function<void()> work) -> void;

private:
    auto run(std::promise<void>& ready) -> void;

    std::unique_ptr<event_loop> loop_;
    std::thread thread_;
};

} // namespace cornelswitch
