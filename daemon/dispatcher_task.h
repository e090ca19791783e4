#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/nghttp2/peer_server.h"
#include "core/clock.h"
#include "core/logger.h"
#include "core/mailbox.h"
#include "daemon/messages.h"
#include "daemon/metrics.h"
#include "daemon/server_worker.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

struct dispatcher_options {
    instance_id self;
    boot_id boot;
    /// Data port, which receives the requests that entries forward.
    peer_server_options server;
    /// Bound of the memory for request bodies in bytes; further requests with a body are refused.
    std::size_t max_buffered_bytes{64 * 1024 * 1024};
    duration report_interval{std::chrono::seconds{1}};
    /// Receives a snapshot of all metrics once per report interval. If this mailbox is empty, no
    /// snapshots are made.
    mailbox<std::shared_ptr<const request_metrics>> metrics;
};

/// Dispatches requests to the backend servers whose dispatcher lease this instance holds. Runs on
/// the thread of its event loop.
class dispatcher_task {
public:
    dispatcher_task(event_loop& loop, dispatcher_options options, const clock& time, logger& log,
                    mailbox<agent_message> to_agent);
    dispatcher_task(const dispatcher_task&) = delete;
    auto operator=(const dispatcher_task&) -> dispatcher_task& = delete;
    ~dispatcher_task();

    /// Opens the data port. Errors: `invalid_argument`, `unavailable`.
    auto open() -> result<void>;
    /// Address of the data port, with the port that was bound.
    auto address() const -> endpoint { return server_->address(); }
    auto handle(dispatcher_message message) -> void;

private:
    auto on_message(dispatcher_assignment assignment) -> void;
    auto on_message(const leases_renewed& renewed) -> void;
    auto on_message(const dispatcher_assignment_ended& ended) -> void;
    auto on_message(const drain_all& drain) -> void;
    auto on_message(view_changed changed) -> void;

    auto on_request(std::shared_ptr<exchange> request) -> void;
    auto refuse_wrong_dispatcher(exchange& request, const server_id& server) -> void;
    auto tick() -> void;
    auto report() -> void;
    auto remove_ended() -> void;
    auto report_drained() -> void;

    event_loop& loop_;
    dispatcher_options options_;
    const clock& time_;
    logger& log_;
    mailbox<agent_message> to_agent_;
    request_metrics metrics_;
    worker_context context_;
    std::unique_ptr<peer_server> server_;
    std::unordered_map<server_id, std::unique_ptr<server_worker>> workers_;
    /// Workers whose lease has ended and that still forward responses.
    std::vector<std::unique_ptr<server_worker>> ended_;
    /// Used to redirect requests for servers that another instance dispatches for; empty until the
    /// first view arrives.
    std::shared_ptr<const routing_view> view_;
    event_loop::timer_id tick_timer_{0};
    time_point next_report_;
    bool draining_{false};
    bool drained_{false};
};

} // namespace cornelswitch
