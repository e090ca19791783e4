#include "ownership/config_stream.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

auto decode_snapshot(const log_record& record) -> std::optional<config_snapshot>
{
    auto decoded = decode_config_record(record.data);
    if (!decoded) {
        return std::nullopt;
    }
    auto* snapshot = std::get_if<config_snapshot>(&decoded.value().body);
    if (snapshot == nullptr || snapshot->end > record.offset) {
        return std::nullopt;
    }
    return std::move(*snapshot);
}

} // namespace

auto config_stream::apply(const log_record& record) -> apply_result
{
    auto out = state_.apply(record.offset, record.data);
    if (out.is_snapshot) {
        auto snapshot = decode_snapshot(record);
        newest_snapshot_end_ = snapshot
                                   ? std::max(newest_snapshot_end_, std::optional{snapshot->end})
                                   : newest_snapshot_end_;
    }
    return out;
}

auto config_stream::was_applied(const record_header& header) const -> bool
{
    return state_.was_applied(header);
}

auto config_stream::scan(const log_record& record) -> void
{
    auto snapshot = decode_snapshot(record);
    if (snapshot && (!scanned_ || snapshot->end > scanned_->end)) {
        scanned_ = std::move(snapshot);
    }
}

auto config_stream::install_scanned(log_offset first) -> bool
{
    auto snapshot = std::exchange(scanned_, std::nullopt);
    if (!snapshot || snapshot->end < first || snapshot->end <= state_.end()) {
        return false;
    }
    state_ = config_state{*snapshot};
    newest_snapshot_end_ = snapshot->end;
    return true;
}

auto config_stream::snapshot_records() const -> std::vector<record_encoder>
{
    auto encode = [snapshot = state_.snapshot()](const record_header& header) {
        return encode_config_record({header, snapshot});
    };
    return {encode};
}

auto config_stream::install_copy(const config_snapshot& copy) -> bool
{
    if (copy.end < state_.end() || copy.version < state_.version()) {
        return false;
    }
    if (copy.end > state_.end()) {
        state_ = config_state{copy};
    }
    return true;
}

} // namespace cornelswitch
