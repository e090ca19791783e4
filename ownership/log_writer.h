#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"
#include "ownership/applied_stream.h"
#include "ownership/log_actions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cornelswitch {

/// Progress after one read: its start time, the end of the log in its answer, and the next offset
/// to be applied.
struct read_progress {
    time_point started;
    log_offset log_end;
    log_offset applied_end;
};

/// Appends records to one stream. After an error or timeout the writer waits until the log has been
/// read up to an end that was observed after the failure. It appends the same bytes again only if
/// the record is not found; if both appends take effect, the state drops the second one.
class log_writer {
public:
    struct settings {
        /// Maximum number of records that are in flight, or answered or uncertain but not yet
        /// settled.
        std::size_t max_outstanding{4};
        std::size_t max_queued{64};
        duration append_timeout{std::chrono::seconds{2}};
        /// Delay before the first retry; doubles with each further retry.
        duration initial_retry_delay{std::chrono::milliseconds{200}};
        duration max_retry_delay{std::chrono::seconds{5}};
    };

    log_writer(log_stream stream, instance_id writer, boot_id boot, const settings& options)
        : stream_{stream}, writer_{std::move(writer)}, boot_{boot}, options_{options}
    {
    }

    /// Queues a record. If it is unsettled at `deadline`, it is reported as `not_sent` or `unknown`
    /// and not appended again. Errors: `unavailable` when the queue is full.
    auto submit(const record_encoder& encode, time_point deadline) -> result<writer_sequence>;

    auto on_appended(writer_sequence sequence, std::uint32_t attempt,
                     const result<log_offset>& answer, time_point now) -> void;
    /// Handles the result of applying a record. Settles the record if this writer wrote it.
    auto on_applied(const apply_result& applied, log_actions& out) -> void;
    auto on_read(const read_progress& progress, time_point now, log_actions& out) -> void;
    /// Handles the replacement of the applied state by a snapshot or a copy, after which the
    /// results of single records are not known.
    auto on_state_replaced(const applied_stream& stream, log_actions& out) -> void;
    /// Handles timeouts and sends queued records as far as the limits allow.
    auto tick(time_point now, log_actions& out) -> void;

    /// Whether the log should be read without waiting, to find out whether a record was appended.
    auto needs_read_back() const -> bool;
    /// Records that are not settled.
    auto unsettled() const -> std::size_t { return entries_.size(); }

private:
    enum class phase : std::uint8_t { queued, in_flight, answered, uncertain };

    struct entry {
        std::string data;
        time_point deadline;
        phase state{phase::queued};
        std::uint32_t attempt{0};
        time_point sent_at;
        time_point failed_at;
        time_point not_before;
        /// Offset that the log returned.
        log_offset offset;
        /// Offset up to which the log must be read before the record is appended again.
        std::optional<log_offset> read_back_to;
    };
    using entry_map = std::map<writer_sequence, entry>;

    auto mark_failed(entry& it, time_point now) -> void;
    auto send_queued(time_point now, log_actions& out) -> void;
    auto settle_entry(entry_map::iterator it, append_outcome outcome, const apply_result& applied,
                      log_actions& out) -> entry_map::iterator;
    auto outstanding() const -> std::size_t;
    auto header(writer_sequence sequence) const -> record_header;

    log_stream stream_;
    instance_id writer_;
    boot_id boot_;
    settings options_;
    writer_sequence last_sequence_;
    entry_map entries_;
    /// Records that were reported as unknown and may still appear in the log.
    std::set<writer_sequence> abandoned_;
};

} // namespace cornelswitch
