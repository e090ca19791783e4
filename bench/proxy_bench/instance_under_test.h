#pragma once

#include "adapters/system_clock.h"
#include "core/logger.h"
#include "daemon/dispatcher_task.h"
#include "daemon/entry_task.h"

#include <memory>
#include <thread>

namespace cornelswitch::bench {

/// An entry and a dispatcher, each on its own thread, for one keyed service with one backend
/// server.
class instance_under_test {
public:
    instance_under_test(const endpoint& server, std::uint32_t concurrency);
    instance_under_test(const instance_under_test&) = delete;
    auto operator=(const instance_under_test&) -> instance_under_test& = delete;
    ~instance_under_test();

    auto address() const -> endpoint { return entry_->address(); }
    /// Processor time that both threads have used.
    auto cpu_time() -> duration;

private:
    auto publish(const endpoint& server, std::uint32_t concurrency) -> void;

    system_clock time_;
    null_logger log_;
    event_loop entry_loop_;
    event_loop dispatcher_loop_;
    std::unique_ptr<dispatcher_task> dispatcher_;
    std::unique_ptr<entry_task> entry_;
    std::thread entry_thread_;
    std::thread dispatcher_thread_;
};

} // namespace cornelswitch::bench
