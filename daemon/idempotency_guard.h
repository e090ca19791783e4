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

/// The execution of one request with `Idempotency-Key`, and its response as recorded so far.
struct idempotent_run {
    std::string scope;
    /// Empty when the request has no key, or the outcome is already in the table.
    std::string key;
    recorded_response response;
    /// False when the response body exceeds `max_recorded_body`.
    bool is_recordable{true};
};

/// Answers with a recorded response.
auto send_recorded(exchange& request, const recorded_response& recorded) -> void;

/// Prevents requests with the same `Idempotency-Key` from running twice.
class idempotency_guard {
public:
    /// In bytes; larger response bodies are not recorded.
    static constexpr std::size_t max_recorded_body = 256 * 1024;

    /// Whether a request may run; otherwise the recorded response or the refusal for its caller.
    struct admission {
        std::optional<recorded_response> replay;
        std::optional<refusal_answer> refused;
        auto may_run() const -> bool { return !replay && !refused; }
    };

    /// Checks the key of a request that is about to run. Requests without a key may always run.
    auto begin(idempotent_run& run, const http_request& request, const forwarded_request& info,
               const slot_takeover& takeover, time_point now) -> admission;
    auto on_head(idempotent_run& run, const response_head& head) -> void;
    auto on_data(idempotent_run& run, std::string_view data) -> void;
    /// The response has arrived completely.
    auto complete(idempotent_run& run, time_point now) -> void;
    /// The request ended without a complete response. With `not_run` the key may be used again.
    auto settle(idempotent_run& run, request_outcome outcome, time_point now) -> void;
    auto expire(time_point now) -> void { table_.expire(now); }

private:
    idempotency_table table_;
};

} // namespace cornelswitch
