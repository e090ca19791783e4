#pragma once

#include "config/apply_result.h"
#include "core/ids.h"
#include "ownership/log_actions.h"
#include "ownership/log_service.h"

#include <optional>
#include <vector>

namespace cornelswitch {

/// A stream of the log with its folded state, as far as reading and snapshots are concerned.
class folded_stream {
public:
    folded_stream() = default;
    folded_stream(const folded_stream&) = delete;
    auto operator=(const folded_stream&) -> folded_stream& = delete;
    virtual ~folded_stream() = default;

    virtual auto name() const -> log_stream = 0;
    /// Next offset that is not folded yet.
    virtual auto end() const -> log_offset = 0;
    virtual auto apply(const log_record& record) -> apply_result = 0;
    virtual auto has_seen(const record_header& header) const -> bool = 0;

    /// Looks for snapshots in a record that cannot be folded, because earlier ones are lost.
    virtual auto scan(const log_record& record) -> void = 0;
    /// Replaces the state by the newest complete snapshot that was scanned. Returns false when
    /// there is none that ends at `first` or later, or none that is newer than the state.
    virtual auto install_scanned(log_offset first) -> bool = 0;

    /// End of the newest complete snapshot among the records that were folded or scanned.
    virtual auto newest_snapshot() const -> std::optional<log_offset> = 0;
    /// Records that repeat the current state.
    virtual auto snapshot_records() const -> std::vector<record_encoder> = 0;
};

} // namespace cornelswitch
