#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelswitch {

class event_log;

/// One line of the log. It is written when the object goes out of scope.
class log_line {
public:
    log_line(const log_line&) = delete;
    auto operator=(const log_line&) -> log_line& = delete;
    ~log_line();

    auto text(std::string_view name, std::string_view value) -> log_line&;
    auto number(std::string_view name, std::int64_t value) -> log_line&;
    auto real(std::string_view name, double value) -> log_line&;
    /// Writes a duration in milliseconds.
    auto ms(std::string_view name, duration value) -> log_line&;

private:
    friend class event_log;
    log_line(event_log* log, std::string start) : log_{log}, line_{std::move(start)} {}

    /// Null when the line is dropped.
    event_log* log_;
    std::string line_;
};

/// JSON lines on a file descriptor.
///
/// Volume is bounded: at most `lines_per_second` lines about requests and as many about everything
/// else, so that a flood of requests does not hide what the process believes, and at most
/// `max_buffered` bytes that the reader has not taken. Lines beyond that are dropped and counted.
/// Writing never blocks: `flush` hands over what the descriptor takes. log4cxx is not used here: it
/// formats and writes each line synchronously through several layers, and its write blocks.
class event_log {
public:
    /// Of each kind. At about 300 bytes a line, both together are 0.25 MB/s at most.
    static constexpr std::uint32_t lines_per_second = 400;
    static constexpr std::size_t max_buffered = 256 * 1024;

    /// `fd` is made non-blocking; -1 discards every line.
    event_log(const clock& time, int fd, std::string_view instance, std::string_view zone);
    event_log(const event_log&) = delete;
    auto operator=(const event_log&) -> event_log& = delete;
    ~event_log();

    /// Starts a line about a request.
    auto request_line(std::string_view event) -> log_line;
    /// Starts a line about anything else: a role, a server, a configuration, a dependency.
    auto line(std::string_view event) -> log_line;
    auto flush() -> void;
    auto dropped() const -> std::uint64_t { return dropped_; }
    auto written() const -> std::uint64_t { return written_; }

private:
    friend class log_line;
    struct line_budget {
        time_point second_started{};
        std::uint32_t lines{0};
    };

    auto append(std::string line) -> void;
    auto admit(line_budget& budget) -> bool;
    auto start(line_budget& budget, std::string_view event) -> log_line;
    auto start_text(std::string_view event) const -> std::string;

    const clock& time_;
    int fd_;
    std::string common_;
    std::string buffer_;
    line_budget request_lines_;
    line_budget other_lines_;
    std::uint64_t dropped_{0};
    std::uint64_t reported_dropped_{0};
    std::uint64_t written_{0};
};

} // namespace cornelswitch
