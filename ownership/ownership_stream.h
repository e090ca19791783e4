#pragma once

#include "ownership/applied_stream.h"
#include "ownership/ownership_state.h"
#include "ownership/snapshot_assembler.h"

#include <set>
#include <string_view>
#include <tuple>

namespace cornelswitch {

/// Log stream `ownership`. A snapshot consists of several chunk records.
class ownership_stream final : public applied_stream {
public:
    auto name() const -> log_stream override { return log_stream::ownership; }
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

    auto state() const -> const ownership_state& { return state_; }
    /// Installs a peer's encoded state. Returns false when it is malformed or its offset is lower
    /// than that of the local state.
    auto install_copy(std::string_view bytes) -> bool;

private:
    auto count_chunk(const log_record& record) -> void;

    ownership_state state_;
    snapshot_assembler assembler_;
    /// End, digest and number of chunks of the newest incomplete snapshot.
    std::tuple<std::uint64_t, std::uint64_t, std::uint32_t> incomplete_snapshot_;
    /// Indexes of the chunks of `incomplete_snapshot_` that were applied.
    std::set<std::uint32_t> chunks_seen_;
    std::optional<log_offset> newest_snapshot_end_;
};

} // namespace cornelswitch
