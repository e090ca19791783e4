#pragma once

#include "adapters/h2o/event_loop.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/mailbox.h"
#include "daemon/messages.h"
#include "daemon/metrics.h"

#include <cstddef>

namespace cornelswitch {

/// Objects that all workers of one dispatcher task share.
struct worker_context {
    event_loop& loop;
    const clock& time;
    logger& log;
    mailbox<agent_message> to_agent;
    request_metrics& metrics;
    /// Distinguishes request ids of this process from those of an earlier one.
    boot_id boot;
    /// Bound of `buffered_bytes`.
    std::size_t max_buffered_bytes{64 * 1024 * 1024};
    /// Total size of the request bodies of all workers.
    std::size_t buffered_bytes{0};
};

} // namespace cornelswitch
