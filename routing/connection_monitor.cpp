#include "routing/connection_monitor.h"

namespace cornelswitch {

auto connection_monitor::on_request(time_point now) -> void
{
    if (outstanding_ == 0) {
        waiting_since_ = now;
        pinged_at_.reset();
    }
    ++outstanding_;
}

auto connection_monitor::on_request_ended() -> void
{
    outstanding_ -= outstanding_ > 0 ? 1 : 0;
}

auto connection_monitor::on_received(time_point now) -> void
{
    waiting_since_ = now;
    pinged_at_.reset();
}

auto connection_monitor::check(time_point now) -> connection_action
{
    if (outstanding_ == 0) {
        return connection_action::none;
    }
    if (pinged_at_) {
        auto timed_out = now >= *pinged_at_ + ping_timeout;
        return timed_out ? connection_action::replace : connection_action::none;
    }
    if (now < waiting_since_ + ping_after) {
        return connection_action::none;
    }
    pinged_at_ = now;
    return connection_action::ping;
}

auto connection_monitor::next_wakeup() const -> std::optional<time_point>
{
    if (outstanding_ == 0) {
        return std::nullopt;
    }
    return pinged_at_ ? *pinged_at_ + ping_timeout : waiting_since_ + ping_after;
}

} // namespace cornelswitch
