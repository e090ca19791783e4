#include "ownership/membership_activation.h"

#include "core/intervals.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelswitch {

namespace {

// Bounds memory in a process that reads a long log: only the newest memberships matter, because the
// process adopts the one that its peers report as active.
constexpr std::size_t max_known_memberships = 16;

// A report counts for two missed heartbeats and some delay.
constexpr duration report_timeout = std::chrono::milliseconds{500};

auto has_member(const cell_membership& membership, const cell_member& it) -> bool
{
    return std::find(membership.members.begin(), membership.members.end(), it) !=
           membership.members.end();
}

} // namespace

membership_activation::membership_activation(cell_member self, time_point started,
                                             const safety_rules& rules)
    : self_{std::move(self)}, started_{started}, rules_{rules}
{
}

auto membership_activation::apply(const cell_state& cell, time_point now) -> void
{
    if (cell.previous.epoch != 0) {
        known_memberships_.try_emplace(cell.previous.epoch,
                                       known_membership{cell.previous, std::nullopt});
    }
    auto& it = known_memberships_[cell.current.epoch];
    it.membership = cell.current;
    it.replaces = cell.previous.epoch;
    if (known_memberships_.size() > max_known_memberships) {
        known_memberships_.erase(known_memberships_.begin());
    }
    try_acknowledge();
    try_activate(now);
}

auto membership_activation::report(const cell_member& from, std::uint64_t active,
                                   std::uint64_t acked, time_point now) -> void
{
    auto& it = reports_[from.instance];
    if (it.member != from) {
        it = {from, 0, 0, std::nullopt};
    }
    it.active = std::max(it.active, active);
    it.acked = std::max(it.acked, acked);
    // A member acknowledges only the direct successor of its active membership.
    auto known = known_memberships_.find(it.acked);
    if (it.active == active_.epoch && it.acked > it.active && known != known_memberships_.end() &&
        !known->second.replaces) {
        known->second.replaces = it.active;
    }
    try_acknowledge();
    try_activate(now);
}

auto membership_activation::report_synced(const cell_member& from, bool has_synced, time_point sent)
    -> void
{
    auto& it = reports_[from.instance];
    if (it.member == from) {
        it.unsynced_at = has_synced ? std::nullopt : std::optional{sent};
    }
}

auto membership_activation::adopt(std::uint64_t active, bool recovering) -> void
{
    auto known = known_memberships_.find(active);
    if (active <= active_.epoch || known == known_memberships_.end()) {
        return;
    }
    // A process that has never been a member holds no state of the cell.
    if (active_.epoch != 0 || has_member(known->second.membership, self_)) {
        activate_known(active, recovering);
    }
}

auto membership_activation::activate_known(std::uint64_t epoch, bool recovering) -> void
{
    const auto& it = known_memberships_.at(epoch);
    std::optional<cell_membership> base;
    if (it.replaces) {
        const auto* known = find_membership(*it.replaces);
        if (known != nullptr) {
            base = *known;
        }
    }
    activate(cell_membership{it.membership}, base, recovering);
}

auto membership_activation::on_copy(const cell_member& from, std::uint64_t active) -> void
{
    if (active >= active_.epoch && has_member(sync_source_, from)) {
        copied_.insert(from.instance);
        try_sync();
    }
}

auto membership_activation::activate(const cell_membership& membership,
                                     const std::optional<cell_membership>& base, bool recovering)
    -> void
{
    // Only for the direct predecessor does every majority share a member with each majority of the
    // new membership.
    auto direct = base && base->epoch == active_.epoch && !recovering;
    predecessor_ = direct ? active_ : cell_membership{};
    active_ = membership;
    sync_source_ = base.value_or(cell_membership{});
    copied_.clear();
    recovering_ = recovering;
    acknowledged_since_.reset();
    lost_since_.reset();
    // The first membership has no predecessor, and after the loss of a majority there is no
    // majority to copy from.
    synced_ = base && (base->members.empty() || (recovering && !ever_synced_));
    if (!rules_.copy_registers_before_vote) {
        synced_ = true;
    }
    ever_synced_ = ever_synced_ || synced_;
    activated_ = true;
    try_sync();
    acked_ = std::max(acked_, active_.epoch);
    // Older memberships are no longer needed; `sync_source_` keeps the one to copy from.
    known_memberships_.erase(known_memberships_.begin(),
                             known_memberships_.lower_bound(active_.epoch));
    try_acknowledge();
}

auto membership_activation::try_sync() -> void
{
    if (synced_ || sync_source_.members.empty()) {
        return;
    }
    auto total = sync_source_.members.size();
    auto have = copied_.size();
    if (has_member(sync_source_, self_)) {
        ++have;
    } else if (sync_source_.contains(self_.instance)) {
        // An earlier process of this instance was a member; its registers are lost.
        --total;
    }
    if (have >= majority_of(total)) {
        synced_ = true;
        ever_synced_ = true;
        try_acknowledge();
    }
}

auto membership_activation::find_membership(std::uint64_t epoch) const -> const cell_membership*
{
    if (epoch == active_.epoch) {
        return &active_;
    }
    auto it = known_memberships_.find(epoch);
    return it == known_memberships_.end() ? nullptr : &it->second.membership;
}

auto membership_activation::next() const -> const cell_membership*
{
    for (const auto& [epoch, it] : known_memberships_) {
        if (epoch > active_.epoch && it.replaces == active_.epoch) {
            return &it.membership;
        }
    }
    return nullptr;
}

auto membership_activation::newest_in_log() const -> const cell_membership*
{
    return known_memberships_.empty() ? nullptr : &known_memberships_.rbegin()->second.membership;
}

auto membership_activation::try_acknowledge() -> void
{
    const auto* it = next();
    if (it != nullptr && active_.epoch != 0 && synced_ && !recovering_) {
        acked_ = std::max(acked_, it->epoch);
    }
}

auto membership_activation::acknowledged_by_majority(const cell_membership& membership) const
    -> bool
{
    auto n =
        std::count_if(active_.members.begin(), active_.members.end(), [&](const cell_member& it) {
            if (it == self_) {
                return acked_ >= membership.epoch;
            }
            auto found = reports_.find(it.instance);
            return found != reports_.end() && found->second.member == it &&
                   found->second.acked >= membership.epoch;
        });
    return static_cast<std::size_t>(n) >= majority_of(active_.members.size());
}

// Members that have not synced do not vote. When the other members have been no majority for longer
// than leases and grants last, no lease or grant under the predecessor can still be valid.
auto membership_activation::majority_is_lost(time_point now) const -> bool
{
    const auto* last = newest_in_log();
    if (ever_synced_ || last == nullptr || !has_member(*last, self_)) {
        return false;
    }
    std::size_t unsynced = 1;
    for (const auto& it : last->members) {
        auto found = reports_.find(it.instance);
        if (it != self_ && found != reports_.end() && found->second.member == it &&
            found->second.unsynced_at && now - *found->second.unsynced_at < report_timeout) {
            ++unsynced;
        }
    }
    auto n = last->members.size();
    return unsynced + majority_of(n) > n;
}

auto membership_activation::has_lasted(std::optional<time_point>& since, bool condition,
                                       duration wait, time_point now) -> bool
{
    if (!condition) {
        since.reset();
        return false;
    }
    if (!since) {
        since = now;
    }
    return now >= *since + lengthened_by_drift(wait);
}

auto membership_activation::try_activate(time_point now) -> void
{
    const auto* last = newest_in_log();
    if (last == nullptr) {
        return;
    }
    const auto* it = next();
    // The first membership of a cell replaces epoch 0, with which every process starts.
    auto first = active_.epoch == 0 && it != nullptr && has_member(*it, self_);
    if (first &&
        (!rules_.activation_waits || now >= started_ + lengthened_by_drift(lease_duration))) {
        activate(cell_membership{*it}, cell_membership{}, false);
        return;
    }
    if (!rules_.activation_waits && last->epoch > active_.epoch && has_member(*last, self_)) {
        activate_known(last->epoch, false);
        return;
    }
    auto acknowledged = active_.epoch != 0 && it != nullptr && acknowledged_by_majority(*it);
    if (has_lasted(acknowledged_since_, acknowledged, lease_duration, now)) {
        activate(cell_membership{*it}, cell_membership{active_}, false);
        return;
    }
    if (has_lasted(lost_since_, majority_is_lost(now), lease_duration + grant_ttl, now)) {
        activate_known(last->epoch, true);
    }
}

auto membership_activation::newest_acked() const -> const cell_membership&
{
    const auto* it = find_membership(acked_);
    return it == nullptr ? active_ : *it;
}

auto membership_activation::may_vote() const -> bool
{
    return active_.epoch != 0 && ever_synced_ && has_member(active_, self_) &&
           has_member(newest_acked(), self_);
}

auto membership_activation::accepts(const cell_member& from, std::uint64_t its_acked) const -> bool
{
    if (!rules_.activation_waits) {
        return has_member(active_, from);
    }
    return its_acked >= acked_ && has_member(newest_acked(), from);
}

auto membership_activation::quorums() const -> std::vector<quorum>
{
    std::vector<quorum> out;
    const auto& last = newest_acked();
    auto add = [&](const cell_membership& it) {
        quorum q{it.epoch, {}, majority_of(it.members.size())};
        std::copy_if(it.members.begin(), it.members.end(), std::back_inserter(q.voters),
                     [&](const cell_member& m) { return has_member(last, m); });
        out.push_back(std::move(q));
    };
    if (predecessor_.epoch != 0) {
        add(predecessor_);
    }
    if (active_.epoch != 0) {
        add(active_);
    }
    if (last.epoch != active_.epoch) {
        add(last);
    }
    return out;
}

auto membership_activation::peers() const -> std::vector<cell_member>
{
    std::map<instance_id, cell_member> out;
    auto add = [&out](const cell_membership& it) {
        for (const auto& member : it.members) {
            out[member.instance] = member;
        }
    };
    add(sync_source_);
    add(active_);
    for (const auto& [epoch, it] : known_memberships_) {
        add(it.membership);
    }
    out.erase(self_.instance);
    std::vector<cell_member> members;
    members.reserve(out.size());
    for (auto& [id, member] : out) {
        members.push_back(std::move(member));
    }
    return members;
}

auto membership_activation::missing_copies() const -> std::vector<cell_member>
{
    std::vector<cell_member> out;
    if (synced_) {
        return out;
    }
    for (const auto& it : sync_source_.members) {
        if (it.instance != self_.instance && !copied_.contains(it.instance)) {
            out.push_back(it);
        }
    }
    return out;
}

} // namespace cornelswitch
