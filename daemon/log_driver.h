#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/timer_scope.h"
#include "core/logger.h"
#include "ownership/log_follower.h"
#include "ownership/log_service.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace cornelswitch {

/// Executes the actions of the log follower: reads, appends and requests for state copies.
class log_driver {
public:
    struct hooks {
        /// The applied state of the stream changed.
        std::function<void(log_stream)> on_stream_changed;
        /// A read has reached the end of the ownership stream; the argument is its start time.
        std::function<void(time_point)> on_caught_up;
        /// The state is to be copied from other instances.
        std::function<void()> on_state_copy_needed;
    };
    using settled_handler = std::function<void(const append_settled&)>;

    log_driver(event_loop& loop, log_service& log, const cell_member& self, logger& diagnostics,
               hooks handlers);
    log_driver(const log_driver&) = delete;
    auto operator=(const log_driver&) -> log_driver& = delete;

    auto start() -> void;
    /// Appends an ownership record, within `limit`. `handler` is called with the outcome; after
    /// `unknown` it may be called a second time with another outcome.
    /// Errors: `unavailable` when too many records are pending.
    auto submit(const record_body& body, duration limit, settled_handler handler) -> result<void>;
    /// Passes a state copy from another instance to the follower.
    auto on_state_copy(std::string_view bytes) -> void;
    auto follower() -> log_follower& { return follower_; }
    auto follower() const -> const log_follower& { return follower_; }
    /// When the log last answered a read; empty before the first answer.
    auto last_answer() const -> std::optional<time_point> { return last_answer_; }
    /// Whether the most recent read was answered.
    auto reachable() const -> bool { return reachable_; }

private:
    auto tick() -> void;
    auto run(log_actions actions) -> void;
    auto run(const read_log& action) -> void;
    auto run(const append_log& action) -> void;
    auto run(const append_settled& action) -> void;
    auto run(const stream_changed& action) -> void;
    auto run(const request_state_copy& action) -> void;
    auto report_caught_up() -> void;

    event_loop& loop_;
    log_service& log_;
    logger& diagnostics_;
    hooks hooks_;
    log_follower follower_;
    std::map<writer_sequence, settled_handler> pending_appends_;
    std::optional<time_point> reported_caught_up_at_;
    std::optional<time_point> last_answer_;
    bool reachable_{false};
    /// Last member, so that its timers stop before the other members are destroyed.
    timer_scope timers_;
};

} // namespace cornelswitch
