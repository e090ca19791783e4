#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"
#include "routing/request_info.h"
#include "routing/routing_view.h"

#include <memory>
#include <optional>
#include <string_view>

namespace cornelswitch {

/// Parts of a caller's request that routing depends on. The string views must stay valid during the
/// call that they are passed to.
struct request_head {
    std::string_view method;
    /// Path without the query, as `/SERVICE/REST`.
    std::string_view path;
    /// Headers `cornelswitch-key`, `-tenant`, `-class` and `-deadline-ms`.
    std::optional<std::string_view> key;
    std::optional<std::string_view> tenant;
    std::optional<std::string_view> priority;
    std::optional<std::string_view> deadline_ms;
    /// Header `Idempotency-Key`.
    std::optional<std::string_view> idempotency_key;
};

struct classified_request {
    service_id service;
    /// Configuration at the time of classification.
    std::shared_ptr<const service_view> view;
    std::optional<key_hash> key;
    /// Hash of tenant and `Idempotency-Key`, if the request's method is not idempotent.
    std::optional<std::uint64_t> idempotency_key;
    tenant_id tenant;
    request_class priority{request_class::interactive};
    bool idempotent{false};
    time_point deadline;
};

/// Largest accepted value of `cornelswitch-deadline-ms`; the profile may limit it further.
inline constexpr std::uint32_t max_deadline_ms = 600'000;
inline constexpr std::size_t max_tenant_bytes = 64;

/// Fails with `not_found` for an unknown service, `invalid_argument` naming the header for an
/// invalid value, and `unavailable` before the view is ready.
auto classify_request(const request_head& head, const routing_view& view, time_point now)
    -> result<classified_request>;

/// Refusal reason for an error of `classify_request`.
auto refusal_reason_of(const error& err) -> refusal_reason;

} // namespace cornelswitch
