#include "ownership/cell_agent.h"
#include "ownership/holder_preference.h"

#include "core/hash.h"
#include "core/intervals.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// A member delays its request by this time for each member that is preferred over it. A vote takes
// a few milliseconds within a zone.
constexpr duration rank_delay = std::chrono::milliseconds{60};
// A request without a majority after this time was affected by lost messages or a split vote, and
// is replaced by a new one.
constexpr duration request_timeout = std::chrono::milliseconds{100};
// Limits the delay after repeated failed requests, so that a cell that can vote again serves within
// one second.
constexpr duration max_retry_delay = std::chrono::milliseconds{300};
// Terms of a membership epoch start above all terms of earlier epochs, so that a cell whose members
// have all lost their state does not reuse a term.
constexpr unsigned term_bits_per_epoch = 16;
// Interval at which missing register copies are requested again.
constexpr duration read_interval = std::chrono::milliseconds{50};

auto is_confirmed_by(const lease_holder::lease& lease, const cell_member& voter) -> bool
{
    return std::any_of(lease.confirmations.begin(), lease.confirmations.end(),
                       [&voter](const auto& it) { return it.by.voter == voter; });
}

} // namespace

auto cell_agent::next_term(const server_id& server) const -> lease_term
{
    const auto* cell = log_->find_cell(*cell_);
    auto base = cell == nullptr ? 0 : cell->current.epoch << term_bits_per_epoch;
    auto known = std::max(holder_.highest_seen(server), voter_.promised(server));
    return lease_term{std::max(base, known.value()) + 1};
}

auto cell_agent::note_server_term(const server_id& server, lease_term term, time_point now) -> void
{
    holder_.note_term(server, term);
    const auto* it = holder_.find(server);
    if (it != nullptr && it->term < term) {
        abandon_lease(server, now);
        send_list(now);
    }
}

auto cell_agent::yield_deadline(const server_id& server) const -> std::optional<time_point>
{
    // Uses the bound in the membership, not in the configuration, because claimants wait for the
    // former.
    auto id = log_->cell_of(server);
    const auto* cell = id ? log_->find_cell(*id) : nullptr;
    auto yield_ms = cell == nullptr ? 0 : cell->current.yield_after_ms;
    if (yield_ms == 0 || !rules_.yield_without_log) {
        return std::nullopt;
    }
    auto yield = shortened_by_drift(std::chrono::milliseconds{yield_ms});
    return last_log_contact_ ? *last_log_contact_ + yield : time_point{};
}

auto cell_agent::lease_end(const server_id& server, const lease_holder::lease& lease,
                           const std::vector<quorum>& quorums) const -> time_point
{
    auto out = holder_.valid_until(lease, quorums);
    auto limit = log_ ? yield_deadline(server) : std::nullopt;
    return limit ? std::min(out, *limit) : out;
}

auto cell_agent::send_list(time_point now) -> void
{
    auto list = holder_.make_list(membership_.active().epoch, membership_.acked(), now);
    broadcast(list);
    vote_for_self(list, now);
}

auto cell_agent::vote_for_self(const lease_list& list, time_point now) -> void
{
    if (!may_vote(self_, membership_.acked(), now)) {
        return;
    }
    lease_votes votes{list.sequence, membership_.active().epoch, membership_.acked(),
                      registers_.digest(), voter_.vote(self_, list, now)};
    holder_.on_votes(self_, votes, now);
    note_vote(self_, votes);
}

// A voter with equal registers counts as copied. This is safe because it had promised the term when
// it computed the digest.
auto cell_agent::note_vote(const cell_member& from, const lease_votes& votes) -> void
{
    if (votes.register_digest != registers_.digest()) {
        return;
    }
    voter_answer by{from, votes.active};
    for (auto& [server, it] : takeovers_) {
        const auto* lease = holder_.find(server);
        if (lease != nullptr && is_confirmed_by(*lease, from)) {
            it.copies.push_back(by);
        }
    }
}

// Requests the missing register copies. A voter may have activated another membership after its
// vote; its copy then counts under that membership.
auto cell_agent::read_missing(const lease_holder::lease& lease, takeover& it, time_point now)
    -> void
{
    if (now < it.next_read) {
        return;
    }
    it.next_read = now + read_interval;
    for (const auto& c : lease.confirmations) {
        auto copied = std::find(it.copies.begin(), it.copies.end(), c.by) != it.copies.end();
        if (!copied && c.by.voter != self_) {
            it.wanted[c.by.voter.instance] = read_registers(c.by.voter.instance);
        }
    }
}

auto cell_agent::has_read_majority(const lease_holder::lease& lease, const takeover& it) const
    -> bool
{
    auto copies = it.copies;
    if (is_confirmed_by(lease, self_)) {
        for (const auto& quorum : membership_.quorums()) {
            copies.push_back({self_, quorum.epoch});
        }
    }
    return is_majority(membership_.quorums(), copies);
}

auto cell_agent::request_leases(time_point now) -> void
{
    if (leaving_ || !may_vote(self_, membership_.acked(), now)) {
        voting_since_.reset();
        return;
    }
    if (!voting_since_) {
        voting_since_ = now;
    }
    // A member that has just started to vote first learns which leases the others hold.
    if (now < *voting_since_ + lengthened_by_drift(lease_renewal_interval)) {
        return;
    }
    if (!has_leases_to_request(now)) {
        return;
    }
    std::vector<instance_id> live{self_.instance};
    for (const auto& it : membership_.active().members) {
        auto found = peers_.find(it.instance);
        if (it != self_ && found != peers_.end() && found->second.member == it &&
            is_live(found->second, now)) {
            live.push_back(it.instance);
        }
    }
    if (live.size() < majority_of(membership_.active().members.size())) {
        return;
    }
    std::sort(live.begin(), live.end());
    std::vector<server_id> servers;
    for (const auto& [server, service] : services_) {
        servers.push_back(server);
    }
    auto requested = false;
    for (const auto& [server, order] : preferred_holders(servers, live)) {
        auto rank = std::find(order.begin(), order.end(), self_.instance) - order.begin();
        requested = request_lease(server, static_cast<std::size_t>(rank), now) || requested;
    }
    if (requested) {
        send_list(now);
        check_leases(now);
    }
}

auto cell_agent::has_leases_to_request(time_point now) -> bool
{
    auto out = false;
    for (const auto& [server, service] : services_) {
        const auto* lease = holder_.find(server);
        if (lease == nullptr ? voter_.is_free(server, now) : !lease->in_force) {
            out = true;
        } else {
            candidacies_.erase(server);
        }
    }
    return out;
}

auto cell_agent::request_lease(const server_id& server, std::size_t rank, time_point now) -> bool
{
    auto& it = candidacies_[server];
    if (holder_.retry(server, now)) {
        return true;
    }
    if (holder_.find(server) != nullptr || !voter_.is_free(server, now)) {
        it.free_since.reset();
        return false;
    }
    if (!it.free_since) {
        it.free_since = now;
    }
    auto limit = yield_deadline(server);
    auto yielded = limit && now >= *limit;
    if (yielded || now < it.retry_at ||
        now < *it.free_since + rank_delay * static_cast<std::int64_t>(rank)) {
        return false;
    }
    ++it.attempts;
    holder_.request(server, next_term(server), now);
    takeovers_[server] = {};
    return true;
}

auto cell_agent::check_leases(time_point now) -> void
{
    if (!log_ || !config_ || !cell_) {
        return;
    }
    std::vector<server_id> ended;
    const auto quorums = membership_.quorums();
    for (const auto& [server, lease] : holder_.leases()) {
        auto abandoned = abandoned_leases_.find(server);
        if (abandoned != abandoned_leases_.end()) {
            if (now >= abandoned->second) {
                ended.push_back(server);
            }
            continue;
        }
        auto end = lease_end(server, lease, quorums);
        auto waiting = !lease.in_force && now < lease.requested_at + request_timeout;
        if (now < end) {
            holder_.set_in_force(server);
            assignments_.renew(server, end);
            advance_takeover(server, lease, now);
        }
        if ((now >= end && !waiting) || !services_.contains(server)) {
            ended.push_back(server);
        }
    }
    for (const auto& it : ended) {
        abandon_lease(it, now);
    }
    if (!ended.empty()) {
        send_list(now);
    }
}

auto cell_agent::abandon_lease(const server_id& server, time_point now) -> void
{
    const auto* lease = holder_.find(server);
    if (lease == nullptr) {
        return;
    }
    assignments_.end_assignment(server);
    writer_.drop(server);
    takeovers_.erase(server);
    auto end = lease_end(server, *lease, membership_.quorums());
    if (now < end && !abandoned_leases_.contains(server)) {
        abandoned_leases_[server] = end;
        return;
    }
    abandoned_leases_.erase(server);
    auto& it = candidacies_[server];
    // Each member waits for a different fraction of the delay, so that requests do not collide
    // again.
    auto jitter = static_cast<std::int64_t>((hash_bytes(self_.instance.value()) + it.attempts) % 4);
    auto max_delay = std::min(rank_delay * static_cast<std::int64_t>(it.attempts), max_retry_delay);
    it.retry_at = std::max(now, lease->other_lease_until) + max_delay * jitter / 4;
    it.free_since.reset();
    holder_.drop(server);
}

auto cell_agent::advance_takeover(const server_id& server, const lease_holder::lease& lease,
                                  time_point now) -> void
{
    auto found = takeovers_.find(server);
    if (found == takeovers_.end()) {
        return;
    }
    auto& it = found->second;
    if (rules_.read_registers_at_takeover && !has_read_majority(lease, it)) {
        read_missing(lease, it, now);
        return;
    }
    if (!it.wait_until) {
        it.wait_until = now + (lease.handed_over ? duration{} : earlier_request_wait(server));
    }
    if (now < *it.wait_until) {
        return;
    }
    auto term = lease.term;
    takeovers_.erase(found);
    candidacies_.erase(server);
    assignments_.begin_assignment(server, term, now);
    assignments_.renew(server, lease_end(server, lease, membership_.quorums()));
    assignments_changed_ = true;
    slots_stale_ = true;
}

auto cell_agent::earlier_request_wait(const server_id& server) const -> duration
{
    const auto* config = config_->find_server(server);
    if (config == nullptr || config->checks_grants) {
        return {};
    }
    const auto* service = config_->find_service(services_.at(server));
    const auto* policy = config_->find_profile(service->profile);
    return lengthened_by_drift(policy == nullptr ? profile{}.max_deadline : policy->max_deadline);
}

auto cell_agent::start_write(const dispatcher_assignments::register_batch& batch) -> void
{
    if (batch.entries.empty()) {
        return;
    }
    writer_.start(batch.server, batch.term, batch.entries);
}

auto cell_agent::advance_writes(time_point now) -> void
{
    for (const auto& it : writer_.take_due(now)) {
        register_write message{
            it.sequence, membership_.active().epoch, membership_.acked(), it.server, it.term,
            it.entries};
        for (const auto& peer : membership_.peers()) {
            auto answered = std::any_of(it.answers.begin(), it.answers.end(), [&](const auto& a) {
                return a.voter == peer && a.epoch == membership_.active().epoch;
            });
            if (!answered) {
                send(peer.instance, message);
            }
        }
        if (may_vote(self_, membership_.acked(), now) && accept_write(message)) {
            writer_.on_answer({self_, membership_.active().epoch}, {it.sequence, 0, 0, true});
        }
    }
    for (const auto& it : writer_.take_committed(membership_.quorums())) {
        registers_.write(it.entries, *log_);
        advance_writes(now);
    }
    writer_.finish(membership_.peers());
}

auto cell_agent::update_hints(time_point now) -> void
{
    dispatcher_hints next;
    for (const auto& [server, service] : services_) {
        const auto* vote = voter_.find(server);
        if (assignments_.holds(server)) {
            next.dispatchers[server] = self_.instance;
        } else if (vote != nullptr && !voter_.is_free(server, now) && vote->holder != self_) {
            next.dispatchers[server] = vote->holder.instance;
        }
    }
    if (next != hints_) {
        hints_ = next;
        actions_.emplace_back(std::move(next));
    }
}

auto cell_agent::is_available(const server_id& server, time_point now) const -> bool
{
    if (assignments_.holds(server)) {
        return !assignments_.is_lost(server);
    }
    const auto* vote = voter_.find(server);
    return vote != nullptr && !voter_.is_free(server, now) && vote->available;
}

auto cell_agent::unrecorded_transfers() const -> std::vector<register_entry>
{
    std::vector<register_entry> out;
    if (!log_) {
        return out;
    }
    registers_.for_each([&](const slot_key& key, const register_value& value) {
        bool is_own = value.committed && value.target && assignments_.holds(value.from);
        if (is_own && !is_recorded(key, value, *log_)) {
            out.push_back({key, value});
        }
    });
    return out;
}

} // namespace cornelswitch
