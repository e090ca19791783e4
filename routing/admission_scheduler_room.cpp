#include "core/milliseconds.h"
#include "routing/admission_scheduler.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// Late requests that may wait for a server, as a multiple of its slots. They are worth less than
/// requests that can be in time and get only the remaining capacity, which under overload is none.
constexpr std::uint32_t max_late_per_slot = 1;
/// Bounds of the retry delay that a caller is given for other causes than a shortage of slots.
constexpr double min_retry_after_ms = 50.0;
constexpr double max_retry_after_ms = 2000.0;

} // namespace

auto admission_scheduler::set_value(admission_request& request, time_point now) -> void
{
    request.work_time = estimate(request, now);
    request.is_late = now + request.work_time > request.objective;
    request.order_time = request.objective;
    shares_.on_arrival(request.priority, request.work.value(), now);
    const auto& settings = settings_.value;
    if (settings.books_returns) {
        if (auto place = returns_.take({request.owner, request.priority, request.work.value(),
                                        request.deadline, request.objective},
                                       now)) {
            request.is_returning = true;
            // The caller is not queued behind those that came after its first attempt.
            request.order_time = std::min(request.objective, place->objective);
        }
    }
    request.is_underserved = settings.min_served_share > 0 && shares_.is_short(now) &&
                             shares_.is_underserved(request.priority, request.work.value(),
                                                    settings.min_served_share, now);
    request.value = value_.value({shares_.level(request.priority), request.work_time,
                                  request.is_returning, request.is_underserved});
    switch (settings.order) {
    case admission_order::priority:
        request.rank =
            request.is_underserved ? shares_.most_urgent(request.priority) : request.priority;
        break;
    case admission_order::value:
        request.rank = -request.value;
        break;
    case admission_order::latest_start:
        request.order_time -= request.work_time;
        break;
    }
}

auto admission_scheduler::work_ahead(const wait_queue& queue,
                                     const admission_request& request) const -> duration
{
    // The queue is sorted.
    auto place = std::ranges::upper_bound(queue, request, is_sent_before);
    auto out = duration::zero();
    for (auto it = queue.begin(); it != place; ++it) {
        if (shares_servers(request, *it)) {
            out += it->work_time;
        }
    }
    return out;
}

auto admission_scheduler::expected_wait(const admission_request& request, time_point now) const
    -> duration
{
    if (follows_owner(request)) {
        if (!request.owner) {
            return unowned_wait(request, now);
        }
        auto it = servers_.find(*request.owner);
        if (it == servers_.end()) {
            return duration::zero();
        }
        const auto* queue = find_queue(request);
        auto ahead = queue != nullptr ? work_ahead(*queue, request) : duration::zero();
        auto slots = std::max(1U, it->second.info.slots);
        double busy = std::max(0.0, static_cast<double>(it->second.in_flight) - slots + 1) * 0.5;
        auto slot_wait = from_ms(
            (to_ms(ahead) + to_ms(expected_time(it->second, request.work, now)) * busy) / slots);
        return std::max(slot_wait, owner_limit_wait(request, now));
    }
    if (usable_capacity_ <= 0) {
        return duration::zero();
    }
    auto ahead = work_ahead(shared_queue_, request);
    if (ahead == duration::zero() && has_ready_limited_server(now)) {
        return duration::zero();
    }
    return from_ms((to_ms(ahead) + 0.5 * to_ms(expected_work(request.work))) / usable_capacity_);
}

auto admission_scheduler::unowned_wait(const admission_request& request, time_point now) const
    -> duration
{
    auto until_owned = std::max(duration::zero(), request.owner_available_at - now);
    return until_owned + from_ms(to_ms(work_ahead(unowned_queue_, request)) / mean_slots_);
}

auto admission_scheduler::shortage_cause(const admission_request& request) const -> refusal_cause
{
    if (follows_owner(request) && !request.owner) {
        return refusal_cause::no_owner;
    }
    return are_all_servers_limited(request) ? refusal_cause::rate_limit : refusal_cause::overload;
}

auto admission_scheduler::find_refusal(const admission_request& request, time_point now) const
    -> std::optional<refusal>
{
    auto work = estimate(request, now);
    if (now + work / 2 >= request.deadline) {
        return refusal{request, refusal_cause::expired, work};
    }
    if (!follows_owner(request)) {
        return std::nullopt;
    }
    if (!request.owner) {
        auto available_at = request.owner_available_at;
        if (available_at + work > request.deadline) {
            return refusal{request, refusal_cause::no_owner, available_at - now};
        }
        return std::nullopt;
    }
    auto usable_at = owner_usable_at(*request.owner, request, now);
    auto hold_off = held_off_.find({request.source, *request.owner});
    // Only this source has to wait. A retry of the caller may reach another instance.
    bool only_source_held_off = hold_off != held_off_.end() && now < hold_off->second &&
                                !holds_off_other_sources(request.source, *request.owner, now);
    if (only_source_held_off && usable_at + work > request.objective) {
        return refusal{request, refusal_cause::no_server, duration::zero()};
    }
    if (usable_at + work > request.deadline) {
        return refusal{request, refusal_cause::no_server, usable_at - now};
    }
    return std::nullopt;
}

auto admission_scheduler::has_server_for(const admission_request& request, time_point now) const
    -> bool
{
    return std::ranges::any_of(servers_, [&](const auto& it) {
        return it.second.info.is_usable && !is_avoided(it.second, now) &&
               !is_blocked(request.source, it.first, now) &&
               std::ranges::find(request.excluded, it.first) == request.excluded.end();
    });
}

auto admission_scheduler::find_refusal_on_arrival(admission_request& request,
                                                  std::vector<refusal>& displaced, time_point now)
    -> std::optional<refusal>
{
    if (auto out = find_refusal(request, now)) {
        return out;
    }
    if (!follows_owner(request) && !has_server_for(request, now)) {
        return refusal{request, refusal_cause::no_server, milliseconds{500}};
    }
    auto work = estimate(request, now);
    auto wait = expected_wait(request, now);
    request.is_expected_late = now + wait + work > request.objective;
    bool is_short = now + wait + work > request.deadline ||
                    (request.is_expected_late && remaining_late_capacity(request) == 0);
    if (make_room(request, is_short, displaced, now)) {
        return std::nullopt;
    }
    refusal out{request, shortage_cause(request), wait};
    if (const auto* queue = find_queue(request); queue != nullptr && !queue->empty()) {
        out.favoured_value = std::ranges::min_element(*queue, {}, &admission_request::value)->value;
    }
    return out;
}

auto admission_scheduler::queue_rate::delay_of(const admission_request& request) const -> duration
{
    return slots > 0 ? std::max(interval, from_ms(to_ms(request.work_time) / slots))
                     : duration::zero();
}

auto admission_scheduler::valued(const admission_request& request, const queue_rate& rate)
    -> valued_request
{
    valued_request out;
    out.value = request.value;
    out.work = request.work_time;
    out.delay = rate.delay_of(request);
    out.objective = request.objective;
    out.deadline = request.deadline;
    out.is_late = request.is_late || request.is_expected_late;
    return out;
}

auto admission_scheduler::rate_of(const admission_request& request) const -> queue_rate
{
    if (!follows_owner(request)) {
        return {usable_capacity_, duration::zero()};
    }
    auto it = request.owner ? servers_.find(*request.owner) : servers_.end();
    if (it == servers_.end()) {
        return {mean_slots_, duration::zero()};
    }
    queue_rate out{static_cast<double>(std::max(1U, it->second.info.slots)), duration::zero()};
    if (auto limit = it->second.rate_limit.status()) {
        out.interval = from_ms(1000.0 / usable_rate(*limit).per_second);
    }
    return out;
}

auto admission_scheduler::delays_others(const admission_request& request, const wait_queue& queue,
                                        wait_queue::const_iterator place, time_point now) const
    -> bool
{
    auto rate = rate_of(request);
    auto wait = expected_wait(request, now) + rate.delay_of(request);
    return std::any_of(place, queue.end(), [&](const auto& it) {
        if (!shares_servers(request, it)) {
            return false;
        }
        bool is_endangered = value_.is_endangered(valued(it, rate), wait, now);
        wait += rate.delay_of(it);
        return is_endangered;
    });
}

auto admission_scheduler::valuation_of(const admission_request& request) const
    -> admission_valuation
{
    admission_valuation out;
    out.value = request.value;
    out.level = shares_.level(request.priority);
    out.is_returning = request.is_returning;
    return out;
}

auto admission_scheduler::room_for(const admission_request& request, time_point now) const
    -> queue_room
{
    queue_room out;
    out.max_late = late_capacity(request);
    if (!follows_owner(request)) {
        out.wait = usable_capacity_ > 0 ? from_ms(0.5 * to_ms(request.work_time) / usable_capacity_)
                                        : duration::zero();
        return out;
    }
    if (!request.owner) {
        out.wait = std::max(duration::zero(), request.owner_available_at - now);
        return out;
    }
    if (auto it = servers_.find(*request.owner); it != servers_.end()) {
        auto slots = std::max(1U, it->second.info.slots);
        double busy = std::max(0.0, static_cast<double>(it->second.in_flight) - slots + 1) * 0.5;
        out.wait = std::max(from_ms(to_ms(request.work_time) * busy / slots),
                            rate_limit_wait(it->second, 0, now));
    }
    return out;
}

auto admission_scheduler::shares_servers(const admission_request& left,
                                         const admission_request& right) const -> bool
{
    bool is_unowned = follows_owner(left) && !left.owner;
    return !is_unowned || left.first_key_of_range == right.first_key_of_range;
}

auto admission_scheduler::make_room(const admission_request& request, bool is_short,
                                    std::vector<refusal>& displaced, time_point now) -> bool
{
    const auto* found = find_queue(request);
    if (!value_.settings().displaces || found == nullptr || found->empty()) {
        return !is_short;
    }
    auto& queue = queue_for(request);
    auto place = std::ranges::upper_bound(queue, request, is_sent_before);
    if (!is_short && (place == queue.end() || !delays_others(request, queue, place, now))) {
        return true;
    }
    // Most requests of a burst are of similar value, and then the new one is refused.
    if (is_short && std::ranges::none_of(queue, [&](const auto& it) {
            return value_.is_worth_more(request.value, it.value);
        })) {
        return false;
    }
    auto rate = rate_of(request);
    std::vector<valued_request> all;
    std::vector<std::size_t> indexes;
    all.reserve(queue.size() + 1);
    indexes.reserve(queue.size() + 1);
    const auto index_of_request = queue.size();
    auto add_request = [&] {
        all.push_back(valued(request, rate));
        all.back().is_arriving = true;
        indexes.push_back(index_of_request);
    };
    for (auto it = queue.begin(); it != queue.end(); ++it) {
        if (it == place) {
            add_request();
        }
        if (shares_servers(request, *it)) {
            all.push_back(valued(*it, rate));
            indexes.push_back(static_cast<std::size_t>(it - queue.begin()));
        }
    }
    if (place == queue.end()) {
        add_request();
    }
    auto refused = value_.find_displaced(all, room_for(request, now), now);
    bool is_request_refused = std::ranges::any_of(
        refused, [&](const auto& it) { return indexes[it.index] == index_of_request; });
    if (is_short && (is_request_refused || refused.empty())) {
        return false;
    }
    std::ranges::sort(refused, std::ranges::greater{}, &displaced_request::index);
    for (const auto& it : refused) {
        auto index = indexes[it.index];
        if (index == index_of_request) {
            continue;
        }
        auto cause = shortage_cause(queue[index]);
        double favoured = it.favoured_value > 0 ? it.favoured_value : request.value;
        displaced.push_back({std::move(queue[index]), cause, duration::zero(), favoured, true});
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return true;
}

auto admission_scheduler::late_capacity(const admission_request& request) const -> std::size_t
{
    double slots = usable_capacity_;
    if (follows_owner(request)) {
        slots = mean_slots_;
        if (request.owner) {
            auto it = servers_.find(*request.owner);
            slots = it != servers_.end() ? it->second.info.slots : 1;
        }
    }
    return static_cast<std::size_t>(std::max(1.0, slots)) * max_late_per_slot;
}

auto admission_scheduler::remaining_late_capacity(const admission_request& request) const
    -> std::size_t
{
    const auto* queue = find_queue(request);
    std::size_t late = 0;
    if (queue != nullptr) {
        late = static_cast<std::size_t>(std::ranges::count_if(*queue, [&](const auto& it) {
            return (it.is_late || it.is_expected_late) && shares_servers(request, it);
        }));
    }
    auto max_late = late_capacity(request);
    return max_late > late ? max_late - late : 0;
}

auto admission_scheduler::least_valuable_late(const wait_queue& queue, std::size_t index) const
    -> std::size_t
{
    auto out = index;
    if (!value_.settings().displaces) {
        return out;
    }
    for (std::size_t n = 0; n < queue.size(); ++n) {
        const auto& it = queue[n];
        if ((it.is_late || it.is_expected_late) && shares_servers(queue[index], it) &&
            value_.is_worth_more(queue[out].value, it.value)) {
            out = n;
        }
    }
    return out;
}

auto admission_scheduler::invite(const refusal& it, duration expected_wait, time_point now)
    -> return_schedule::invitation
{
    const auto& request = it.request;
    if (it.cause != refusal_cause::overload || !settings_.value.books_returns) {
        // Randomized, so that refused callers do not all retry at the same time.
        auto wait = it.cause == refusal_cause::overload ? expected_wait / 2 : it.retry_after;
        double ms = std::clamp(to_ms(wait), min_retry_after_ms, max_retry_after_ms);
        return {from_ms(ms * (0.75 + 0.5 * uniform_real(random_))), false};
    }
    // Spread over the time in which the backlog clears.
    auto wait = from_ms(to_ms(expected_wait) * (0.5 + 0.5 * uniform_real(random_)));
    return returns_.invite({request.owner, request.priority, request.work.value(), request.deadline,
                            request.order_time},
                           wait, rate_of(request).delay_of(request), now);
}

auto admission_scheduler::refuse(const refusal& it, time_point now) -> void
{
    const auto& request = it.request;
    const auto* queue = find_queue(request);
    admission_decision decision;
    decision.source = request.source;
    decision.id = request.id;
    decision.cause = it.cause;
    decision.queue_time = now - request.received;
    decision.queue_length = queue != nullptr ? static_cast<std::uint32_t>(queue->size()) : 0;
    decision.expected_wait = expected_wait(request, now);
    auto invitation = invite(it, decision.expected_wait, now);
    decision.retry_after = invitation.retry_after;
    if (request.owner) {
        decision.rate_limit = rate_limit(*request.owner, now);
    }
    decision.valuation = valuation_of(request);
    decision.valuation.favoured_value = it.favoured_value;
    decision.valuation.is_displaced = it.is_displaced;
    decision.valuation.has_place = invitation.has_place;
    bool is_short = it.cause == refusal_cause::overload || it.cause == refusal_cause::rate_limit ||
                    it.cause == refusal_cause::expired;
    // A caller with a place is expected to be served when it returns.
    if (is_short && !invitation.has_place) {
        shares_.on_refused(request.priority, request.work.value(), now);
    }
    on_decision_(decision);
}

} // namespace cornelswitch
