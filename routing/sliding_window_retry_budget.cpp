#include "routing/sliding_window_retry_budget.h"

#include <algorithm>

namespace cornelswitch {

namespace {

/// The window slides in steps of one slice.
constexpr int slices_per_window = 20;
/// Share of the bound that is used. The rest covers extra requests that reach the server later than
/// they were counted, and instances that this one does not know of yet.
constexpr double used_share = 0.7;

} // namespace

auto sliding_window_retry_budget::current_slice(time_point now) -> slice&
{
    while (!slices_.empty() && slices_.front().start + settings_.window < now) {
        slices_.pop_front();
    }
    auto step = settings_.window / slices_per_window;
    if (slices_.empty() || now >= slices_.back().start + step) {
        slices_.push_back({now});
    }
    return slices_.back();
}

auto sliding_window_retry_budget::on_request(time_point now) -> void
{
    ++current_slice(now).requests;
}

auto sliding_window_retry_budget::try_spend(time_point now) -> bool
{
    auto& slice_now = current_slice(now);
    double requests = 0;
    double extra = 0;
    for (const auto& it : slices_) {
        requests += it.requests;
        extra += it.extra;
    }
    auto instances = std::max(1U, settings_.instances);
    auto limit = used_share * (settings_.ratio * requests + settings_.burst / instances);
    if (extra + 1 > limit) {
        return false;
    }
    ++slice_now.extra;
    return true;
}

} // namespace cornelswitch
