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

} // namespace

auto to_string(range_phase phase) -> std::string_view
{
    switch (phase) {
    case range_phase::held:
        return "held";
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

auto range_authority::may_move(time_point now) const -> bool
{
    return !stopped_ && now >= earlier_last_move_ &&
           now < role_confirmed_at_ + settings_.max_unconfirmed_moves && has_tokens();
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
        bool is_holder = it.phase == range_phase::held || it.phase == range_phase::granting;
        auto known = is_holder ? servers_.find(it.owner) : servers_.end();
        if (known != servers_.end() && known->second != it.incarnation) {
            on_owner_restarted(it, known->second, now);
        }
    }
}

auto range_authority::on_owner_restarted(range& it, std::int64_t incarnation, time_point now)
    -> void
{
    if (it.is_adopted || now < it.uncertain_until) {
        // A predecessor may have moved the range, so its holder is unknown.
        auto last_arrival = it.call_id != 0 ? now + settings_.call_timeout : it.last_grant;
        it.last_grant = std::max(it.last_grant, last_arrival);
        clear_owner(it, now, "owner-restarted");
        return;
    }
    // The new process may have accepted a grant that was sent before the restart was known, so it
    // keeps the keys; a higher token distinguishes its lease from that of the old process.
    it.incarnation = incarnation;
    it.last_confirmed_grant = {};
    it.needs_new_token = true;
    it.next_action = now;
    set_phase(it, range_phase::granting, "owner-restarted");
}

auto range_authority::on_server_ended(const server_id& server, std::int64_t incarnation,
                                      time_point now) -> void
{
    for (auto& [first, it] : ranges_) {
        if (it.phase == range_phase::releasing && it.previous == server &&
            it.incarnation == incarnation) {
            it.is_released = true;
            it.previous_expires_at = now;
            it.next_action = now;
        }
        bool is_holder = it.owner == server && it.incarnation == incarnation &&
                         (it.phase == range_phase::held || it.phase == range_phase::granting);
        if (!is_holder) {
            continue;
        }
        // If a predecessor may have moved the range, another server may hold it.
        it.free_at = std::max(now, it.uncertain_until);
        discard_call(it);
        it.handover.clear();
        it.is_granted = false;
        set_phase(it, it.free_at > now ? range_phase::waiting : range_phase::unowned,
                  "owner-ended");
        it.owner = {};
    }
}

auto range_authority::on_connection_lost(const server_id& server) -> void
{
    for (auto& [first, it] : ranges_) {
        if (it.owner == server && it.is_granted && !it.is_adopted) {
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
    role_confirmed_at_ = std::max(role_confirmed_at_, at);
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
    range right = left;
    right.next_action = time_.now();
    right.keys.first = first;
    left.keys.last = static_cast<std::uint16_t>(first - 1);
    if (right.call_id != 0) {
        // A renewal in flight covers the whole range and may arrive until the call is aborted.
        right.last_grant = std::max(right.last_grant, time_.now() + settings_.call_timeout);
        left.last_grant = right.last_grant;
        // Its answer does not apply to a single part, since a release of the other part may have
        // overtaken it.
        discard_call(left);
        left.next_action = right.next_action;
    }
    right.call_id = 0;
    ranges_.emplace(first, std::move(right));
    ++revision_;
}

auto range_authority::move(key_range keys, const server_id& target, time_point now) -> void
{
    if (!may_move(now) || !servers_.contains(target)) {
        return;
    }
    auto is_movable = [&](const range& it) {
        bool is_stable = it.phase == range_phase::held || it.phase == range_phase::unowned ||
                         it.phase == range_phase::waiting;
        // A server that left and never confirmed its lease must not keep the keys indefinitely.
        bool is_stuck = it.phase == range_phase::granting && !servers_.contains(it.owner);
        return (is_stable || is_stuck) && !(it.phase == range_phase::held && it.owner == target);
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
        if (found.phase == range_phase::unowned || found.phase == range_phase::waiting) {
            found.target = target;
            found.next_action = now;
            advance_range(found, now);
            continue;
        }
        found.previous = found.owner;
        // A renewal in flight may arrive until its connection is reset.
        auto last_arrival = found.call_id != 0 ? now + settings_.call_timeout : found.last_grant;
        found.previous_expires_at = expiry_of(std::max(found.last_grant, last_arrival));
        found.release_token = allocate_token();
        found.is_released = false;
        found.handover.clear();
        discard_call(found);
        found.target = target;
        found.next_action = now;
        set_phase(found, range_phase::releasing, "move");
        advance_range(found, now);
    }
}

auto range_authority::register_call(range& it, time_point now) -> std::uint64_t
{
    it.call_id = ++last_call_id_;
    it.call_started_at = now;
    calls_in_flight_[it.call_id] = it.keys.first;
    return it.call_id;
}

auto range_authority::discard_call(range& it) -> void
{
    calls_in_flight_.erase(it.call_id);
    it.call_id = 0;
}

auto range_authority::find_call(std::uint64_t call_id) -> range*
{
    // The first key of a range does not change while a call is in flight.
    auto node = calls_in_flight_.extract(call_id);
    auto it = node.empty() ? ranges_.end() : ranges_.find(node.mapped());
    return it != ranges_.end() && it->second.call_id == call_id ? &it->second : nullptr;
}

auto range_authority::start_grant(range& it, time_point now) -> void
{
    if (it.needs_new_token) {
        if (!has_tokens()) {
            return;
        }
        it.token = allocate_token();
        it.needs_new_token = false;
        ++revision_;
    }
    auto call_id = register_call(it, now);
    it.is_granted = true;
    it.last_grant_before_call = it.last_grant;
    it.last_grant = std::max(it.last_grant, now);
    hooks_.grant(it.owner, it.keys, it.token, settings_.lease, it.handover,
                 [this, call_id, alive = alive_](result<void> outcome) {
                     if (*alive) {
                         finish_grant(call_id, outcome);
                     }
                 });
}

auto range_authority::finish_grant(std::uint64_t call_id, const result<void>& outcome) -> void
{
    auto* it = find_call(call_id);
    if (it == nullptr || stopped_) {
        return;
    }
    auto now = time_.now();
    it->call_id = 0;
    if (outcome.has_value()) {
        it->next_action = it->call_started_at + settings_.renewal;
        // Until its last possible move, a predecessor may still move the range away. Repeating the
        // recorded token detects this, because the owner then refuses it.
        bool is_owner_certain = !it->is_adopted || it->call_started_at >= earlier_last_move_;
        if (is_owner_certain) {
            it->is_adopted = false;
            it->uncertain_until = {};
        }
        it->last_confirmed_grant = it->call_started_at;
        it->last_grant = std::max(it->last_grant, now);
        it->handover.clear();
        if (it->phase == range_phase::granting) {
            set_phase(*it, range_phase::held, "granted");
        }
        return;
    }
    it->next_action = now + settings_.retry_delay;
    if (outcome.error().code == error_code::not_found) {
        // Another server uses the address, so the owner's process has ended. The owner is copied
        // because `on_server_ended` clears it.
        auto ended = it->owner;
        on_server_ended(ended, it->incarnation, now);
        return;
    }
    if (outcome.error().code == error_code::connection_refused) {
        // Nothing was sent, so the call did not extend the lease.
        it->last_grant = it->last_grant_before_call;
    } else {
        // A call without an answer may have reached the server at any time until now.
        it->last_grant = std::max(it->last_grant, now);
    }
    if (outcome.error().code != error_code::conflict) {
        it->needs_new_token = it->needs_new_token || !it->is_adopted;
        return;
    }
    if (it->is_adopted || now < expiry_of(earlier_end_)) {
        // The predecessor moved the range without recording the move, so the owner is unknown.
        it->free_at = expiry_of(std::max(earlier_end_, it->last_grant));
        it->uncertain_until = expiry_of(earlier_end_);
        it->is_owner_unknown = true;
        it->is_granted = false;
        set_phase(*it, range_phase::waiting, "adoption-refused");
        it->owner = {};
        return;
    }
    it->needs_new_token = true;
}

auto range_authority::start_release(range& it, time_point now) -> void
{
    auto call_id = register_call(it, now);
    hooks_.release(it.previous, it.keys, it.release_token,
                   [this, call_id, alive = alive_](result<std::string> outcome) {
                       if (*alive) {
                           finish_release(call_id, outcome);
                       }
                   });
}

auto range_authority::finish_release(std::uint64_t call_id, const result<std::string>& outcome)
    -> void
{
    auto* it = find_call(call_id);
    if (it == nullptr || stopped_) {
        return;
    }
    auto now = time_.now();
    it->call_id = 0;
    if (outcome.has_error() && outcome.error().code != error_code::not_found) {
        it->next_action = now + settings_.retry_delay;
        return;
    }
    it->handover = outcome.has_value() ? outcome.value() : std::string{};
    it->is_released = true;
    it->previous_expires_at = now;
    it->next_action = now;
    advance_range(*it, now);
}

auto range_authority::clear_owner(range& it, time_point now, std::string_view event) -> void
{
    it.free_at = std::max(expiry_of(it.last_grant), it.uncertain_until);
    it.previous = it.owner;
    discard_call(it);
    it.is_granted = false;
    it.handover.clear();
    set_phase(it, it.free_at > now ? range_phase::waiting : range_phase::unowned, event);
    it.record_before_grant = revision_;
    it.owner = {};
}

auto range_authority::on_recorded(std::uint64_t revision, time_point now) -> void
{
    recorded_revision_ = std::max(recorded_revision_, revision);
    tick(now);
}

auto range_authority::needs_record() const -> bool
{
    return std::ranges::any_of(ranges_, [&](const auto& it) {
        return it.second.record_before_grant > recorded_revision_;
    });
}

auto range_authority::advance_range(range& it, time_point now) -> void
{
    if (it.call_id != 0 && now >= it.call_started_at + settings_.max_call_duration) {
        // The call was lost together with its connection.
        discard_call(it);
        it.last_grant = std::max(it.last_grant, now);
    }
    if (it.call_id != 0 || now < it.next_action) {
        if (it.phase == range_phase::releasing &&
            now >= std::max(it.previous_expires_at, it.uncertain_until)) {
            // The lease has expired, whatever the outcome of the release.
            discard_call(it);
        } else {
            return;
        }
    }
    bool may_renew = now < role_confirmed_at_ + settings_.max_unconfirmed_renewal;
    switch (it.phase) {
    case range_phase::held:
    case range_phase::granting:
        if (now >= std::max(expiry_of(it.last_grant), it.uncertain_until) && it.is_granted) {
            clear_owner(it, now, "lease-lapsed");
            return;
        }
        // Leases of a server that has left service discovery are not renewed; the planner moves its
        // ranges.
        if (!servers_.contains(it.owner)) {
            return;
        }
        if (may_renew) {
            start_grant(it, now);
        }
        return;
    case range_phase::releasing:
        if (now >= std::max(it.previous_expires_at, it.uncertain_until)) {
            auto known = it.target ? servers_.find(*it.target) : servers_.end();
            if (!it.is_released) {
                it.free_at = now;
                it.owner = {};
                set_phase(it, range_phase::unowned, "release-unanswered");
                it.record_before_grant = revision_;
                return;
            }
            if (known == servers_.end() || !may_move(now)) {
                it.free_at = now;
                it.owner = {};
                set_phase(it, range_phase::unowned, "released-without-target");
                return;
            }
            it.owner = known->first;
            it.target.reset();
            it.incarnation = known->second;
            it.token = allocate_token();
            it.needs_new_token = false;
            it.is_adopted = false;
            it.last_confirmed_grant = {};
            it.last_grant = now;
            set_phase(it, range_phase::granting, "released");
            start_grant(it, now);
            return;
        }
        if (now < it.previous_expires_at) {
            start_release(it, now);
        }
        return;
    case range_phase::waiting:
        if (now < it.free_at) {
            return;
        }
        it.is_owner_unknown = false;
        set_phase(it, range_phase::unowned, "lapsed");
        [[fallthrough]];
    case range_phase::unowned:
        if (!it.target || !servers_.contains(*it.target) || !may_move(now) ||
            it.record_before_grant > recorded_revision_) {
            return;
        }
        it.owner = *it.target;
        it.target.reset();
        it.incarnation = servers_.at(it.owner);
        it.token = allocate_token();
        it.needs_new_token = false;
        it.is_adopted = false;
        it.last_confirmed_grant = {};
        it.last_grant = now;
        it.previous = {};
        it.record_before_grant = 0;
        set_phase(it, range_phase::granting, "assigned");
        start_grant(it, now);
        return;
    }
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
                         left.call_id == 0 && right.call_id == 0 && !left.target && !right.target &&
                         !left.is_adopted && !right.is_adopted;
        if (!can_merge) {
            ++it;
            continue;
        }
        // The merged lease needs a higher token than both leases that it replaces.
        left.keys.last = right.keys.last;
        left.last_grant = std::max(left.last_grant, right.last_grant);
        left.last_confirmed_grant = std::min(left.last_confirmed_grant, right.last_confirmed_grant);
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
    switch (found.phase) {
    case range_phase::held:
        // Without a recent confirmation the lease may have expired at the server.
        if (now < found.last_confirmed_grant + settings_.lease) {
            out.owner = found.owner;
        }
        break;
    case range_phase::granting:
        // An adopted owner most likely still holds the range; if it does not, it rejects the
        // request.
        if (servers_.contains(found.owner) &&
            (found.is_adopted || now < found.last_confirmed_grant + settings_.lease)) {
            out.owner = found.owner;
        }
        break;
    case range_phase::releasing:
        out.free_at = std::clamp(found.previous_expires_at, now, now + settings_.call_timeout);
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
        if (it.phase == range_phase::held || it.phase == range_phase::granting) {
            status.owner = it.owner;
        } else if (it.target) {
            status.owner = it.target;
        }
        out.push_back(std::move(status));
    }
    return out;
}

auto range_authority::ranges_to_record() const -> std::vector<recorded_range>
{
    std::vector<recorded_range> out;
    for (const auto& [first, it] : ranges_) {
        if (it.phase == range_phase::held || it.phase == range_phase::granting) {
            out.push_back({it.keys, it.owner, it.incarnation, it.token});
        }
    }
    return out;
}

} // namespace cornelswitch
