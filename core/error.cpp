#include "core/error.h"

namespace cornelswitch {

auto to_string(error_code code) -> std::string_view
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid-argument";
    case error_code::invalid_message:
        return "invalid-message";
    case error_code::not_found:
        return "not-found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timeout:
        return "timeout";
    case error_code::connection_refused:
        return "connection-refused";
    case error_code::connection_lost:
        return "connection-lost";
    case error_code::too_large:
        return "too-large";
    case error_code::canceled:
        return "canceled";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

auto to_string(request_outcome outcome) -> std::string_view
{
    return outcome == request_outcome::not_run ? "not-run" : "unknown";
}

auto operator<<(std::ostream& os, const error& err) -> std::ostream&
{
    os << err.step << ": " << to_string(err.code);
    if (!err.peer.empty()) {
        os << " (peer " << err.peer << ')';
    }
    if (!err.message.empty()) {
        os << ": " << err.message;
    }
    return os;
}

} // namespace cornelswitch
