#pragma once

#include "ownership/log_service.h"

#include <functional>
#include <string>

namespace cornelswitch {

/// Synchronous wrapper of `log_service`: each call blocks until the log has responded.
class blocking_log {
public:
    /// Handles pending events of the log service once; called repeatedly until the log has
    /// responded.
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
