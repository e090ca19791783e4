#pragma once

#include "adapters/exchange.h"
#include "adapters/http_message.h"
#include "core/clock.h"
#include "core/epoch.h"
#include "core/ids.h"
#include "routing/load_sample.h"
#include "routing/request_info.h"

#include <optional>
#include <string>
#include <string_view>

/// Headers between entries and dispatchers. All of them start with `cornelswitch-`; headers with
/// this prefix that callers or backend servers send are never forwarded.
namespace cornelswitch {

inline constexpr std::string_view internal_prefix = "cornelswitch-";

/// Description of a request that an entry forwards to a dispatcher.
struct forwarded_request {
    service_id service;
    server_id server;
    tenant_id tenant{"default"};
    request_class priority{request_class::interactive};
    /// Remaining time until the caller's deadline.
    duration remaining{std::chrono::seconds{2}};
    /// Set for keyed services.
    std::optional<slot_index> slot;
    slot_epoch epoch;
    std::optional<key_hash> key;
    /// This attempt is a hedge: an earlier one is still in progress.
    bool hedge{false};
};

auto forward_headers(const forwarded_request& it) -> header_list;
/// Errors: `invalid_argument` with the header that is missing or malformed.
auto parse_forwarded(const header_list& headers) -> result<forwarded_request>;

/// A response that an entry or a dispatcher generates instead of a backend server.
struct refusal_answer {
    int status{503};
    /// Stable name, for example `queue-full`.
    std::string name;
    std::string message;
    request_outcome outcome{request_outcome::not_run};
    /// Delay before a retry; 0 when none is suggested.
    duration retry_after{0};
    /// Step in which the request was refused, for example `route-request`.
    std::string step;
    /// Backend server or instance that the step concerns; may be empty.
    std::string peer;
    /// Instance that dispatches for the server, if the refusing instance knows it.
    std::optional<instance_id> dispatcher;
    std::optional<load_sample> load;
};

/// HTTP status for a refusal with `reason`.
auto status_of(refusal_reason reason) -> int;
auto make_refusal(const refusal& it, std::string step, std::string peer) -> refusal_answer;

/// Sends the refusal, with `cornelswitch-outcome`, `retry-after` and a JSON body. A status that
/// promises that the request was not executed becomes 502 when the outcome is unknown.
auto send_refusal(exchange& request, const refusal_answer& it) -> void;

/// Parses the headers of a refusal; none when the response is not a refusal. `message`, `step` and
/// `peer` stay empty.
auto parse_refusal(const response_head& head) -> std::optional<refusal_answer>;

/// Value of `cornelswitch-load`: queued requests, requests in flight, limit, service time in
/// microseconds, and whether the server accepts work.
auto to_text(const load_sample& it) -> std::string;
/// None when the text is malformed.
auto parse_load(std::string_view text) -> std::optional<load_sample>;
/// None when the header is missing or malformed.
auto load_of(const header_list& headers) -> std::optional<load_sample>;

/// The headers that do not start with `internal_prefix`.
auto without_internal(const header_list& headers) -> header_list;

/// Names of refusals that entries handle specially.
namespace refusal_name {
inline constexpr std::string_view wrong_dispatcher = "wrong-dispatcher";
inline constexpr std::string_view slot_moved = "slot-moved";
inline constexpr std::string_view server_lost = "server-lost";
inline constexpr std::string_view server_refused = "server-refused";
inline constexpr std::string_view draining = "draining";
} // namespace refusal_name

} // namespace cornelswitch
