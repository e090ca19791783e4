#include "routing/request_classifier.h"

#include "core/hash.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace cornelswitch {

namespace {

auto invalid(std::string message) -> error
{
    return {error_code::invalid_argument, "classify-request", "", std::move(message)};
}

/// Splits `/SERVICE/REST` into the service and REST.
auto split_path(std::string_view path) -> std::pair<std::string_view, std::string_view>
{
    if (path.starts_with('/')) {
        path.remove_prefix(1);
    }
    auto slash = path.find('/');
    if (slash == std::string_view::npos) {
        return {path, {}};
    }
    return {path.substr(0, slash), path.substr(slash + 1)};
}

auto parse_class(std::string_view text) -> result<request_class>
{
    if (text == "interactive") {
        return request_class::interactive;
    }
    if (text == "bulk") {
        return request_class::bulk;
    }
    return invalid("cornelswitch-class: must be interactive or bulk");
}

auto parse_deadline(std::string_view text) -> result<duration>
{
    std::uint32_t ms = 0;
    const auto* last = text.data() + text.size();
    auto [ptr, ec] = std::from_chars(text.data(), last, ms);
    if (ec != std::errc{} || ptr != last || ms < 1 || ms > max_deadline_ms) {
        return invalid("cornelswitch-deadline-ms: must be a number from 1 to 600000");
    }
    return duration{std::chrono::milliseconds{ms}};
}

} // namespace

auto classify_request(const request_head& head, const routing_view& view, time_point now)
    -> result<classified_request>
{
    if (!view.ready) {
        return error{error_code::unavailable, "classify-request", "", "no routing state yet"};
    }
    auto [name, rest] = split_path(head.path);
    auto service = view.services.find(service_id{std::string{name}});
    if (service == view.services.end()) {
        return error{error_code::not_found, "classify-request", "",
                     "unknown service: " + std::string{name}};
    }
    classified_request out;
    out.service = service->first;
    out.view = service->second;
    const auto& config = out.view->config;
    if (config.keyed) {
        auto key = head.key.value_or(rest.substr(0, rest.find('/')));
        if (key.empty()) {
            return invalid("cornelswitch-key: required for service " + std::string{name});
        }
        out.key = hash_key(key);
    }
    auto tenant = head.tenant.value_or("default");
    if (tenant.empty() || tenant.size() > max_tenant_bytes) {
        return invalid("cornelswitch-tenant: must have 1 to 64 bytes");
    }
    out.tenant = tenant_id{std::string{tenant}};
    BOOST_OUTCOME_TRY(priority, parse_class(head.priority.value_or("interactive")));
    out.priority = priority;
    auto remaining = out.view->policy.default_deadline;
    if (head.deadline_ms) {
        BOOST_OUTCOME_TRY(asked, parse_deadline(*head.deadline_ms));
        remaining = asked;
    }
    out.deadline = now + std::min(remaining, out.view->policy.max_deadline);
    out.idempotent = config.idempotent_methods.contains(std::string{head.method});
    if (head.idempotency_key && !out.idempotent) {
        out.idempotency_key = hash_bytes(*head.idempotency_key, hash_bytes(tenant));
    }
    return out;
}

auto refusal_reason_of(const error& err) -> refusal_reason
{
    switch (err.code) {
    case error_code::not_found:
        return refusal_reason::unknown_service;
    case error_code::unavailable:
        return refusal_reason::not_ready;
    default:
        return refusal_reason::invalid_request;
    }
}

} // namespace cornelswitch
