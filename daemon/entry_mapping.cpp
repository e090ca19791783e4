#include "daemon/entry_mapping.h"

namespace cornelswitch {

namespace {

auto header_view(const header_list& headers, std::string_view name)
    -> std::optional<std::string_view>
{
    const auto* text = find_header(headers, name);
    return text != nullptr ? std::optional<std::string_view>{*text} : std::nullopt;
}

/// Reason with the given name; other names count as `queue_full`.
auto reason_of(std::string_view name) -> refusal_reason
{
    for (auto it : {refusal_reason::deadline_unreachable, refusal_reason::deadline_passed,
                    refusal_reason::draining}) {
        if (to_string(it) == name) {
            return it;
        }
    }
    return refusal_reason::queue_full;
}

auto kind_of(const refusal_answer& answer) -> failure_kind
{
    if (answer.outcome == request_outcome::unknown) {
        return failure_kind::unknown_outcome;
    }
    if (answer.name == refusal_name::wrong_dispatcher) {
        return failure_kind::wrong_dispatcher;
    }
    if (answer.name == refusal_name::slot_moved) {
        return failure_kind::slot_moved;
    }
    bool is_unavailable =
        answer.name == refusal_name::server_lost || answer.name == refusal_name::draining;
    return is_unavailable ? failure_kind::server_unavailable : failure_kind::overloaded;
}

} // namespace

auto head_of(const http_request& request) -> request_head
{
    request_head out;
    out.method = request.method;
    out.path = std::string_view{request.path}.substr(0, request.path.find('?'));
    out.key = header_view(request.headers, "cornelswitch-key");
    out.tenant = header_view(request.headers, "cornelswitch-tenant");
    out.priority = header_view(request.headers, "cornelswitch-class");
    out.deadline_ms = header_view(request.headers, "cornelswitch-deadline-ms");
    out.idempotency_key = header_view(request.headers, "idempotency-key");
    return out;
}

auto download_of(const response_head& head) -> download_head
{
    download_head out;
    out.status = static_cast<std::uint32_t>(head.status);
    out.etag = header_view(head.headers, "etag").value_or("");
    out.content_range = header_view(head.headers, "content-range").value_or("");
    out.content_encoding = header_view(head.headers, "content-encoding").value_or("");
    out.content_length = head.content_length;
    return out;
}

auto failure_of(std::uint32_t attempt, const refusal_answer& answer) -> attempt_failure
{
    attempt_failure out;
    out.attempt = attempt;
    out.kind = kind_of(answer);
    out.reason = reason_of(answer.name);
    out.redirect = answer.dispatcher;
    out.retry_after = answer.retry_after;
    out.load = answer.load;
    return out;
}

auto failure_of(std::uint32_t attempt, const call_failure& failure) -> attempt_failure
{
    attempt_failure out;
    out.attempt = attempt;
    bool is_refused = failure.cause.code == error_code::connection_refused;
    out.kind = is_refused ? failure_kind::connection_refused : failure_kind::stream_refused;
    if (failure.outcome == request_outcome::unknown) {
        out.kind = failure_kind::connection_lost;
    }
    return out;
}

} // namespace cornelswitch
