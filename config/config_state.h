#pragma once

#include "config/apply_result.h"
#include "config/config_record.h"
#include "config/writer_window.h"
#include "core/ids.h"

#include <string>
#include <string_view>

namespace cornelswitch {

/// State of log stream `config`. Of several records that replace the same version the first in log
/// order wins, and the version never goes back. It does not interpret the text.
class config_state {
public:
    config_state() = default;
    /// State that a snapshot record or a peer carries.
    explicit config_state(const config_snapshot& snapshot)
        : end_{snapshot.end}, version_{snapshot.version}, text_{snapshot.text}
    {
    }

    /// Applies the record with offset `end()`. Snapshot records change nothing, because whoever
    /// applies them has applied what they repeat.
    auto apply(log_offset offset, std::string_view data) -> apply_result;

    /// Next offset that is not applied yet.
    auto end() const -> log_offset { return end_; }
    /// Offset + 1 of the accepted record; 0 when nothing is published.
    auto version() const -> config_version { return version_; }
    auto text() const -> const std::string& { return text_; }

    auto snapshot() const -> config_snapshot { return {end_, version_, text_}; }
    auto has_seen(const record_header& header) const -> bool { return writers_.contains(header); }

private:
    log_offset end_;
    config_version version_;
    std::string text_;
    writer_window writers_;
};

} // namespace cornelswitch
