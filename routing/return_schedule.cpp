#include "routing/return_schedule.h"

#include "core/milliseconds.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_places = 4096;
/// Lines of owners and priorities that are kept.
constexpr std::size_t max_lines = 1024;
/// Part of the capacity that is promised to returning callers. The rest is left to new requests,
/// which otherwise are refused in turn.
constexpr double returning_share = 0.3;
/// Callers wait for at most this part of the time that they have left.
constexpr int honoured_divisor = 3;
/// Bounds of the time that a caller is given. Few requests have more than 10 s.
constexpr duration min_retry_after = milliseconds{50};
constexpr duration max_retry_after = std::chrono::seconds{10};
/// Deadlines of two attempts of one caller differ by the transit time to the instance.
constexpr duration deadline_tolerance = milliseconds{25};
/// A caller that returns this much before its time is on time. Callers round to milliseconds.
constexpr duration early_tolerance = milliseconds{10};
/// Time after which a place is given up.
constexpr duration late_tolerance = std::chrono::seconds{1};

} // namespace

auto return_schedule::invite(const returning_request& request, duration wait, duration delay,
                             time_point now) -> invitation
{
    auto due = now + std::max(wait, min_retry_after);
    auto first = next_free_.lower_bound({request.owner, 0});
    for (auto it = first; it != next_free_.end() && it->first.first == request.owner &&
                          it->first.second <= request.priority;
         ++it) {
        due = std::max(due, it->second);
    }
    auto honoured = (request.deadline - now) / honoured_divisor;
    bool has_place =
        due - now <= honoured && places_.size() < max_places && next_free_.size() < max_lines;
    if (has_place) {
        next_free_[{request.owner, request.priority}] =
            due + from_ms(to_ms(delay) / returning_share);
        places_.emplace(place_key{request.work_class, request.priority, request.deadline},
                        return_place{due, request.objective});
    }
    return {std::min(due - now, max_retry_after), has_place};
}

auto return_schedule::take(const returning_request& request, time_point now)
    -> std::optional<return_place>
{
    auto it = places_.lower_bound(
        {request.work_class, request.priority, request.deadline - deadline_tolerance});
    for (; it != places_.end(); ++it) {
        const auto& [work_class, priority, deadline] = it->first;
        if (work_class != request.work_class || priority != request.priority ||
            deadline > request.deadline + deadline_tolerance) {
            return std::nullopt;
        }
        if (it->second.due <= now + early_tolerance) {
            auto out = it->second;
            places_.erase(it);
            return out;
        }
    }
    return std::nullopt;
}

auto return_schedule::remove_expired(time_point now) -> void
{
    std::erase_if(places_, [&](const auto& it) { return it.second.due + late_tolerance < now; });
    std::erase_if(next_free_, [&](const auto& it) { return it.second < now; });
}

} // namespace cornelswitch
