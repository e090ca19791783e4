#pragma once

#include "core/error.h"

namespace cornelswitch {

/// Exit codes of the tool.
enum class exit_code : std::uint8_t {
    ok = 0,
    /// The operation failed.
    failed = 1,
    /// Invalid command line, settings or configuration.
    usage = 2,
    /// Another change was published first; the output names the current version.
    conflict = 3,
    /// The platform or the instance cannot be reached, or does not respond in time.
    unreachable = 4,
};

constexpr auto exit_code_of(error_code code) -> exit_code
{
    switch (code) {
    case error_code::unavailable:
    case error_code::timeout:
    case error_code::connection_refused:
    case error_code::connection_lost:
        return exit_code::unreachable;
    case error_code::invalid_argument:
    case error_code::too_large:
        return exit_code::usage;
    case error_code::conflict:
        return exit_code::conflict;
    default:
        return exit_code::failed;
    }
}

} // namespace cornelswitch
