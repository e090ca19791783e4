#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelswitch {

class event_log;

/// Builder of one log line. Its destructor appends the line to the log.
class log_line {
public:
    log_line(const log_line&) = delete;
    auto operator=(const log_line&) -> log_line& = delete;
    ~log_line();

    auto text(std::string_view name, std::string_view value) -> log_line&;
    auto number(std::string_view name, std::int64_t value) -> log_line&;
    auto decimal(std::string_view name, double value) -> log_line&;
    /// Writes a duration in milliseconds.
    auto ms(std::string_view name, duration value) -> log_line&;

private:
    friend class event_log;
    log_line(event_log* log, std::string prefix) : log_{log}, line_{std::move(prefix)} {}

    /// Null when the line is dropped.
    event_log* log_;
    std::string line_;
};

/// Structured log that writes JSON lines to a file descriptor.
///
/// The volume is bounded. Request lines and all other lines have separate limits of
/// `lines_per_second`, so that a burst of requests does not displace lines about the state of the
/// process. At most `max_buffered` bytes wait for the reader. Lines beyond these limits are dropped
/// and counted. Writing never blocks: `flush` writes as much as the descriptor accepts. log4cxx is
/// not used because it formats and writes each line synchronously and its write blocks.
class event_log {
public:
    /// Limit for request lines and for other lines each. At about 300 bytes a line, both together
    /// are at most 0.25 MB/s.
    static constexpr std::uint32_t lines_per_second = 400;
    static constexpr std::size_t max_buffered = 256 * 1024;

    /// Makes `fd` non-blocking. With -1 every line is discarded.
    event_log(const clock& time, int fd, std::string_view instance, std::string_view zone);
    event_log(const event_log&) = delete;
    auto operator=(const event_log&) -> event_log& = delete;
    ~event_log();

    /// Starts a line about a request.
    auto request_line(std::string_view event) -> log_line;
    /// Starts a line about anything else, such as a role, a server or a configuration.
    auto line(std::string_view event) -> log_line;
    auto flush() -> void;
    auto dropped() const -> std::uint64_t { return dropped_; }
    auto written() const -> std::uint64_t { return written_; }

private:
    friend class log_line;
    struct rate_limit {
        time_point window_start{};
        std::uint32_t lines{0};
    };

    auto append(std::string line) -> void;
    /// Counts a line against `limit`. Returns false when the line has to be dropped.
    auto try_count_line(rate_limit& limit) -> bool;
    auto start_line(rate_limit& limit, std::string_view event) -> log_line;
    /// Fields that every line begins with.
    auto line_prefix(std::string_view event) const -> std::string;

    const clock& time_;
    int fd_;
    std::string common_fields_;
    std::string buffer_;
    rate_limit request_limit_;
    rate_limit other_limit_;
    std::uint64_t dropped_{0};
    std::uint64_t last_reported_dropped_{0};
    std::uint64_t written_{0};
};

} // namespace cornelswitch
