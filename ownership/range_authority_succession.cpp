#include "ownership/leased_range.h"
#include "ownership/range_authority.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

auto range_authority::take_over(const coordinator_record& record, fencing_token first_token,
                                fencing_token token_limit, const earlier_terms_end& earlier_end,
                                time_point now) -> void
{
    next_token_ = first_token;
    token_limit_ = token_limit;
    // Coordinators that have ended may have granted leases until now.
    earlier_end_ =
        earlier_end.at() == time_point{} ? time_point{} : std::max(now, earlier_end.at());
    bool is_owner_unknown = !record.names_all_holders && earlier_end_ != time_point{};
    take_over(is_owner_unknown ? std::vector<recorded_range>{} : record.ranges, is_owner_unknown,
              now);
}

auto range_authority::take_over_certain(const coordinator_record& record, fencing_token first_token,
                                        fencing_token token_limit,
                                        const earlier_terms_end& earlier_end, time_point now)
    -> void
{
    next_token_ = first_token;
    token_limit_ = token_limit;
    earlier_end_ = std::max(now, earlier_end.at());
    take_over(record.ranges, true, now);
}

auto range_authority::take_over(std::vector<recorded_range> named, bool are_others_unknown,
                                time_point now) -> void
{
    ranges_.clear();
    std::uint32_t next = 0;
    std::ranges::sort(named, {}, &recorded_range::keys);
    for (const auto& from : named) {
        if (from.keys.first < next) {
            continue;
        }
        if (from.keys.first > next) {
            add_unnamed(
                {static_cast<std::uint16_t>(next), static_cast<std::uint16_t>(from.keys.first - 1)},
                are_others_unknown, now);
        }
        adopt(from, now);
        next = from.keys.last + 1U;
    }
    if (next < numeric_keys) {
        add_unnamed({static_cast<std::uint16_t>(next), numeric_keys - 1}, are_others_unknown, now);
    }
    ++revision_;
}

auto range_authority::add_unnamed(key_range keys, bool is_owner_unknown, time_point now) -> void
{
    range it;
    it.keys = keys;
    it.is_owner_unknown = is_owner_unknown;
    it.phase = is_owner_unknown ? range_phase::waiting : range_phase::unowned;
    it.free_at = is_owner_unknown ? expiry_of(earlier_end_) : now;
    ranges_.emplace(keys.first, std::move(it));
}

auto range_authority::adopt(const recorded_range& from, time_point now) -> void
{
    range it;
    it.keys = from.keys;
    it.owner = from.owner;
    it.incarnation = from.incarnation;
    it.token = from.token;
    it.is_granted = true;
    it.is_adopted = true;
    it.needs_new_token = true;
    it.next_action = earlier_end_ > now ? now + settings_.transfer_timeout : now;
    it.last_grant = earlier_end_;
    if (from.target) {
        // The predecessor did not renew the lease after it had offered this record to the store,
        // but a renewal may have been in flight. It may have granted the range to the target.
        it.phase = range_phase::releasing;
        it.previous = from.owner;
        it.target = from.target;
        it.is_target_granted = true;
        it.release_token = allocate_token();
        it.release_expires_at = expiry_of(now + settings_.call_timeout);
    } else {
        it.phase = range_phase::granting;
    }
    ranges_.emplace(from.keys.first, std::move(it));
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
        if (it.last_grant == earlier_end_) {
            it.last_grant = end;
        }
    }
    earlier_end_ = end;
}

auto range_authority::transfer(time_point now) const -> std::vector<transferred_range>
{
    std::vector<transferred_range> out;
    for (const auto& [first, it] : ranges_) {
        bool is_completing = it.phase == range_phase::releasing && it.is_target_granted;
        if (it.is_adopted || it.is_owner_unknown || is_completing) {
            continue;
        }
        transferred_range to;
        to.keys = it.keys;
        to.incarnation = it.incarnation;
        switch (it.phase) {
        case range_phase::held:
        case range_phase::granting:
        case range_phase::recording:
            to.owner = it.owner;
            to.confirmed_age = now - it.last_confirmed_grant;
            break;
        case range_phase::releasing:
            // Nothing has been granted to the target yet. The owner may have stopped serving the
            // keys, so its lease is reported as unconfirmed.
            to.owner = it.owner;
            to.confirmed_age = settings_.lease;
            break;
        case range_phase::waiting:
            to.owner = it.owner;
            to.confirmed_age = settings_.lease;
            to.free_in = it.free_at - now;
            break;
        case range_phase::unowned:
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
    // Once this coordinator has made a call, the state may have changed, even if the predecessor
    // reports a lease as expired, for example because it was paused.
    if (!it.is_adopted && !it.is_owner_unknown) {
        return;
    }
    // A successor that reads a move in the record completes it, so the owner gets its lease back
    // only when the record names it alone.
    bool is_dropped = it.target && from.owner != *it.target;
    it.target.reset();
    it.is_target_granted = false;
    it.is_adopted = false;
    it.next_action = now;
    it.free_at = now + from.free_in;
    bool has_owner = !from.owner.value().empty();
    it.is_owner_unknown = !has_owner && it.free_at > now;
    if (!has_owner && !it.is_owner_unknown) {
        clear_owner(it, "transferred-free");
        return;
    }
    it.owner = from.owner;
    it.incarnation = from.incarnation;
    it.is_granted = has_owner;
    it.needs_new_token = true;
    it.last_confirmed_grant = now - from.confirmed_age;
    if (is_dropped) {
        require_record(it);
    }
    if (it.free_at > now) {
        set_phase(it, range_phase::waiting, "transferred-waiting");
        return;
    }
    // A call that the predecessor sent before it stopped may still reach the owner.
    it.last_grant = std::max(earlier_end_, now + settings_.call_timeout);
    set_phase(it, range_phase::granting, "transferred");
}

} // namespace cornelswitch
