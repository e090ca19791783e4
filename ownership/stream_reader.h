#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "ownership/applied_stream.h"
#include "ownership/log_actions.h"
#include "ownership/log_writer.h"

#include <cstdint>
#include <optional>

namespace cornelswitch {

/// Reads one stream into its applied state, one read at a time. If retention has dropped records
/// before they were applied, the reader scans for the newest complete snapshot and continues from
/// there.
class stream_reader {
public:
    struct settings {
        /// Maximum number of records per read; limits the memory of an answer that consists of
        /// snapshot chunks.
        std::size_t max_page_records{64};
        /// Time for which the log delays an empty answer. Short compared with `yield_after`; for
        /// two streams the traffic is a few hundred bytes per second.
        duration long_poll_timeout{std::chrono::seconds{1}};
        /// Time after which a read without an answer counts as failed.
        duration read_timeout{std::chrono::seconds{4}};
        /// Time without an answer after which an instance that is not ready also asks its peers for
        /// a copy.
        duration slow_read_delay{std::chrono::seconds{1}};
        duration initial_retry_delay{std::chrono::milliseconds{100}};
        duration max_retry_delay{std::chrono::seconds{2}};
    };

    stream_reader(applied_stream& stream, log_writer& writer, const settings& options)
        : stream_{stream}, writer_{writer}, options_{options}
    {
    }

    auto on_page(std::uint64_t token, const result<log_page>& page, time_point now,
                 log_actions& out) -> void;
    /// Starts reads and handles read timeouts.
    auto tick(time_point now, log_actions& out) -> void;
    /// Handles the replacement of the state by a peer's copy.
    auto on_copy_installed(log_actions& out) -> void;

    /// True once the log was read to its end, or a copy was installed.
    auto ready() const -> bool { return ready_; }
    /// Whether the log is applied up to the end that the last read reported.
    auto caught_up() const -> bool { return caught_up_; }
    /// Whether a peer's copy of the state would help: records were dropped before they were
    /// applied, or the log does not answer before this instance is ready.
    auto wants_copy() const -> bool
    {
        return next_scan_offset_.has_value() ||
               (!ready_ && (consecutive_failures_ > 0 || is_read_slow_));
    }
    /// Start time of the last read that reached the end of the log.
    auto caught_up_at() const -> std::optional<time_point> { return caught_up_at_; }
    /// Oldest retained offset that the last answer reported.
    auto log_start() const -> log_offset { return log_start_; }
    /// End of the log that the last answer reported.
    auto log_end() const -> log_offset { return log_end_; }

private:
    auto next_offset() const -> log_offset { return next_scan_offset_.value_or(stream_.end()); }
    auto is_valid(const log_page& page) const -> bool;
    auto on_read_failed(time_point now) -> void;
    auto start_scan(const log_page& page) -> void;
    auto apply(const log_page& page, time_point now, log_actions& out) -> void;
    auto scan(const log_page& page, log_actions& out) -> void;

    applied_stream& stream_;
    log_writer& writer_;
    settings options_;
    std::uint64_t last_token_{0};
    bool is_reading_{false};
    time_point read_started_at_;
    log_offset read_from_;
    time_point not_before_;
    std::uint32_t consecutive_failures_{0};
    bool is_read_slow_{false};
    /// Next offset to scan for snapshots; empty while records are applied.
    std::optional<log_offset> next_scan_offset_;
    bool ready_{false};
    bool caught_up_{false};
    std::optional<time_point> caught_up_at_;
    log_offset log_start_;
    log_offset log_end_;
};

} // namespace cornelswitch
