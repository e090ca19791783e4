#include "ownership/leased_range.h"
#include "ownership/range_authority.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

auto range_authority::take_over(const std::vector<recorded_range>& ranges,
                                fencing_token first_token, fencing_token token_limit,
                                const earlier_terms_end& earlier_end, time_point now) -> void
{
    next_token_ = first_token;
    token_limit_ = token_limit;
    bool is_first_term = earlier_end.at() == time_point{};
    // Coordinators that have ended may have granted leases until now.
    earlier_end_ = is_first_term ? time_point{} : std::max(now, earlier_end.at());
    earlier_last_move_ = std::min(earlier_end_, now + settings_.max_unconfirmed_moves);
    ranges_.clear();
    std::uint32_t next = 0;
    auto add_unowned = [&](std::uint32_t first, std::uint32_t last) {
        range it;
        it.keys = {static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(last)};
        it.phase = range_phase::waiting;
        bool has_predecessor = earlier_end_ != time_point{};
        it.is_owner_unknown = has_predecessor;
        it.free_at = has_predecessor ? expiry_of(earlier_end_) : now;
        ranges_.emplace(it.keys.first, std::move(it));
    };
    auto sorted = ranges;
    std::ranges::sort(sorted, {}, &recorded_range::keys);
    for (const auto& from : sorted) {
        if (from.keys.first < next) {
            continue;
        }
        if (from.keys.first > next) {
            add_unowned(next, from.keys.first - 1U);
        }
        range it;
        it.keys = from.keys;
        it.owner = from.owner;
        it.incarnation = from.incarnation;
        it.token = from.token;
        it.phase = range_phase::granting;
        it.is_granted = true;
        it.is_adopted = true;
        it.next_action = earlier_end_ > now ? now + settings_.transfer_timeout : now;
        it.last_grant = earlier_end_;
        it.uncertain_until = expiry_of(earlier_end_);
        ranges_.emplace(it.keys.first, std::move(it));
        next = from.keys.last + 1U;
    }
    if (next < numeric_keys) {
        add_unowned(next, numeric_keys - 1);
    }
    ++revision_;
}

auto range_authority::set_earlier_terms_end(const earlier_terms_end& earlier_end) -> void
{
    auto end = earlier_end.at();
    if (end >= earlier_end_) {
        return;
    }
    auto earlier = expiry_of(end);
    auto later = expiry_of(earlier_end_);
    for (auto& [first, it] : ranges_) {
        if (it.free_at == later) {
            it.free_at = earlier;
        }
        if (it.uncertain_until == later) {
            it.uncertain_until = earlier;
        }
        if (it.last_grant == earlier_end_) {
            it.last_grant = end;
        }
    }
    earlier_end_ = end;
    earlier_last_move_ = std::min(earlier_last_move_, end);
}

auto range_authority::transfer(time_point now) const -> std::vector<transferred_range>
{
    std::vector<transferred_range> out;
    for (const auto& [first, it] : ranges_) {
        if (it.is_adopted || it.is_owner_unknown || now < it.uncertain_until) {
            continue;
        }
        transferred_range to;
        to.keys = it.keys;
        to.incarnation = it.incarnation;
        switch (it.phase) {
        case range_phase::held:
        case range_phase::granting:
            to.owner = it.owner;
            to.confirmed_age = now - it.last_confirmed_grant;
            break;
        case range_phase::releasing:
            // Nothing has been granted to the target yet. The previous owner may have stopped
            // serving the keys, so its lease is reported as unconfirmed.
            to.owner = it.previous;
            to.confirmed_age = settings_.lease;
            break;
        case range_phase::waiting:
        case range_phase::unowned:
            to.free_in = it.free_at - now;
            break;
        }
        out.push_back(std::move(to));
    }
    return out;
}

auto range_authority::accept_transfer(const std::vector<transferred_range>& ranges, time_point now)
    -> void
{
    for (const auto& from : ranges) {
        split(from.keys.first);
        if (from.keys.last < numeric_keys - 1) {
            split(static_cast<std::uint16_t>(from.keys.last + 1));
        }
        for (auto it = ranges_.lower_bound(from.keys.first);
             it != ranges_.end() && it->second.keys.last <= from.keys.last; ++it) {
            accept_transfer(it->second, from, now);
        }
    }
    for (auto& [first, it] : ranges_) {
        // Adopted ranges that the predecessor did not report are renewed as recorded.
        if (it.is_adopted && it.call_id == 0) {
            it.next_action = std::min(it.next_action, now);
        }
    }
}

auto range_authority::accept_transfer(range& it, const transferred_range& from, time_point now)
    -> void
{
    bool is_free = from.owner.value().empty();
    // Once a renewal has been sent, the lease may continue even if the predecessor reports it as
    // expired, for example because the predecessor was paused.
    bool was_tried = it.call_started_at != time_point{};
    bool is_recorded_owner = !is_free && it.owner == from.owner;
    bool may_accept = it.is_owner_unknown || (it.is_adopted && (!was_tried || is_recorded_owner));
    if (!may_accept) {
        return;
    }
    discard_call(it);
    it.is_adopted = false;
    it.is_owner_unknown = false;
    it.uncertain_until = {};
    it.handover.clear();
    it.next_action = now;
    if (is_free) {
        it.owner = {};
        it.is_granted = false;
        it.free_at = now + from.free_in;
        set_phase(it, from.free_in > duration::zero() ? range_phase::waiting : range_phase::unowned,
                  "transferred-free");
        // The predecessor's record may still name a server that did not receive the release.
        it.record_before_grant = revision_;
        return;
    }
    it.owner = from.owner;
    it.incarnation = from.incarnation;
    it.target.reset();
    it.is_granted = true;
    it.needs_new_token = true;
    it.last_confirmed_grant = now - from.confirmed_age;
    // A call that the predecessor sent before it stopped may still reach the owner.
    it.last_grant = now + settings_.call_timeout;
    set_phase(it, range_phase::granting, "transferred");
}

} // namespace cornelswitch
