#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cornelswitch {

/// Value of the `cornelswitch-class` header.
enum class request_class : std::uint8_t { interactive, bulk };

inline constexpr std::size_t request_class_count = 2;

auto to_string(request_class it) -> std::string_view;

/// Properties of a request that its dispatcher uses for queueing and scheduling.
struct request_info {
    request_id id;
    tenant_id tenant{"default"};
    request_class priority{request_class::interactive};
    bool idempotent{false};
    /// Another attempt of the request is in progress. A hedge is refused unless it can start
    /// immediately, because in a queue it would delay other requests when all servers are busy.
    bool hedge{false};
    /// Time by which the response must have arrived.
    time_point deadline;
    /// Slot of the key; none for services that are not keyed.
    std::optional<slot_index> slot;
};

/// Why a request is refused. `to_string` gives the value of the `error` field of a refusal.
enum class refusal_reason : std::uint8_t {
    invalid_request,
    unknown_service,
    /// The instance has no configuration or ownership state yet.
    not_ready,
    queue_full,
    /// The deadline cannot be met, given the queue and the measured service time.
    deadline_unreachable,
    deadline_passed,
    draining,
    /// No server of the service accepts requests.
    no_server,
    /// The slot has no owner and will not get one in time.
    slot_unavailable,
    retry_budget_exhausted,
    attempts_exhausted,
    /// The request was sent and its result is lost.
    response_lost,
};

auto to_string(refusal_reason it) -> std::string_view;

/// The final result of a request that gets no response from a backend server.
struct refusal {
    request_id id;
    refusal_reason reason{refusal_reason::invalid_request};
    request_outcome outcome{request_outcome::not_run};
    /// Delay after which the caller may retry; 0 if a retry cannot succeed.
    duration retry_after{0};
};

} // namespace cornelswitch
