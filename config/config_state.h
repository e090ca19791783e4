#pragma once

#include "config/apply_result.h"
#include "config/config_record.h"
#include "config/writer_window.h"
#include "core/ids.h"

#include <string>
#include <string_view>

namespace cornelswitch {

/// State of log stream `config`. If several records replace the same version, only the first one in
/// log order is accepted. The version never decreases. The text is not interpreted.
class config_state {
public:
    config_state() = default;
    /// Restores the state from a snapshot record or from the copy of a peer.
    explicit config_state(const config_snapshot& snapshot)
        : end_{snapshot.end}, version_{snapshot.version}, text_{snapshot.text}
    {
    }

    /// Applies the record at offset `end()`. Snapshot records do not change the state, because it
    /// already contains what they repeat.
    auto apply(log_offset offset, std::string_view data) -> apply_result;

    /// Next offset to be applied.
    auto end() const -> log_offset { return end_; }
    /// Log offset + 1 of the last accepted change; 0 if nothing is published.
    auto version() const -> config_version { return version_; }
    /// YAML text of the current version; empty if nothing is published.
    auto text() const -> const std::string& { return text_; }

    auto snapshot() const -> config_snapshot { return {end_, version_, text_}; }
    /// Whether a record with this header was applied, even if it was dropped. Only recent records
    /// of recent writers are remembered.
    auto was_applied(const record_header& header) const -> bool
    {
        return writers_.contains(header);
    }

private:
    log_offset end_;
    config_version version_;
    std::string text_;
    writer_window writers_;
};

} // namespace cornelswitch
