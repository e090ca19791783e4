#include "adapters/h2o/delivery_progress.h"

#include <algorithm>

namespace cornelswitch {

delivery_progress::delivery_progress(const timeouts& limits,
                                     std::chrono::milliseconds check_interval,
                                     const send_queue& initial)
    : limits_{limits}, check_interval_{check_interval}, acknowledged_bytes_{
                                                            initial.acknowledged_bytes}
{
}

auto delivery_progress::on_state(const send_queue& state) -> bool
{
    bool waits_for_reader = state.waits_for_reader();
    bool has_changed = state.is_empty() || state.acknowledged_bytes != acknowledged_bytes_ ||
                       waits_for_reader != waits_for_reader_;
    acknowledged_bytes_ = state.acknowledged_bytes;
    waits_for_reader_ = waits_for_reader;
    if (has_changed) {
        unchanged_for_ = {};
        return false;
    }
    unchanged_for_ += check_interval_;
    return unchanged_for_ >= (waits_for_reader
                                  ? std::max(limits_.closed_window, limits_.unacknowledged)
                                  : limits_.unacknowledged);
}

} // namespace cornelswitch
