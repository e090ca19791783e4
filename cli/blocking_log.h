#pragma once

#include "ownership/log_service.h"

#include <functional>
#include <string>

namespace cornelswitch {

/// The log for programs that do one thing at a time: each call waits for its answer.
class blocking_log {
public:
    /// Handles events of the log service once; called until the answer is there.
    using event_pump = std::function<void()>;

    blocking_log(log_service& log, event_pump pump) : log_{log}, pump_{std::move(pump)} {}

    /// Errors: those of `log_service`.
    auto append(log_stream stream, std::string data) -> result<log_offset>;
    auto read(log_stream stream, log_offset from, std::size_t limit, duration wait)
        -> result<log_page>;

private:
    log_service& log_;
    event_pump pump_;
};

} // namespace cornelswitch
