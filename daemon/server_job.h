#pragma once

#include "adapters/exchange.h"
#include "adapters/h2o/http_client.h"
#include "core/clock.h"
#include "core/ids.h"
#include "daemon/idempotency_guard.h"
#include "daemon/peer_protocol.h"
#include "routing/server_scheduler.h"

#include <cstddef>
#include <memory>

namespace cornelswitch {

/// A request that an entry forwarded, while the worker of its backend server processes it.
struct server_job {
    request_id id;
    std::shared_ptr<exchange> request;
    forwarded_request info;
    std::size_t body_bytes{0};
    time_point deadline;
    /// When the request was handed to the HTTP client; once it is written, the time of the write.
    time_point sent_at;
    bool idempotent{false};
    bool sent{false};
    /// The response head was forwarded to the entry.
    bool started{false};
    /// The exchange was answered or closed; the job only waits for the server.
    bool answered{false};
    /// The request certainly does not run at the server: it has ended there or never reached it.
    bool ended_at_server{false};
    http_client::call_id call{0};
    server_response response;
    idempotent_run run;
};

} // namespace cornelswitch
