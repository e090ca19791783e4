#include "routing/served_shares.h"

#include "core/milliseconds.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cornelswitch {

namespace {

/// Classes that are counted. Others take the place of the one without a request for longest.
constexpr std::size_t max_groups = 64;
/// Decay time of the counts. Bursts last 3 to 15 s.
constexpr double decay_time_ms = 10'000.0;
/// A class without requests for this long is forgotten, and so is its priority.
constexpr duration idle_time = std::chrono::seconds{60};
constexpr duration cleanup_interval = std::chrono::seconds{5};
/// A shortage lasts for this long after the last refusal.
constexpr duration shortage_time = std::chrono::seconds{1};
/// Served requests that each class is taken to have had. Less than one, so that a class with few
/// requests is noticed after two refusals.
constexpr double initial_served = 0.25;

auto decay(duration age) -> double
{
    return std::exp(-std::max(0.0, to_ms(age)) / decay_time_ms);
}

} // namespace

auto served_shares::counts::add(const group& it, time_point now) -> void
{
    double weight = decay(now - it.updated_at);
    served += it.served * weight;
    refused += it.refused * weight;
}

auto served_shares::counts::share() const -> double
{
    return (served + initial_served) / (served + refused + initial_served);
}

auto served_shares::find(std::uint32_t priority, std::uint32_t work_class, time_point now) -> group&
{
    if (now - last_cleanup_at_ > cleanup_interval) {
        last_cleanup_at_ = now;
        std::erase_if(groups_, [&](const auto& it) { return now - it.arrived_at > idle_time; });
        update_priorities();
    }
    auto known = std::ranges::find_if(groups_, [&](const auto& it) {
        return it.priority == priority && it.work_class == work_class;
    });
    if (known == groups_.end()) {
        if (groups_.size() >= max_groups) {
            groups_.erase(std::ranges::min_element(groups_, {}, &group::arrived_at));
        }
        groups_.push_back({priority, work_class, 0, 0, now, now});
        update_priorities();
        return groups_.back();
    }
    double weight = decay(now - known->updated_at);
    known->served *= weight;
    known->refused *= weight;
    known->updated_at = now;
    return *known;
}

auto served_shares::update_priorities() -> void
{
    priorities_.clear();
    for (const auto& it : groups_) {
        priorities_.push_back(it.priority);
    }
    std::ranges::sort(priorities_);
    priorities_.erase(std::unique(priorities_.begin(), priorities_.end()), priorities_.end());
}

auto served_shares::on_arrival(std::uint32_t priority, std::uint32_t work_class, time_point now)
    -> void
{
    find(priority, work_class, now).arrived_at = now;
}

auto served_shares::on_served(std::uint32_t priority, std::uint32_t work_class, time_point now)
    -> void
{
    find(priority, work_class, now).served += 1;
}

auto served_shares::on_refused(std::uint32_t priority, std::uint32_t work_class, time_point now)
    -> void
{
    find(priority, work_class, now).refused += 1;
    last_refusal_at_ = now;
}

auto served_shares::level(std::uint32_t priority) const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::lower_bound(priorities_, priority) -
                                      priorities_.begin());
}

auto served_shares::most_urgent(std::uint32_t priority) const -> std::uint32_t
{
    return priorities_.empty() ? priority : std::min(priority, priorities_.front());
}

auto served_shares::is_short(time_point now) const -> bool
{
    return last_refusal_at_ != time_point{} && now - last_refusal_at_ < shortage_time;
}

auto served_shares::is_underserved(std::uint32_t priority, std::uint32_t work_class,
                                   double min_share, time_point now) const -> bool
{
    counts all;
    counts own;
    std::map<std::uint32_t, counts> more_urgent;
    for (const auto& it : groups_) {
        all.add(it, now);
        if (it.priority == priority && it.work_class == work_class) {
            own.add(it, now);
        }
        if (it.priority < priority) {
            more_urgent[it.priority].add(it, now);
        }
    }
    double reference = all.share();
    for (const auto& [urgent, it] : more_urgent) {
        reference = std::min(reference, it.share());
    }
    return own.share() < min_share * reference;
}

} // namespace cornelswitch
