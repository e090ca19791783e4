#include "ownership/grant_table.h"

#include "core/hash.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// Versions must differ between two boots of a server, so that a message for an earlier boot is
// never applied.
auto first_version(boot_id boot) -> std::uint64_t
{
    constexpr unsigned shift = 24;
    return (hash_bytes(std::to_string(boot.value())) >> shift << 20U) + 1;
}

template<typename action>
auto for_each_slot(const slot_set& slots, const action& act) -> void
{
    for (const auto& range : slots.ranges()) {
        for (std::uint64_t slot = range.first; slot <= range.last; ++slot) {
            act(slot_index{static_cast<std::uint32_t>(slot)});
        }
    }
}

} // namespace

grant_table::grant_table(boot_id boot) : boot_{boot}, version_{first_version(boot)} {}

auto grant_table::set_load(std::uint32_t running, bool draining) -> void
{
    running_ = running;
    draining_ = draining;
}

auto grant_table::expire(time_point now) -> void
{
    if (expires_ && now >= *expires_) {
        grants_.clear();
        expires_.reset();
        // Messages with the old version were sent before the grants expired.
        ++version_;
        version_issued_ = now;
    }
}

auto grant_table::renew(duration ttl) -> void
{
    ttl_ = ttl;
    auto until = version_issued_ + ttl;
    expires_ = std::max(expires_.value_or(until), until);
}

auto grant_table::issue_version(time_point now) -> void
{
    ++version_;
    version_issued_ = now;
}

auto grant_table::insert(const grant_group& group) -> void
{
    for_each_slot(group.slots, [&](slot_index slot) {
        slot_key key{group.service, slot};
        auto& newest = newest_epochs_[key];
        if (group.epoch >= newest) {
            newest = group.epoch;
            grants_[key] = group.epoch;
        }
    });
}

auto grant_table::apply(const grant_message& message, time_point now) -> grant_reply
{
    expire(now);
    auto is_older_term = message.term < term_;
    if (!is_older_term) {
        term_ = message.term;
    }
    if (!is_older_term && message.version == version_) {
        if (message.full) {
            grants_.clear();
        }
        for (const auto& it : message.revoke) {
            for_each_slot(it.slots, [&](slot_index slot) { grants_.erase({it.service, slot}); });
        }
        for (const auto& it : message.grants) {
            insert(it);
        }
        renew(message.ttl);
    }
    if (!is_older_term) {
        issue_version(now);
    }
    expire(now);
    auto n = static_cast<std::uint32_t>(grants_.size());
    return {boot_, term_, version_, running_, n, draining_, is_older_term};
}

auto grant_table::check(const request& it, time_point now) -> refusal
{
    expire(now);
    if (it.term < term_) {
        return refusal::older_term;
    }
    auto grant = grants_.find(it.key);
    if (grant == grants_.end()) {
        return refusal::no_grant;
    }
    if (grant->second != it.epoch) {
        return refusal::wrong_epoch;
    }
    if (it.version != 0 && it.version == version_) {
        renew(ttl_);
    }
    return refusal::none;
}

auto grant_table::held(time_point now) const -> std::vector<grant_group>
{
    std::vector<grant_group> out;
    if (!expires_ || now >= *expires_) {
        return out;
    }
    for (const auto& [key, epoch] : grants_) {
        auto same = !out.empty() && out.back().service == key.service && out.back().epoch == epoch;
        if (!same) {
            out.push_back({key.service, {}, epoch});
        }
        out.back().slots.insert(key.slot);
    }
    return out;
}

auto to_string(grant_table::refusal it) -> std::string_view
{
    switch (it) {
    case grant_table::refusal::none:
        return "accepted";
    case grant_table::refusal::no_grant:
        return "no-grant";
    case grant_table::refusal::older_term:
        return "older-term";
    case grant_table::refusal::wrong_epoch:
        return "wrong-epoch";
    }
    return "no-grant";
}

} // namespace cornelswitch
