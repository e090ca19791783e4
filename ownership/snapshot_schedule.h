#pragma once

#include "core/clock.h"
#include "ownership/applied_stream.h"
#include "ownership/log_writer.h"
#include "ownership/stream_reader.h"

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace cornelswitch {

/// Decides when this instance writes a snapshot of one stream, and writes it chunk by chunk. One
/// instance should write snapshots at a time; more than one is harmless.
class snapshot_schedule {
public:
    struct settings {
        /// Number of records after the newest snapshot at which the next one is due.
        std::uint64_t max_records{4096};
        /// Maximum age of the newest snapshot. Time-based retention of the log must be at least
        /// twice as long.
        duration interval{std::chrono::minutes{10}};
        /// Minimum time between two snapshots, even if retention drops records faster.
        duration min_interval{std::chrono::seconds{10}};
        /// Time limit for appending one chunk and reading it back.
        duration chunk_deadline{std::chrono::seconds{30}};
        /// Maximum number of unsettled chunks, so that chunks do not delay other records.
        std::size_t max_outstanding{2};
    };

    snapshot_schedule(const applied_stream& stream, const stream_reader& reader, log_writer& writer,
                      const settings& options)
        : stream_{stream}, reader_{reader}, writer_{writer}, options_{options}
    {
    }

    /// If `enabled`, starts a snapshot when one is due and continues a snapshot in progress;
    /// otherwise drops it.
    auto tick(bool enabled, time_point now) -> void;
    /// Abandons the snapshot when one of its chunks was not accepted.
    auto on_settled(const append_settled& settled) -> void;

private:
    auto is_due(time_point now) -> bool;
    auto is_retention_near() const -> bool;
    auto submit_chunks(time_point now) -> void;

    const applied_stream& stream_;
    const stream_reader& reader_;
    log_writer& writer_;
    settings options_;
    /// Records of the snapshot in progress that are yet to be submitted, in reverse order.
    std::vector<record_encoder> remaining_;
    std::set<writer_sequence> outstanding_;
    std::optional<time_point> last_started_;
    /// End offset of the newest snapshot in the log.
    std::optional<log_offset> newest_snapshot_end_;
    /// Time at which `newest_snapshot_end_` was first seen.
    std::optional<time_point> newest_seen_at_;
};

} // namespace cornelswitch
