#include "routing/in_flight_tracker.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto set_earlier(std::optional<time_point>& earliest, time_point at) -> void
{
    earliest = earliest ? std::min(*earliest, at) : at;
}

} // namespace

auto in_flight_tracker::add(const request_info& request, time_point now) -> void
{
    active_.insert_or_assign(request.id, active_request{request, now});
}

auto in_flight_tracker::finish(request_id id) -> bool
{
    return active_.erase(id) + abandoned_.erase(id) > 0;
}

auto in_flight_tracker::abandon(request_id id, time_point now) -> bool
{
    auto it = active_.find(id);
    if (it == active_.end()) {
        return false;
    }
    auto bound = std::max(it->second.info.deadline, now) + abandoned_margin;
    abandoned_.emplace(id, abandoned_request{it->second.sent, bound});
    active_.erase(it);
    return true;
}

auto in_flight_tracker::set_inherited(std::uint32_t running, time_point bound) -> void
{
    inherited_ = running;
    inherited_bound_ = bound;
}

auto in_flight_tracker::on_restart() -> void
{
    abandoned_.clear();
    inherited_ = 0;
    report_.reset();
}

auto in_flight_tracker::on_report(std::uint32_t running, time_point now) -> void
{
    advance(now);
    if (abandoned_.empty() && inherited_ == 0) {
        return;
    }
    limit_unconfirmed(running, now);
    if (!report_) {
        report_ = pending_report{running, now};
    }
}

auto in_flight_tracker::advance(time_point now) -> void
{
    std::erase_if(abandoned_, [&](const auto& it) { return it.second.bound <= now; });
    if (inherited_ > 0 && inherited_bound_ <= now) {
        inherited_ = 0;
    }
    if (!report_ || now < report_->at + transit_bound) {
        return;
    }
    // An active request that was sent a transit time before the report, and is still unanswered a
    // transit time after it, was running when the server made the report. The remainder of the
    // reported count is an upper bound for abandoned and inherited requests.
    auto received_before = report_->at - transit_bound;
    auto confirmed_running = std::count_if(active_.begin(), active_.end(), [&](const auto& it) {
        return it.second.sent <= received_before;
    });
    auto running = static_cast<std::uint32_t>(confirmed_running);
    auto max_unconfirmed = report_->running > running ? report_->running - running : 0;
    limit_unconfirmed(max_unconfirmed, report_->at);
    report_.reset();
}

auto in_flight_tracker::overdue(time_point now) const -> std::vector<overdue_request>
{
    std::vector<overdue_request> out;
    for (const auto& [id, it] : active_) {
        if (it.info.deadline <= now) {
            out.push_back({id, now - it.sent});
        }
    }
    return out;
}

auto in_flight_tracker::next_event() const -> std::optional<time_point>
{
    std::optional<time_point> out;
    for (const auto& [id, it] : active_) {
        set_earlier(out, it.info.deadline);
    }
    for (const auto& [id, it] : abandoned_) {
        set_earlier(out, it.bound);
    }
    if (inherited_ > 0) {
        set_earlier(out, inherited_bound_);
    }
    if (report_) {
        set_earlier(out, report_->at + transit_bound);
    }
    return out;
}

auto in_flight_tracker::total() const -> std::uint32_t
{
    return inherited_ + static_cast<std::uint32_t>(active_.size() + abandoned_.size());
}

auto in_flight_tracker::limit_unconfirmed(std::uint32_t max_unconfirmed, time_point report) -> void
{
    // A request sent just before the report may reach the server after it, so it is kept.
    std::vector<std::pair<time_point, request_id>> covered_by_report;
    for (const auto& [id, it] : abandoned_) {
        if (it.sent <= report - transit_bound) {
            covered_by_report.emplace_back(it.sent, id);
        }
    }
    std::sort(covered_by_report.begin(), covered_by_report.end());
    auto total = inherited_ + covered_by_report.size();
    auto excess = total > max_unconfirmed ? total - max_unconfirmed : 0;
    auto ended_inherited = std::min<std::size_t>(excess, inherited_);
    inherited_ -= static_cast<std::uint32_t>(ended_inherited);
    for (std::size_t n = 0; n < excess - ended_inherited; ++n) {
        abandoned_.erase(covered_by_report[n].second);
    }
}

} // namespace cornelswitch
