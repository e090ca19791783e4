#pragma once

#include "adapters/exchange.h"
#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/http_client.h"
#include "daemon/grant_link.h"
#include "daemon/held_slots.h"
#include "daemon/idempotency_guard.h"
#include "daemon/messages.h"
#include "daemon/peer_protocol.h"
#include "daemon/server_job.h"
#include "daemon/slot_activity.h"
#include "daemon/worker_context.h"
#include "routing/idempotency_table.h"
#include "routing/server_scheduler.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Dispatches to one backend server under one dispatcher lease: queues requests, writes them while
/// the lease is valid, and forwards the responses to the entries.
class server_worker {
public:
    server_worker(worker_context& context, dispatcher_assignment assignment);
    server_worker(const server_worker&) = delete;
    auto operator=(const server_worker&) -> server_worker& = delete;
    /// Answers open requests: `not-run` when they were not sent, otherwise `unknown`.
    ~server_worker();

    /// Replaces the assignment; requests in progress continue.
    auto update(dispatcher_assignment assignment) -> void;
    /// Extends the lease. Ignored when `term` is not that of the lease.
    auto renew(lease_term term, time_point valid_until) -> void;
    /// Queues a request or refuses it.
    auto submit(std::shared_ptr<exchange> request, forwarded_request info) -> void;
    /// Renews grants, reports drained slots, and queues or refuses requests that waited for a
    /// grant. Called about every 20 ms.
    auto tick() -> void;
    /// Sends the load since the previous report to the agent.
    auto report() -> void;
    /// Accepts no new requests; those in progress finish.
    auto drain() -> void;
    /// The lease has ended: requests that were not sent are refused, responses are still forwarded.
    auto end() -> void;

    /// Whether no request is queued or in progress.
    auto idle() const -> bool { return jobs_.empty(); }
    auto assignment() const -> const dispatcher_assignment& { return assignment_; }
    auto load() const -> load_sample { return scheduler_.load(); }

private:
    using job = server_job;

    auto refuse(job& it, refusal_answer answer) -> void;
    auto refuse(const refusal& it) -> void;
    /// Refuses the request and removes it; it is canceled at the server if it was sent.
    auto drop(job& it, refusal_answer answer) -> void;
    auto refusal_for(std::string_view name, int status, std::string message) const
        -> refusal_answer;
    auto slot_refusal(const forwarded_request& info) const -> std::optional<refusal_answer>;
    auto state_refusal(const forwarded_request& info) const -> std::optional<refusal_answer>;

    auto apply_slots() -> void;
    auto report_drained_slots() -> void;
    /// Whether the server has not confirmed the grant for the request's slot yet.
    auto awaits_grant(const job& it) const -> bool;
    auto queue(job& it) -> void;
    /// Queues the requests whose grants have been confirmed, and refuses those that can no longer
    /// be served.
    auto queue_granted() -> void;
    auto on_server_answer(boot_id boot, std::optional<std::uint32_t> running) -> void;
    auto on_server_lost() -> void;

    /// Returns false when the request was answered because of its idempotency key.
    auto begin_idempotent(job& it) -> bool;
    auto settle_idempotent(job& it, request_outcome outcome) -> void;

    /// Writes the queued requests that the scheduler releases, and refuses the expired ones.
    auto dispatch_queued() -> void;
    auto expire() -> void;
    auto schedule_wakeup() -> void;
    auto write(job& it) -> void;
    auto epoch_of(const job& it) const -> slot_epoch;
    auto check_write(const job& it) const -> std::optional<error>;

    auto on_head(job& it, response_head head) -> void;
    auto on_data(job& it, std::string_view data) -> void;
    auto on_server_refusal(job& it, const response_head& head) -> void;
    auto on_end(job& it, const call_result& outcome) -> void;
    auto on_failure(job& it, const call_failure& failure) -> void;
    auto on_caller_disconnected(request_id id) -> void;
    auto cancel_at_server(job& it) -> void;
    auto remove_job(request_id id) -> void;
    auto find(request_id id) -> job*;

    worker_context& context_;
    dispatcher_assignment assignment_;
    held_slots slots_;
    server_scheduler scheduler_;
    http_client data_;
    grant_link grants_;
    idempotency_guard idempotency_;
    slot_activity activity_;
    std::unordered_map<request_id, std::unique_ptr<job>> jobs_;
    /// Requests that wait for the server to confirm the grant of their slot.
    std::deque<request_id> awaiting_grant_;
    std::uint64_t last_request_id_{0};
    event_loop::timer_id wakeup_{0};
    bool ended_{false};
    /// Whether the server has reported how many requests it still runs for the previous dispatcher.
    bool running_known_{false};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
