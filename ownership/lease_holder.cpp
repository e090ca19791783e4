#include "ownership/lease_holder.h"

#include "core/intervals.h"

#include <algorithm>
#include <chrono>

namespace cornelswitch {

namespace {

// Number of sent messages to which answers are accepted. Answers to older ones could not extend a
// lease: 16 renewal intervals exceed its duration.
constexpr std::size_t max_sent_messages = 16;

template<typename queue>
auto trim(queue& it) -> void
{
    while (it.size() > max_sent_messages) {
        it.pop_front();
    }
}

} // namespace

lease_holder::lease_holder(cell_member self, const safety_rules& rules)
    : self_{std::move(self)}, rules_{rules}
{
}

auto lease_holder::find(const server_id& server) const -> const lease*
{
    auto it = leases_.find(server);
    return it == leases_.end() ? nullptr : &it->second;
}

auto lease_holder::request(const server_id& server, lease_term term, time_point now) -> void
{
    lease it;
    it.term = term;
    it.requested_at = now;
    it.first_list = sequence_ + 1;
    leases_[server] = it;
    note_term(server, term);
}

auto lease_holder::retry(const server_id& server, time_point now) -> bool
{
    auto it = leases_.find(server);
    auto due = it != leases_.end() && !it->second.in_force && it->second.refused &&
               it->second.other_lease_until != time_point{} && now >= it->second.other_lease_until;
    if (due) {
        it->second.refused = false;
    }
    return due;
}

auto lease_holder::drop(const server_id& server) -> void
{
    leases_.erase(server);
}

auto lease_holder::set_in_force(const server_id& server) -> void
{
    leases_.at(server).in_force = true;
}

auto lease_holder::set_available(const server_id& server, bool available) -> void
{
    auto it = leases_.find(server);
    if (it != leases_.end()) {
        it->second.available = available;
    }
}

auto lease_holder::entries() const -> std::vector<lease_entry>
{
    std::vector<lease_entry> out;
    out.reserve(leases_.size());
    for (const auto& [server, it] : leases_) {
        out.push_back({server, it.term, it.available, it.in_force});
    }
    return out;
}

auto lease_holder::make_list(std::uint64_t active, std::uint64_t acked, time_point now)
    -> lease_list
{
    lease_list out{++sequence_, active, acked, entries()};
    sent_lists_.push_back({out, now});
    trim(sent_lists_);
    return out;
}

auto lease_holder::make_release(const std::vector<server_id>& servers) -> lease_release
{
    lease_release out{++sequence_, {}};
    for (const auto& server : servers) {
        const auto* it = find(server);
        if (it != nullptr) {
            out.entries.push_back({server, it->term, it->available, it->in_force});
        }
    }
    for (const auto& it : out.entries) {
        drop(it.server);
    }
    return out;
}

auto lease_holder::make_heartbeat(time_point now) -> heartbeat
{
    heartbeat out;
    out.number = ++heartbeat_number_;
    out.digest = lease_digest(entries());
    sent_heartbeats_.push_back({out.number, sequence_, now});
    trim(sent_heartbeats_);
    return out;
}

auto lease_holder::heartbeat_sent_at(std::uint16_t number) const -> std::optional<time_point>
{
    auto it = std::find_if(sent_heartbeats_.begin(), sent_heartbeats_.end(),
                           [number](const sent_heartbeat& sent) { return sent.number == number; });
    return it == sent_heartbeats_.end() ? std::nullopt : std::optional{it->sent};
}

auto lease_holder::on_votes(const cell_member& from, const lease_votes& votes, time_point now)
    -> void
{
    auto sent = std::find_if(sent_lists_.begin(), sent_lists_.end(), [&votes](const sent_list& it) {
        return it.list.sequence == votes.sequence;
    });
    if (sent == sent_lists_.end() || sent->list.entries.size() != votes.votes.size()) {
        return;
    }
    for (std::size_t i = 0; i < votes.votes.size(); ++i) {
        on_vote(sent->list.entries[i], votes.votes[i], {from, votes.active}, sent->sent, now);
    }
}

auto lease_holder::on_vote(const lease_entry& entry, const lease_vote& vote, const voter_answer& by,
                           time_point sent, time_point now) -> void
{
    note_term(entry.server, vote.promised);
    auto found = leases_.find(entry.server);
    if (found == leases_.end() || found->second.term != entry.term) {
        return;
    }
    auto& it = found->second;
    if (vote.granted) {
        if (vote.promised < it.term && vote.promised >= it.previous) {
            it.handed_over = vote.handed_over || (it.handed_over && vote.promised == it.previous);
            it.previous = vote.promised;
        }
        confirm(it, by, sent, now);
        return;
    }
    it.refused = true;
    it.other_lease_until =
        std::max(it.other_lease_until, now + std::chrono::milliseconds{vote.other_lease_ms});
}

auto lease_holder::on_reply(const cell_member& from, const heartbeat_reply& reply, time_point now)
    -> void
{
    auto sent =
        std::find_if(sent_heartbeats_.begin(), sent_heartbeats_.end(),
                     [&reply](const sent_heartbeat& it) { return it.number == reply.number; });
    if (sent == sent_heartbeats_.end() || reply.status != renewal_status::renewed) {
        return;
    }
    for (auto& [server, it] : leases_) {
        if (it.first_list <= sent->list_sequence) {
            confirm(it, {from, reply.active}, sent->sent, now);
        }
    }
}

auto lease_holder::confirm(lease& it, const voter_answer& by, time_point sent, time_point now)
    -> void
{
    auto counted_from = rules_.lease_from_send_time ? sent : now;
    std::erase_if(it.confirmations,
                  [now](const confirmation& c) { return c.sent + 2 * lease_duration < now; });
    auto found = std::find_if(it.confirmations.begin(), it.confirmations.end(),
                              [&by](const confirmation& c) { return c.by == by; });
    if (found == it.confirmations.end()) {
        it.confirmations.push_back({by, counted_from});
        return;
    }
    found->sent = std::max(found->sent, counted_from);
}

auto lease_holder::valid_until(const lease& it, const std::vector<quorum>& quorums) const
    -> time_point
{
    time_point out;
    for (const auto& quorum : quorums) {
        std::vector<time_point> sent;
        for (const auto& c : it.confirmations) {
            if (c.by.epoch == quorum.epoch && quorum.contains(c.by.voter)) {
                sent.push_back(c.sent);
            }
        }
        if (sent.size() < quorum.needed) {
            continue;
        }
        std::sort(sent.begin(), sent.end(), std::greater<>{});
        out = std::max(out, sent[quorum.needed - 1]);
    }
    if (out == time_point{}) {
        return out;
    }
    return out + (rules_.lease_from_send_time ? shortened_by_drift(lease_duration)
                                              : lengthened_by_drift(lease_duration));
}

auto lease_holder::highest_seen(const server_id& server) const -> lease_term
{
    auto it = highest_seen_.find(server);
    return it == highest_seen_.end() ? lease_term{} : it->second;
}

auto lease_holder::note_term(const server_id& server, lease_term term) -> void
{
    auto& known = highest_seen_[server];
    known = std::max(known, term);
}

} // namespace cornelswitch
