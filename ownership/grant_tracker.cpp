#include "ownership/grant_tracker.h"

#include "core/intervals.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

// Delay after a failed message, because each further message may defer the expiry of the grants.
constexpr duration retry_delay = std::chrono::milliseconds{100};

auto add_grants(const service_id& service, const std::map<slot_index, slot_epoch>& slots,
                grant_message& out) -> void
{
    std::map<slot_epoch, slot_set> by_epoch;
    for (const auto& [slot, epoch] : slots) {
        by_epoch[epoch].insert(slot);
    }
    for (auto& [epoch, set] : by_epoch) {
        out.grants.push_back({service, std::move(set), epoch});
    }
}

} // namespace

grant_tracker::grant_tracker(service_id service, lease_term term, bool checks_grants,
                             time_point acquired_at)
    : service_{std::move(service)}, term_{term}, checks_grants_{checks_grants}
{
    // For servers that do not check grants, `cell_agent` has already waited for the requests of an
    // earlier dispatcher to end.
    expired_at_ = checks_grants ? acquired_at + lengthened_by_drift(grant_ttl) : acquired_at;
}

auto grant_tracker::set_slots(const std::vector<slot_grant>& slots) -> void
{
    std::map<slot_index, slot_epoch> wanted;
    for (const auto& it : slots) {
        wanted[it.slot] = it.epoch;
    }
    if (wanted != wanted_) {
        wanted_ = std::move(wanted);
        next_send_at_ = {};
    }
}

auto grant_tracker::make_message() -> grant_message
{
    grant_message out{term_, version_, grant_ttl, needs_full_list_, {}, {}};
    if (needs_full_list_) {
        add_grants(service_, wanted_, out);
        return out;
    }
    std::map<slot_index, slot_epoch> added;
    for (const auto& [slot, epoch] : wanted_) {
        auto it = confirmed_.find(slot);
        if (it == confirmed_.end() || it->second != epoch) {
            added[slot] = epoch;
        }
    }
    add_grants(service_, added, out);
    slot_set removed;
    for (const auto& [slot, epoch] : confirmed_) {
        if (!wanted_.contains(slot)) {
            removed.insert(slot);
        }
    }
    if (!removed.empty()) {
        out.revoke.push_back({service_, std::move(removed)});
    }
    return out;
}

auto grant_tracker::next(time_point now, time_point lease_valid_until) -> std::optional<outgoing>
{
    if (!checks_grants_ || now >= lease_valid_until || in_progress_ || now < next_send_at_) {
        return std::nullopt;
    }
    in_progress_ = outgoing{++last_ticket_, make_message()};
    sent_slots_ = wanted_;
    next_send_at_ = now + grant_renewal_interval;
    for (const auto& [slot, epoch] : wanted_) {
        possibly_held_[slot] = epoch;
    }
    if (!unanswered_since_) {
        unanswered_since_ = now;
    }
    return in_progress_;
}

auto grant_tracker::extend_expiry(time_point until) -> void
{
    expired_at_ = std::max(expired_at_, until);
}

auto grant_tracker::on_reply(std::uint64_t ticket, const grant_reply& reply, time_point now)
    -> event
{
    event out;
    out.restarted = boot_.value() != 0 && boot_ != reply.boot;
    boot_ = reply.boot;
    if (reply.refused_term) {
        out.superseded_by = reply.term;
        return out;
    }
    if (!in_progress_ || in_progress_->ticket != ticket) {
        return out;
    }
    out.renewed = reply.version == in_progress_->message.version + 1 && !out.restarted;
    version_ = reply.version;
    // The grants' validity counts from when the server issued the version, no matter which message
    // or request returns it.
    extend_expiry(now + lengthened_by_drift(grant_ttl));
    unanswered_since_.reset();
    in_progress_.reset();
    if (out.renewed) {
        confirmed_ = sent_slots_;
        possibly_held_ = sent_slots_;
        needs_full_list_ = false;
    } else {
        confirmed_.clear();
        needs_full_list_ = true;
        // The message was not applied: the first answer of a server only provides its version.
        next_send_at_ = now;
    }
    if (confirmed_ != wanted_) {
        next_send_at_ = now;
    }
    return out;
}

auto grant_tracker::on_failure(std::uint64_t ticket, time_point now) -> void
{
    if (!in_progress_ || in_progress_->ticket != ticket) {
        return;
    }
    in_progress_.reset();
    needs_full_list_ = true;
    next_send_at_ = now + retry_delay;
}

auto grant_tracker::abandon() -> void
{
    in_progress_.reset();
    unanswered_since_.reset();
    confirmed_.clear();
    needs_full_list_ = true;
    next_send_at_ = {};
}

auto grant_tracker::on_request_sent(time_point now, time_point deadline) -> void
{
    if (!checks_grants_) {
        extend_expiry(std::max(now, deadline));
    }
}

auto grant_tracker::may_send(const slot_grant& slot, time_point now,
                             time_point lease_valid_until) const -> bool
{
    if (now >= lease_valid_until) {
        return false;
    }
    const auto& slots = checks_grants_ ? confirmed_ : wanted_;
    auto it = slots.find(slot.slot);
    return it != slots.end() && it->second == slot.epoch;
}

auto grant_tracker::is_revoked(slot_index slot, time_point now) const -> bool
{
    auto held = checks_grants_ && possibly_held_.contains(slot);
    return !wanted_.contains(slot) && (!held || now >= expired_at_);
}

} // namespace cornelswitch
