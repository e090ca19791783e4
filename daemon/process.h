#pragma once

#include "adapters/h2o/loop_thread.h"
#include "adapters/platform/http_instance_list.h"
#include "adapters/platform/http_log_service.h"
#include "adapters/system_clock.h"
#include "config/settings.h"
#include "core/logger.h"
#include "daemon/agent_task.h"
#include "daemon/dispatcher_task.h"
#include "daemon/entry_task.h"

#include <atomic>
#include <memory>
#include <vector>

namespace cornelswitch {

/// The tasks of one `cornelswitchd` process, each on its own thread.
class process {
public:
    process(settings configured, logger& log);
    process(const process&) = delete;
    auto operator=(const process&) -> process& = delete;
    /// Stops all tasks at once.
    ~process();

    /// Opens all ports and starts the threads. Errors: a port cannot be opened.
    auto start() -> result<void>;
    /// Starts the graceful shutdown. May be called from any thread.
    auto shut_down() -> void;
    /// Whether the graceful shutdown is complete.
    auto is_finished() const -> bool { return finished_; }

private:
    /// A task and its thread. `object` is created, used and destroyed only on that thread.
    template<typename task>
    struct task_thread {
        loop_thread thread;
        std::unique_ptr<task> object;

        /// Mailbox of the task. Messages that arrive when the task does not exist are dropped.
        template<typename message>
        auto make_mailbox() -> mailbox<message>
        {
            return thread.loop().template make_mailbox<message>([this](message item) {
                if (object) {
                    object->handle(std::move(item));
                }
            });
        }
    };

    auto start_dispatcher() -> result<void>;
    auto start_entry(task_thread<entry_task>& entry, std::size_t number) -> result<void>;
    auto start_agent() -> result<void>;
    auto make_dependencies() -> agent_dependencies;
    /// Mailbox for the metrics snapshots of task number `source`.
    auto make_metrics_mailbox(std::size_t source)
        -> mailbox<std::shared_ptr<const request_metrics>>;

    settings settings_;
    logger& log_;
    system_clock clock_;
    boot_id boot_;
    std::atomic<bool> finished_{false};
    /// Used on the agent's thread only.
    std::unique_ptr<http_log_service> log_service_;
    std::unique_ptr<http_instance_list> instance_list_;
    task_thread<agent_task> agent_;
    task_thread<dispatcher_task> dispatcher_;
    std::vector<std::unique_ptr<task_thread<entry_task>>> entries_;
};

} // namespace cornelswitch
