#include "ownership/range_authority.h"

#include "ownership/leased_range.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cornelswitch {

namespace {

/// Adjacent ranges of one owner are merged when there are more ranges than this per server.
constexpr std::size_t max_ranges_per_server = 6;
/// A server clock that runs 2% slow extends a lease by its duration divided by this.
constexpr int slow_clock_divisor = 50;
/// A release that takes longer than the mean is expected to take the elapsed time divided by this
/// more.
constexpr int elapsed_per_rest = 2;

} // namespace

auto to_string(range_phase phase) -> std::string_view
{
    switch (phase) {
    case range_phase::held:
        return "held";
    case range_phase::recording:
        return "recording";
    case range_phase::granting:
        return "granting";
    case range_phase::releasing:
        return "releasing";
    case range_phase::waiting:
        return "waiting";
    case range_phase::unowned:
        return "unowned";
    }
    return "unknown";
}

range_authority::range_authority(range_lease_settings settings, const clock& time, hooks call_hooks)
    : settings_{settings}, time_{time}, hooks_{std::move(call_hooks)}
{
}

range_authority::~range_authority()
{
    *alive_ = false;
}

auto range_authority::allocate_token() -> fencing_token
{
    auto out = next_token_;
    next_token_ = fencing_token{next_token_.value() + 1};
    return out;
}

auto range_authority::expiry_of(time_point last_possible_grant) const -> time_point
{
    return last_possible_grant + settings_.lease + settings_.lease / slow_clock_divisor +
           settings_.expiry_margin;
}

auto range_authority::expected_release(const range& it, time_point now) const -> time_point
{
    if (it.is_release_failing) {
        return std::max(now, it.release_expires_at);
    }
    // The longer the requests on the keys have taken, the longer they are likely to take further.
    auto elapsed = now - it.release_started_at;
    auto expected =
        std::max(it.release_started_at + mean_release_time_, now + elapsed / elapsed_per_rest);
    return std::clamp(expected, now, std::max(now, it.release_expires_at));
}

auto range_authority::may_plan(time_point now) const -> bool
{
    bool is_record_late =
        record_wanted_at_ != time_point{} && now >= record_wanted_at_ + settings_.max_record_time;
    return !stopped_ && !is_suspended_ && !is_record_late &&
           now < role_confirmed_at_ + settings_.max_unconfirmed_plans && has_tokens();
}

auto range_authority::is_quiet(const range& it, time_point now) const -> bool
{
    return it.call_id == 0 &&
           (now >= it.ignored_call_ends_at || !ignored_calls_.contains(it.ignored_call_id));
}

auto range_authority::is_recorded(const range& it) const -> bool
{
    return it.required_revision <= recorded_revision_;
}

auto range_authority::require_record(range& it) -> void
{
    it.required_revision = ++revision_;
}

auto range_authority::set_phase(range& it, range_phase phase, std::string_view event) -> void
{
    it.phase = phase;
    ++revision_;
    if (hooks_.report) {
        hooks_.report(event, {it.keys, phase, it.owner, it.free_at}, it.token, it.previous);
    }
}

auto range_authority::set_servers(const std::vector<server_process>& servers, time_point now)
    -> void
{
    std::map<server_id, std::int64_t> next;
    for (const auto& it : servers) {
        next.emplace(it.id, it.incarnation);
    }
    servers_ = std::move(next);
    for (auto& [first, it] : ranges_) {
        bool is_holder = it.phase != range_phase::releasing && it.phase != range_phase::unowned;
        auto known = is_holder ? servers_.find(it.owner) : servers_.end();
        if (known != servers_.end() && known->second != it.incarnation) {
            on_owner_restarted(it, known->second, now);
        }
    }
}

auto range_authority::on_owner_restarted(range& it, std::int64_t incarnation, time_point now)
    -> void
{
    // The new process may have accepted a grant that was sent before the restart was known, so it
    // keeps the keys; a higher token distinguishes its lease from that of the old process.
    it.incarnation = incarnation;
    it.last_confirmed_grant = {};
    it.needs_new_token = true;
    if (it.phase != range_phase::recording) {
        it.next_action = now;
        set_phase(it, range_phase::granting, "owner-restarted");
    }
}

auto range_authority::on_server_ended(const server_id& server, std::int64_t incarnation,
                                      time_point now) -> void
{
    for (auto& [first, it] : ranges_) {
        if (it.owner != server || it.incarnation != incarnation) {
            continue;
        }
        // An earlier coordinator may have granted the range to a later process, at an address that
        // is not known here yet.
        bool is_free = is_sole(now) && it.granted_incarnation == incarnation;
        if (it.phase == range_phase::releasing) {
            it.is_released = it.is_released || is_free;
            it.next_action = now;
            continue;
        }
        bool is_holder = it.phase == range_phase::held || it.phase == range_phase::granting ||
                         it.phase == range_phase::recording;
        if (!is_holder) {
            continue;
        }
        if (is_free) {
            clear_owner(it, "owner-ended");
            continue;
        }
        discard_call(it);
        it.free_at = expiry_of(std::max(it.last_grant, earlier_end_));
        set_phase(it, range_phase::waiting, "owner-ended");
    }
}

auto range_authority::on_connection_lost(const server_id& server) -> void
{
    for (auto& [first, it] : ranges_) {
        if (it.owner == server && it.is_granted) {
            it.needs_new_token = true;
        }
    }
}

auto range_authority::on_not_held(const server_id& server, std::uint16_t key, time_point now)
    -> void
{
    auto it = ranges_.upper_bound(key);
    if (it == ranges_.begin()) {
        return;
    }
    auto& found = std::prev(it)->second;
    if (found.owner == server && found.phase == range_phase::held && found.call_id == 0) {
        found.next_action = now;
    }
}

auto range_authority::confirm(time_point at) -> void
{
    if (!is_suspended_) {
        role_confirmed_at_ = std::max(role_confirmed_at_, at);
    }
}

auto range_authority::split(std::uint16_t first) -> void
{
    auto it = ranges_.upper_bound(first);
    if (it == ranges_.begin()) {
        return;
    }
    auto& left = std::prev(it)->second;
    if (left.keys.first == first || !left.keys.contains(first)) {
        return;
    }
    if (left.call_id != 0) {
        // A renewal in flight covers the whole range and may arrive until the call is aborted. Its
        // outcome does not apply to a single part, since a release of the other part may overtake
        // it.
        left.last_grant = std::max(left.last_grant, time_.now() + settings_.call_timeout);
        ignore_call(left);
        left.next_action = time_.now();
    }
    range right = left;
    right.next_action = time_.now();
    right.keys.first = first;
    left.keys.last = static_cast<std::uint16_t>(first - 1);
    ranges_.emplace(first, std::move(right));
    ++revision_;
}

auto range_authority::move(key_range keys, const server_id& target, time_point now) -> void
{
    if (!may_plan(now) || !servers_.contains(target)) {
        return;
    }
    auto is_movable = [&](const range& it) {
        switch (it.phase) {
        case range_phase::unowned:
            // A target that waits for its record stays, or no record would ever catch up.
            return !it.target || !servers_.contains(*it.target);
        case range_phase::waiting:
            return !it.is_owner_unknown;
        case range_phase::held:
            return is_sole(now) && it.owner != target;
        case range_phase::granting:
            // A server that left and never confirmed its lease must not keep the keys indefinitely.
            return is_sole(now) && !servers_.contains(it.owner);
        case range_phase::recording:
        case range_phase::releasing:
            break;
        }
        return false;
    };
    split(keys.first);
    if (keys.last < numeric_keys - 1) {
        split(static_cast<std::uint16_t>(keys.last + 1));
    }
    for (auto it = ranges_.lower_bound(keys.first);
         it != ranges_.end() && it->second.keys.last <= keys.last; ++it) {
        auto& found = it->second;
        if (!is_movable(found)) {
            continue;
        }
        found.target = target;
        found.is_target_granted = false;
        found.next_action = now;
        if (found.phase == range_phase::held || found.phase == range_phase::granting) {
            set_phase(found, range_phase::recording, "move");
        }
        if (found.phase != range_phase::waiting) {
            require_record(found);
        }
    }
}

auto range_authority::clear_owner(range& it, std::string_view event) -> void
{
    it.previous = std::exchange(it.owner, {});
    discard_call(it);
    it.is_granted = false;
    it.granted_incarnation.reset();
    it.handover.clear();
    set_phase(it, range_phase::unowned, event);
    if (it.target) {
        require_record(it);
    }
}

auto range_authority::on_recorded(std::uint64_t revision, time_point now) -> void
{
    recorded_revision_ = std::max(recorded_revision_, revision);
    tick(now);
}

auto range_authority::needs_record() const -> bool
{
    return std::ranges::any_of(ranges_, [&](const auto& it) { return !is_recorded(it.second); });
}

auto range_authority::knows_all_holders() const -> bool
{
    return std::ranges::none_of(ranges_, [](const auto& it) { return it.second.is_owner_unknown; });
}

auto range_authority::advance_range(range& it, time_point now) -> void
{
    if (it.call_id != 0 && now >= it.call_started_at + settings_.max_call_duration) {
        // The call was lost together with its connection.
        discard_call(it);
        it.last_grant = std::max(it.last_grant, now);
    }
    bool is_renewal = it.phase == range_phase::held || it.phase == range_phase::granting;
    if (is_suspended_ && !(is_renewal && it.is_granted)) {
        return;
    }
    switch (it.phase) {
    case range_phase::held:
    case range_phase::granting:
        advance_held(it, now);
        return;
    case range_phase::recording:
        advance_recording(it, now);
        return;
    case range_phase::releasing:
        advance_releasing(it, now);
        return;
    case range_phase::waiting:
        if (now >= it.free_at) {
            it.is_owner_unknown = false;
            clear_owner(it, "lapsed");
        }
        return;
    case range_phase::unowned:
        advance_unowned(it, now);
        return;
    }
}

auto range_authority::advance_held(range& it, time_point now) -> void
{
    if (it.call_id != 0 || now < it.next_action) {
        return;
    }
    if (now >= expiry_of(it.last_grant) && it.is_granted) {
        clear_owner(it, "lease-lapsed");
        return;
    }
    // Leases of a server that has left service discovery are not renewed; the planner moves its
    // ranges.
    if (servers_.contains(it.owner) && may_grant(it)) {
        start_grant(it, now);
    }
}

auto range_authority::advance_recording(range& it, time_point now) -> void
{
    if (!servers_.contains(*it.target)) {
        // The record may name the target already, and a successor may complete the move: the owner
        // gets its lease back only when the record names it alone.
        it.target.reset();
        set_phase(it, range_phase::granting, "move-dropped");
        require_record(it);
        return;
    }
    if (it.is_granted && now >= expiry_of(it.last_grant) && it.call_id == 0) {
        clear_owner(it, "lease-lapsed");
        return;
    }
    if (!is_recorded(it) || !is_quiet(it, now)) {
        return;
    }
    it.next_action = now;
    it.previous = it.owner;
    it.release_expires_at = expiry_of(it.last_grant);
    it.release_token = allocate_token();
    it.is_released = false;
    it.release_started_at = now;
    it.is_release_failing = false;
    it.handover.clear();
    set_phase(it, range_phase::releasing, "recorded");
    advance_releasing(it, now);
}

auto range_authority::advance_releasing(range& it, time_point now) -> void
{
    bool is_expired = now >= it.release_expires_at;
    if (!it.is_released && !is_expired) {
        if (it.call_id == 0 && now >= it.next_action) {
            start_release(it, now);
        }
        return;
    }
    discard_call(it);
    if (!it.is_target_granted && !servers_.contains(*it.target)) {
        it.target.reset();
        clear_owner(it, "released-without-target");
        return;
    }
    grant_to_target(it, it.is_released ? "released" : "release-unanswered", now);
}

auto range_authority::advance_unowned(range& it, time_point now) -> void
{
    if (it.target && !servers_.contains(*it.target)) {
        it.target.reset();
        ++revision_;
    }
    if (it.target && may_grant(it)) {
        grant_to_target(it, "assigned", now);
    }
}

auto range_authority::grant_to_target(range& it, std::string_view event, time_point now) -> void
{
    it.owner = *std::exchange(it.target, std::nullopt);
    auto known = servers_.find(it.owner);
    it.incarnation = known == servers_.end() ? 0 : known->second;
    it.needs_new_token = true;
    it.last_confirmed_grant = {};
    it.granted_incarnation.reset();
    // A predecessor that began the move may renew the lease of the target until its end.
    it.last_grant = it.is_target_granted ? std::max(now, earlier_end_) : now;
    it.is_granted = std::exchange(it.is_target_granted, false);
    it.next_action = now;
    set_phase(it, range_phase::granting, event);
    advance_held(it, now);
}

auto range_authority::merge(time_point now) -> void
{
    if (ranges_.size() <= max_ranges_per_server * std::max<std::size_t>(1, servers_.size())) {
        return;
    }
    for (auto it = ranges_.begin(); it != ranges_.end();) {
        auto next = std::next(it);
        if (next == ranges_.end()) {
            return;
        }
        auto& left = it->second;
        auto& right = next->second;
        bool can_merge = left.phase == range_phase::held && right.phase == range_phase::held &&
                         left.owner == right.owner && left.incarnation == right.incarnation &&
                         is_quiet(left, now) && is_quiet(right, now);
        if (!can_merge) {
            ++it;
            continue;
        }
        // The merged lease needs a higher token than both leases that it replaces.
        left.keys.last = right.keys.last;
        left.last_grant = std::max(left.last_grant, right.last_grant);
        left.last_confirmed_grant = std::min(left.last_confirmed_grant, right.last_confirmed_grant);
        left.refused_at = std::max(left.refused_at, right.refused_at);
        left.needs_new_token = true;
        left.next_action = now;
        ranges_.erase(next);
        ++revision_;
    }
}

auto range_authority::tick(time_point now) -> void
{
    if (stopped_) {
        return;
    }
    merge(now);
    for (auto& [first, it] : ranges_) {
        advance_range(it, now);
    }
    if (!needs_record()) {
        record_wanted_at_ = {};
    } else if (record_wanted_at_ == time_point{}) {
        record_wanted_at_ = now;
    }
}

auto range_authority::stop() -> void
{
    stopped_ = true;
}

auto range_authority::find(std::uint16_t key, time_point now) const -> range_status
{
    auto it = ranges_.upper_bound(key);
    if (it == ranges_.begin()) {
        return {{key, key}, range_phase::unowned, std::nullopt, now + settings_.lease};
    }
    const auto& found = std::prev(it)->second;
    range_status out{found.keys, found.phase, std::nullopt, now + settings_.retry_delay};
    // Without a recent confirmation the lease may have expired at the server.
    bool is_confirmed = now < found.last_confirmed_grant + settings_.lease;
    switch (found.phase) {
    case range_phase::held:
    case range_phase::recording:
        if (is_confirmed) {
            out.owner = found.owner;
        } else if (found.is_granted) {
            // The owner does not answer; its keys are free when its last lease has expired.
            out.free_at = std::max(out.free_at, expiry_of(found.last_grant));
        }
        break;
    case range_phase::granting:
        // An adopted owner most likely still holds the range; if it does not, it rejects the
        // request.
        if (servers_.contains(found.owner) && (found.is_adopted || is_confirmed)) {
            out.owner = found.owner;
        }
        break;
    case range_phase::releasing:
        out.free_at = expected_release(found, now);
        break;
    case range_phase::waiting:
        out.free_at = found.free_at;
        break;
    case range_phase::unowned:
        break;
    }
    return out;
}

auto range_authority::statuses() const -> std::vector<range_status>
{
    std::vector<range_status> out;
    out.reserve(ranges_.size());
    for (const auto& [first, it] : ranges_) {
        range_status status{it.keys, it.phase, std::nullopt, it.free_at};
        if (it.target) {
            status.owner = it.target;
        } else if (!it.owner.value().empty() && it.phase != range_phase::waiting) {
            status.owner = it.owner;
        }
        out.push_back(std::move(status));
    }
    return out;
}

auto range_authority::certain_ranges() const -> std::vector<recorded_range>
{
    std::vector<recorded_range> out;
    for (const auto& [first, it] : ranges_) {
        bool is_holder = it.phase == range_phase::held || it.phase == range_phase::granting;
        if (is_holder && !it.target && is_recorded(it)) {
            out.push_back({it.keys, it.owner, it.incarnation, it.token, std::nullopt});
        }
    }
    return out;
}

auto range_authority::ranges_to_record() const -> std::vector<recorded_range>
{
    std::vector<recorded_range> out;
    for (const auto& [first, it] : ranges_) {
        bool has_owner = !it.owner.value().empty();
        bool is_moving = it.phase == range_phase::recording || it.phase == range_phase::releasing;
        if (has_owner) {
            out.push_back({it.keys, it.owner, it.incarnation, it.token,
                           is_moving ? it.target : std::nullopt});
        } else if (it.phase == range_phase::unowned && it.target) {
            auto known = servers_.find(*it.target);
            out.push_back({it.keys, *it.target, known == servers_.end() ? 0 : known->second,
                           it.token, std::nullopt});
        }
    }
    return out;
}

} // namespace cornelswitch
