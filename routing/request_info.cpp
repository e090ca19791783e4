#include "routing/request_info.h"

namespace cornelswitch {

auto to_string(request_class it) -> std::string_view
{
    return it == request_class::interactive ? "interactive" : "bulk";
}

auto to_string(refusal_reason it) -> std::string_view
{
    switch (it) {
    case refusal_reason::invalid_request:
        return "invalid-request";
    case refusal_reason::unknown_service:
        return "unknown-service";
    case refusal_reason::not_ready:
        return "not-ready";
    case refusal_reason::queue_full:
        return "queue-full";
    case refusal_reason::deadline_unreachable:
        return "deadline-unreachable";
    case refusal_reason::deadline_passed:
        return "deadline-passed";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::no_server:
        return "no-server";
    case refusal_reason::slot_unavailable:
        return "slot-unavailable";
    case refusal_reason::retry_budget_exhausted:
        return "retry-budget-exhausted";
    case refusal_reason::attempts_exhausted:
        return "attempts-exhausted";
    case refusal_reason::response_lost:
        return "response-lost";
    }
    return "invalid-request";
}

} // namespace cornelswitch
