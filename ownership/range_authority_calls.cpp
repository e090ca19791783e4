#include "ownership/leased_range.h"
#include "ownership/range_authority.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

/// Weight of one release in the mean release time, as a divisor.
constexpr int release_time_divisor = 10;

} // namespace

auto range_authority::register_call(range& it, time_point now) -> std::uint64_t
{
    it.call_id = ++last_call_id_;
    it.call_started_at = now;
    it.call_incarnation = it.incarnation;
    it.is_adopted = false;
    calls_in_flight_[it.call_id] = it.keys.first;
    return it.call_id;
}

auto range_authority::discard_call(range& it) -> void
{
    calls_in_flight_.erase(it.call_id);
    it.call_id = 0;
}

auto range_authority::ignore_call(range& it) -> void
{
    it.ignored_call_id = it.call_id;
    it.ignored_call_ends_at = it.call_started_at + settings_.call_timeout;
    ignored_calls_.insert(it.call_id);
    discard_call(it);
}

auto range_authority::find_call(std::uint64_t call_id) -> range*
{
    ignored_calls_.erase(call_id);
    // The first key of a range does not change while a call is in flight.
    auto node = calls_in_flight_.extract(call_id);
    auto it = node.empty() ? ranges_.end() : ranges_.find(node.mapped());
    return it != ranges_.end() && it->second.call_id == call_id ? &it->second : nullptr;
}

auto range_authority::may_grant(const range& it) const -> bool
{
    bool is_role_confirmed = may_renew(time_.now());
    bool is_refused = it.refused_at != time_point{} && role_confirmed_at_ <= it.refused_at;
    return is_role_confirmed && !is_refused && is_recorded(it);
}

auto range_authority::start_grant(range& it, time_point now) -> void
{
    if (it.needs_new_token) {
        if (!has_tokens()) {
            return;
        }
        it.token = allocate_token();
        it.needs_new_token = false;
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
        it->last_confirmed_grant = it->call_started_at;
        it->granted_incarnation = it->call_incarnation;
        it->last_grant = std::max(it->last_grant, now);
        it->handover.clear();
        if (it->phase == range_phase::granting) {
            set_phase(*it, range_phase::held, "granted");
        }
        return;
    }
    it->next_action = now + settings_.retry_delay;
    if (outcome.error().code == error_code::not_found) {
        // Another server uses the address, so the process that was called has ended. The owner is
        // copied because `on_server_ended` clears it.
        auto ended = it->owner;
        on_server_ended(ended, it->call_incarnation, now);
        return;
    }
    if (outcome.error().code == error_code::connection_refused) {
        // Nothing was sent, so the call did not extend the lease.
        it->last_grant = it->last_grant_before_call;
    } else {
        // A call without an answer may have reached the server at any time until now.
        it->last_grant = std::max(it->last_grant, now);
    }
    it->needs_new_token = true;
    if (outcome.error().code == error_code::conflict) {
        // Only a later coordinator uses higher tokens.
        it->refused_at = now;
        if (hooks_.on_refused) {
            hooks_.on_refused();
        }
    }
}

auto range_authority::start_release(range& it, time_point now) -> void
{
    auto call_id = register_call(it, now);
    hooks_.release(it.owner, it.keys, it.release_token,
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
    bool has_ended = outcome.has_error() && outcome.error().code == error_code::not_found &&
                     it->granted_incarnation == it->call_incarnation;
    if (outcome.has_error() && !has_ended) {
        it->is_release_failing = true;
        it->next_action = now + settings_.retry_delay;
        return;
    }
    if (outcome.has_value()) {
        auto time = now - it->release_started_at;
        mean_release_time_ += (time - mean_release_time_) / release_time_divisor;
    }
    it->handover = outcome.has_value() ? outcome.value() : std::string{};
    it->is_released = true;
    it->release_expires_at = now;
    it->next_action = now;
    advance_range(*it, now);
}

} // namespace cornelswitch
