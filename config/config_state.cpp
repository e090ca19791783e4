#include "config/config_state.h"

#include <utility>

namespace cornelswitch {

auto config_state::apply(log_offset offset, std::string_view data) -> apply_result
{
    apply_result out;
    if (offset != end_) {
        out.reason = drop_reason::out_of_order;
        return out;
    }
    end_ = log_offset{end_.value() + 1};
    auto decoded = decode_config_record(data);
    if (!decoded) {
        out.reason = drop_reason::malformed;
        return out;
    }
    out.header = decoded.value().header;
    auto* change = std::get_if<config_change>(&decoded.value().body);
    if (change == nullptr) {
        out.status = apply_status::accepted;
        out.is_snapshot = true;
        return out;
    }
    if (!writers_.insert(out.header, offset)) {
        out.status = apply_status::duplicate;
        return out;
    }
    if (change->replaces != version_) {
        out.reason = drop_reason::stale_epoch;
        out.current_epoch = version_.value();
        out.dropped_items = 1;
        return out;
    }
    version_ = config_version{end_.value()};
    text_ = std::move(change->text);
    out.status = apply_status::accepted;
    out.accepted_items = 1;
    return out;
}

} // namespace cornelswitch
