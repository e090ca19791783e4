#include "ownership/store_era_tracker.h"

namespace cornelswitch {

auto to_string(era_class it) -> std::string_view
{
    switch (it) {
    case era_class::current:
        return "current";
    case era_class::new_era:
        return "new-era";
    case era_class::stale:
        return "stale";
    }
    return "unknown";
}

auto store_era_tracker::on_response(const named_era& named, std::string_view peer, time_point now)
    -> era_class
{
    auto era = named.has_value() ? named.value().value_or(store_era{}) : store_era{};
    if (named.has_error() || era < era_) {
        ++stale_responses_;
        return era_class::stale;
    }
    return on_peer_era(era, peer, now) ? era_class::new_era : era_class::current;
}

auto store_era_tracker::on_peer_era(store_era era, std::string_view peer, time_point now) -> bool
{
    if (era <= era_) {
        return false;
    }
    era_ = era;
    seen_at_ = now;
    seen_from_ = peer;
    return true;
}

} // namespace cornelswitch
