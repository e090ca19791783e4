#pragma once

#include "config/config_state.h"
#include "ownership/applied_stream.h"

namespace cornelswitch {

/// Log stream `config`. A snapshot consists of one record.
class config_stream final : public applied_stream {
public:
    auto name() const -> log_stream override { return log_stream::config; }
    auto end() const -> log_offset override { return state_.end(); }
    auto apply(const log_record& record) -> apply_result override;
    auto was_applied(const record_header& header) const -> bool override;
    auto scan(const log_record& record) -> void override;
    auto install_scanned(log_offset first) -> bool override;
    auto newest_snapshot() const -> std::optional<log_offset> override
    {
        return newest_snapshot_end_;
    }
    auto snapshot_records() const -> std::vector<record_encoder> override;

    auto state() const -> const config_state& { return state_; }
    /// Installs a peer's state. Returns false when its version or offset is lower than that of the
    /// local state.
    auto install_copy(const config_snapshot& copy) -> bool;

private:
    config_state state_;
    std::optional<config_snapshot> scanned_;
    std::optional<log_offset> newest_snapshot_end_;
};

} // namespace cornelswitch
