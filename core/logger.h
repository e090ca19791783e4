#pragma once

#include <cstdint>
#include <string_view>

namespace cornelswitch {

enum class log_level : std::uint8_t { debug, info, warning, error };

/// Destination of log lines. Several threads call it at the same time.
class logger {
public:
    logger() = default;
    logger(const logger&) = delete;
    auto operator=(const logger&) -> logger& = delete;
    virtual ~logger() = default;

    /// `step` is the name of the operation, `peer` the address or id of the peer (empty if there is
    /// none).
    virtual auto log(log_level level, std::string_view step, std::string_view peer,
                     std::string_view message) -> void = 0;
};

/// Discards every line.
class null_logger final : public logger {
public:
    auto log(log_level, std::string_view, std::string_view, std::string_view) -> void override {}
};

} // namespace cornelswitch
