#include "ownership/lease_voter.h"

#include "core/intervals.h"

#include <algorithm>
#include <chrono>

namespace cornelswitch {

namespace {

auto is_held_by_other(const lease_voter::entry& it, const cell_member& from, time_point now) -> bool
{
    return !it.released && it.holder != from && now < it.expires;
}

auto remaining_ms(time_point until, time_point now) -> std::uint32_t
{
    auto left = std::chrono::ceil<std::chrono::milliseconds>(until - now).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
}

} // namespace

lease_voter::lease_voter(time_point started, const safety_rules& rules)
    : started_{started}, rules_{rules}
{
}

auto lease_voter::abstains(time_point now) const -> bool
{
    return rules_.abstain_after_start && now < started_ + lengthened_by_drift(lease_duration);
}

auto lease_voter::is_current(const cell_member& from, std::uint32_t sequence) -> bool
{
    auto& known = senders_[from.instance];
    if (known.boot != from.boot) {
        known = {from.boot, 0};
    }
    if (sequence <= known.sequence) {
        return false;
    }
    known.sequence = sequence;
    return true;
}

auto lease_voter::renew(const cell_member& from, std::uint32_t digest, time_point now) -> bool
{
    std::vector<lease_entry> held;
    for (const auto& [server, it] : entries_) {
        if (!it.released && it.holder == from) {
            held.push_back({server, it.term, it.available});
        }
    }
    if (lease_digest(held) != digest) {
        return false;
    }
    for (const auto& it : held) {
        entries_[it.server].expires = now + lengthened_by_drift(lease_duration);
    }
    return true;
}

auto lease_voter::vote(const cell_member& from, const lease_list& list, time_point now)
    -> std::vector<lease_vote>
{
    std::vector<lease_vote> out;
    if (!is_current(from, list.sequence)) {
        return out;
    }
    drop_unlisted(from, list);
    out.reserve(list.entries.size());
    for (const auto& it : list.entries) {
        out.push_back(vote_for(from, it, now));
    }
    return out;
}

auto lease_voter::drop_unlisted(const cell_member& from, const lease_list& list) -> void
{
    for (auto& [server, it] : entries_) {
        if (it.released || it.holder != from) {
            continue;
        }
        auto listed = std::any_of(list.entries.begin(), list.entries.end(),
                                  [&name = server](const auto& e) { return e.server == name; });
        if (!listed) {
            it.released = true;
            it.handed_over = false;
        }
    }
}

auto lease_voter::vote_for(const cell_member& from, const lease_entry& requested, time_point now)
    -> lease_vote
{
    auto& it = entries_[requested.server];
    auto renewal = it.holder == from && it.term == requested.term && !it.released;
    auto blocked = rules_.voter_respects_lease && is_held_by_other(it, from, now);
    auto stale =
        rules_.voter_respects_term && !renewal && !requested.held && requested.term <= it.promised;
    lease_vote out{false, it.promised, it.handed_over, 0};
    if (blocked) {
        out.other_lease_ms = remaining_ms(it.expires, now);
    }
    if (blocked || stale) {
        return out;
    }
    it.holder = from;
    it.term = requested.term;
    it.promised = std::max(it.promised, requested.term);
    it.expires = now + lengthened_by_drift(lease_duration);
    it.released = false;
    it.available = requested.available;
    out.granted = true;
    return out;
}

auto lease_voter::release(const cell_member& from, const lease_release& message) -> void
{
    if (!is_current(from, message.sequence)) {
        return;
    }
    for (const auto& requested : message.entries) {
        auto& it = entries_[requested.server];
        if (it.holder == from && it.term == requested.term) {
            it.released = true;
            it.handed_over = true;
        }
    }
}

auto lease_voter::promise(const server_id& server, lease_term term) -> bool
{
    auto& it = entries_[server];
    if (rules_.registers_check_term && term < it.promised) {
        return false;
    }
    it.promised = std::max(it.promised, term);
    return true;
}

auto lease_voter::find(const server_id& server) const -> const entry*
{
    auto it = entries_.find(server);
    return it == entries_.end() ? nullptr : &it->second;
}

auto lease_voter::promised(const server_id& server) const -> lease_term
{
    const auto* it = find(server);
    return it == nullptr ? lease_term{} : it->promised;
}

auto lease_voter::is_free(const server_id& server, time_point now) const -> bool
{
    const auto* it = find(server);
    return it == nullptr || it->released || now >= it->expires;
}

} // namespace cornelswitch
