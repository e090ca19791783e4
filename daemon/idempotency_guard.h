#pragma once

#include "adapters/exchange.h"
#include "adapters/http_message.h"
#include "core/clock.h"
#include "daemon/peer_protocol.h"
#include "routing/idempotency_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace cornelswitch {

/// The run of one request with `Idempotency-Key`, and what is recorded of its response.
struct idempotent_run {
    std::string scope;
    /// Empty when the request has no key or the run is settled.
    std::string key;
    recorded_response response;
    /// False when the body is too large to be kept.
    bool is_whole{true};
};

/// Answers with a recorded response.
auto send_recorded(exchange& request, const recorded_response& recorded) -> void;

/// Keeps requests with a repeated `Idempotency-Key` from running twice.
class idempotency_guard {
public:
    /// Larger response bodies are not kept.
    static constexpr std::size_t max_recorded_body = 256 * 1024;

    /// What the caller gets without a run: a recorded response or a refusal.
    struct verdict {
        std::optional<recorded_response> replay;
        std::optional<refusal_answer> refused;
        auto may_run() const -> bool { return !replay && !refused; }
    };

    auto begin(idempotent_run& run, const http_request& request, const forwarded_request& info,
               const slot_takeover& tenure, time_point now) -> verdict;
    auto on_head(idempotent_run& run, const response_head& head) -> void;
    auto on_data(idempotent_run& run, std::string_view data) -> void;
    /// The response arrived as a whole.
    auto complete(idempotent_run& run, time_point now) -> void;
    /// The request got no response.
    auto settle(idempotent_run& run, request_outcome outcome, time_point now) -> void;
    auto expire(time_point now) -> void { table_.expire(now); }

private:
    idempotency_table table_;
};

} // namespace cornelswitch
