#pragma once

#include "config/apply_result.h"
#include "core/ids.h"
#include "ownership/log_actions.h"
#include "ownership/log_service.h"

#include <optional>
#include <vector>

namespace cornelswitch {

/// Interface of a log stream and its applied state for reading records and for snapshots.
class applied_stream {
public:
    applied_stream() = default;
    applied_stream(const applied_stream&) = delete;
    auto operator=(const applied_stream&) -> applied_stream& = delete;
    virtual ~applied_stream() = default;

    virtual auto name() const -> log_stream = 0;
    /// Next offset to be applied.
    virtual auto end() const -> log_offset = 0;
    virtual auto apply(const log_record& record) -> apply_result = 0;
    virtual auto was_applied(const record_header& header) const -> bool = 0;

    /// Scans a record for snapshots when it cannot be applied because earlier records were dropped
    /// from the log.
    virtual auto scan(const log_record& record) -> void = 0;
    /// Replaces the state with the newest complete snapshot that was scanned. Returns false when no
    /// snapshot ends at `first` or later, or none is newer than the state.
    virtual auto install_scanned(log_offset first) -> bool = 0;

    /// End offset of the newest complete snapshot among the records that were applied or scanned.
    virtual auto newest_snapshot() const -> std::optional<log_offset> = 0;
    /// Records that form a snapshot of the current state.
    virtual auto snapshot_records() const -> std::vector<record_encoder> = 0;
};

} // namespace cornelswitch
