#include "ownership/cell_agent.h"

#include "core/intervals.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

// Covers two missed heartbeats and some delay. It is shorter than a lease, so that a lost member is
// no longer preferred when its leases expire.
constexpr duration liveness_timeout = std::chrono::milliseconds{500};
// Interval at which a joining member requests the register copies that it has not received yet.
constexpr duration copy_interval = std::chrono::milliseconds{100};

// Whether the message may complete a takeover or a transfer, which then continues before the next
// tick.
auto is_answer(const cell_message& message) -> bool
{
    return std::holds_alternative<lease_votes>(message) ||
           std::holds_alternative<register_copy>(message) ||
           std::holds_alternative<register_written>(message);
}

} // namespace

cell_agent::cell_agent(cell_member self, time_point started, const safety_rules& rules,
                       std::optional<cell_id> cell)
    : self_{self}, rules_{rules}, membership_{self, started, rules}, voter_{started, rules},
      holder_{self, rules}, assignments_{rules}, cell_{cell}
{
}

auto cell_agent::tick(time_point now) -> void
{
    membership_.tick(now);
    refresh_membership();
    send_acknowledgement();
    if (!log_ || !config_ || !cell_) {
        return;
    }
    if (!membership_.missing_copies().empty() && now >= next_copy_read_) {
        next_copy_read_ = now + copy_interval;
        for (const auto& it : membership_.missing_copies()) {
            read_registers(it.instance);
        }
    }
    check_leases(now);
    request_leases(now);
    advance_writes(now);
    if (now >= next_heartbeat_) {
        next_heartbeat_ = now + lease_renewal_interval;
        send_heartbeats(now);
        registers_.drop_recorded(*log_, applied_by_all());
    }
    object_to_claim(now);
    record_server_states(now);
    advance_assignments(now);
    update_hints(now);
}

auto cell_agent::receive(const cell_member& from, const cell_message& message, time_point now)
    -> std::optional<cell_message>
{
    auto& peer = peers_[from.instance];
    if (peer.member != from) {
        peer = {from, std::nullopt, 0, false};
    }
    peer.last_received = now;
    // After a pause of the process, expired leases must end before any message can renew them:
    // meanwhile another holder may have transferred slots.
    check_leases(now);
    auto out = std::visit([&](const auto& it) { return on(from, it, now); }, message);
    refresh_membership();
    if (is_answer(message)) {
        advance_assignments(now);
    }
    return out;
}

auto cell_agent::on(const cell_member& from, const heartbeat& message, time_point now)
    -> std::optional<cell_message>
{
    auto& peer = peers_[from.instance];
    peer.leaving = message.leaving;
    peer.applied_end = std::max(peer.applied_end, message.applied_end);
    membership_.report(from, message.active, message.acked, now);
    note_peer_state(message);
    heartbeat_reply out{message.number, membership_.active().epoch, membership_.acked(),
                        renewal_status::refused, membership_.has_synced()};
    if (may_vote(from, message.acked, now)) {
        out.status = voter_.renew(from, message.digest, now) ? renewal_status::renewed
                                                             : renewal_status::mismatch;
    }
    return out;
}

auto cell_agent::on(const cell_member& from, const heartbeat_reply& message, time_point now)
    -> std::optional<cell_message>
{
    membership_.report(from, message.active, message.acked, now);
    auto sent = holder_.heartbeat_sent_at(message.number);
    if (sent) {
        membership_.report_synced(from, message.has_synced, *sent);
    }
    holder_.on_reply(from, message, now);
    if (message.status == renewal_status::mismatch) {
        send(from.instance,
             holder_.make_list(membership_.active().epoch, membership_.acked(), now));
    }
    return std::nullopt;
}

auto cell_agent::on(const cell_member& from, const lease_list& message, time_point now)
    -> std::optional<cell_message>
{
    membership_.report(from, message.active, message.acked, now);
    lease_votes out{
        message.sequence, membership_.active().epoch, membership_.acked(), registers_.digest(), {}};
    if (may_vote(from, message.acked, now)) {
        out.votes = voter_.vote(from, message, now);
    }
    return out;
}

auto cell_agent::on(const cell_member& from, const lease_votes& message, time_point now)
    -> std::optional<cell_message>
{
    membership_.report(from, message.active, message.acked, now);
    holder_.on_votes(from, message, now);
    note_vote(from, message);
    check_leases(now);
    return std::nullopt;
}

auto cell_agent::on(const cell_member& from, const lease_release& message, time_point)
    -> std::optional<cell_message>
{
    voter_.release(from, message);
    return std::nullopt;
}

auto cell_agent::on(const cell_member&, const register_read& message, time_point)
    -> std::optional<cell_message>
{
    return register_copy{message.sequence, membership_.active().epoch, membership_.acked(),
                         membership_.has_synced(), registers_.entries()};
}

auto cell_agent::on(const cell_member& from, const register_copy& message, time_point now)
    -> std::optional<cell_message>
{
    membership_.report(from, message.active, message.acked, now);
    if (!log_) {
        return std::nullopt;
    }
    registers_.merge(message.entries, *log_);
    if (message.has_synced) {
        membership_.on_copy(from, message.active);
    }
    for (auto& [server, takeover] : takeovers_) {
        auto wanted = takeover.wanted.find(from.instance);
        if (wanted != takeover.wanted.end() && message.sequence >= wanted->second) {
            takeover.copies.push_back({from, message.active});
            takeover.wanted.erase(wanted);
        }
    }
    check_leases(now);
    return std::nullopt;
}

auto cell_agent::on(const cell_member& from, const register_write& message, time_point now)
    -> std::optional<cell_message>
{
    membership_.report(from, message.active, message.acked, now);
    register_written out{message.sequence, membership_.active().epoch, membership_.acked(), false};
    auto all_committed = std::all_of(message.entries.begin(), message.entries.end(),
                                     [](const register_entry& e) { return e.value.committed; });
    if (log_ && (all_committed || may_vote(from, message.acked, now))) {
        out.accepted = accept_write(message);
    }
    return out;
}

auto cell_agent::on(const cell_member& from, const register_written& message, time_point now)
    -> std::optional<cell_message>
{
    membership_.report(from, message.active, message.acked, now);
    writer_.on_answer({from, message.active}, message);
    advance_writes(now);
    return std::nullopt;
}

auto cell_agent::on(const cell_member& from, const membership_ack& message, time_point now)
    -> std::optional<cell_message>
{
    membership_.report(from, message.active, message.epoch, now);
    return std::nullopt;
}

auto cell_agent::on(const cell_member&, const dispatcher_query& message, time_point now)
    -> std::optional<cell_message>
{
    dispatcher_answer out{message.server, {}, {}};
    const auto* own = holder_.find(message.server);
    const auto* vote = voter_.find(message.server);
    if (own != nullptr && assignments_.holds(message.server)) {
        out.dispatcher = self_.instance;
        out.term = own->term;
    } else if (vote != nullptr && !voter_.is_free(message.server, now)) {
        out.dispatcher = vote->holder.instance;
        out.term = vote->term;
    }
    return out;
}

auto cell_agent::on(const cell_member&, const dispatcher_answer&, time_point)
    -> std::optional<cell_message>
{
    return std::nullopt;
}

auto cell_agent::on(const cell_member&, const release_request& message, time_point now)
    -> std::optional<cell_message>
{
    std::vector<slot_index> slots;
    for (const auto& range : message.slots.ranges()) {
        for (auto n = range.first; n <= range.last; ++n) {
            slots.emplace_back(n);
        }
    }
    request_release(message.server, slots, now);
    return std::nullopt;
}

auto cell_agent::may_vote(const cell_member& from, std::uint64_t its_acked, time_point now) const
    -> bool
{
    return membership_.may_vote() && membership_.accepts(from, its_acked) && !voter_.abstains(now);
}

auto cell_agent::accept_write(const register_write& message) -> bool
{
    auto all_committed = std::all_of(message.entries.begin(), message.entries.end(),
                                     [](const register_entry& e) { return e.value.committed; });
    // An epoch that the log records is decided; a writer that does not know this is outdated.
    auto recorded =
        std::any_of(message.entries.begin(), message.entries.end(),
                    [this](const auto& e) { return is_recorded(e.key, e.value, *log_); });
    if (!all_committed && (recorded || !voter_.promise(message.server, message.term))) {
        return false;
    }
    registers_.write(message.entries, *log_);
    return true;
}

auto cell_agent::send(const instance_id& peer, cell_message message) -> void
{
    actions_.emplace_back(send_to_peer{peer, std::move(message)});
}

auto cell_agent::broadcast(const cell_message& message) -> void
{
    for (const auto& it : membership_.peers()) {
        send(it.instance, message);
    }
}

auto cell_agent::send_heartbeats(time_point now) -> void
{
    auto message = holder_.make_heartbeat(now);
    message.active = membership_.active().epoch;
    message.acked = membership_.acked();
    message.applied_end = log_->end().value();
    message.leaving = leaving_;
    message.recovering = membership_.is_recovering();
    broadcast(message);
    if (!may_vote(self_, membership_.acked(), now)) {
        return;
    }
    if (voter_.renew(self_, message.digest, now)) {
        holder_.on_reply(
            self_, {message.number, message.active, message.acked, renewal_status::renewed}, now);
    } else {
        vote_for_self(holder_.make_list(message.active, message.acked, now), now);
    }
}

auto cell_agent::send_acknowledgement() -> void
{
    if (last_sent_ack_ != membership_.acked()) {
        last_sent_ack_ = membership_.acked();
        broadcast(membership_ack{last_sent_ack_, membership_.active().epoch});
    }
}

auto cell_agent::read_registers(const instance_id& peer) -> std::uint32_t
{
    send(peer, register_read{++read_sequence_});
    return read_sequence_;
}

auto cell_agent::ownership_changed(std::shared_ptr<const ownership_state> log, time_point now)
    -> void
{
    log_ = std::move(log);
    slots_stale_ = true;
    refresh_cell(now);
}

auto cell_agent::configuration_changed(std::shared_ptr<const configuration> config, time_point now)
    -> void
{
    config_ = std::move(config);
    slots_stale_ = true;
    assignments_changed_ = true;
    refresh_cell(now);
}

auto cell_agent::refresh_cell(time_point now) -> void
{
    if (!log_ || !config_) {
        return;
    }
    for (const auto& [id, cell] : log_->cells()) {
        if (!cell_ && cell.current.contains(self_.instance)) {
            cell_ = id;
        }
    }
    const auto* cell = cell_ ? log_->find_cell(*cell_) : nullptr;
    if (cell == nullptr) {
        return;
    }
    membership_.apply(*cell, now);
    refresh_services(*cell);
    refresh_membership();
}

auto cell_agent::refresh_services(const cell_state& cell) -> void
{
    services_.clear();
    for (const auto& service : config_->services) {
        for (const auto& it : service.servers) {
            if (std::binary_search(cell.servers.begin(), cell.servers.end(), it.id)) {
                services_[it.id] = service.name;
            }
        }
    }
}

auto cell_agent::on_log_read(time_point read_sent, time_point) -> void
{
    const auto* cell = cell_ && log_ ? log_->find_cell(*cell_) : nullptr;
    // The claimant waits from the time of its claim, so reading the log no longer extends the time
    // for which the cell may serve: a cell that reads the claim but cannot object must stop in
    // time.
    auto claimed = cell != nullptr && cell->claim && rules_.yield_without_log;
    if (!claimed) {
        last_log_contact_ = std::max(last_log_contact_.value_or(read_sent), read_sent);
    }
}

auto cell_agent::handle(const server_lost& message, time_point now) -> void
{
    assignments_.on_lost(message);
    holder_.set_available(message.server, !assignments_.is_lost(message.server));
    assignments_changed_ = true;
    advance_assignments(now);
}

auto cell_agent::handle(const server_available& message, time_point now) -> void
{
    assignments_.on_available(message);
    holder_.set_available(message.server, !assignments_.is_lost(message.server));
    assignments_changed_ = true;
    advance_assignments(now);
}

auto cell_agent::handle(const slots_drained& message, time_point now) -> void
{
    assignments_.on_drained(message);
    assignments_changed_ = true;
    advance_assignments(now);
}

auto cell_agent::append_finished(std::uint64_t ticket, time_point now) -> void
{
    appends_.finish(ticket, now);
}

auto cell_agent::request_release(const server_id& server, const std::vector<slot_index>& slots,
                                 time_point now) -> void
{
    assignments_.request_release(server, slots);
    assignments_changed_ = true;
    advance_assignments(now);
}

auto cell_agent::begin_shutdown(time_point now) -> void
{
    leaving_ = true;
    next_heartbeat_ = now;
}

auto cell_agent::release_all(time_point now) -> void
{
    leaving_ = true;
    std::vector<server_id> servers;
    for (const auto& [server, it] : holder_.leases()) {
        servers.push_back(server);
    }
    for (const auto& it : servers) {
        assignments_.end_assignment(it);
        writer_.drop(it);
    }
    takeovers_.clear();
    abandoned_leases_.clear();
    auto message = holder_.make_release(servers);
    voter_.release(self_, message);
    broadcast(message);
    advance_assignments(now);
}

auto cell_agent::note_peer_state(const heartbeat& message) -> void
{
    auto active = membership_.active().epoch;
    if (message.active > active &&
        (!reported_membership_ || reported_membership_->epoch != message.active)) {
        reported_membership_ = {message.active, message.recovering, message.applied_end};
    }
    if (message.active == active && !message.recovering && membership_.is_recovering()) {
        recovered_at_ = std::min(recovered_at_.value_or(message.applied_end), message.applied_end);
    }
}

auto cell_agent::refresh_membership() -> void
{
    if (!log_) {
        return;
    }
    if (reported_membership_ && log_->end().value() >= reported_membership_->applied_end) {
        membership_.adopt(reported_membership_->epoch, reported_membership_->recovering);
        reported_membership_.reset();
    }
    if (membership_.take_activated()) {
        begin_recovery();
    }
    if (!membership_.is_recovering()) {
        return;
    }
    auto n = std::erase_if(pre_recovery_epochs_, [this](const auto& it) {
        auto view = log_->slot(it.first.service, it.first.slot);
        return view.released || view.epoch > it.second;
    });
    auto recovered = recovered_at_ && log_->end().value() >= *recovered_at_;
    if (pre_recovery_epochs_.empty() || recovered) {
        pre_recovery_epochs_.clear();
        membership_.end_recovery();
    }
    assignments_changed_ = assignments_changed_ || n > 0 || recovered;
}

auto cell_agent::begin_recovery() -> void
{
    pre_recovery_epochs_.clear();
    recovered_at_.reset();
    assignments_changed_ = true;
    if (!membership_.is_recovering()) {
        return;
    }
    for (const auto& [server, service] : services_) {
        for (const auto& it : log_->slots_of(server)) {
            if (!it.released) {
                pre_recovery_epochs_[{it.service, it.slot}] = it.epoch;
            }
        }
    }
}

auto cell_agent::is_grantable(const slot_key& key) const -> bool
{
    return !pre_recovery_epochs_.contains(key);
}

auto cell_agent::refresh_slots() -> void
{
    if (!slots_stale_ && slots_version_ == registers_.version()) {
        return;
    }
    slots_ = find_cell_slots(*log_, registers_, services_);
    slots_version_ = registers_.version();
    slots_stale_ = false;
    assignments_changed_ = true;
}

auto cell_agent::applied_by_all() const -> log_offset
{
    auto lowest = log_->end().value();
    for (const auto& it : membership_.peers()) {
        auto found = peers_.find(it.instance);
        auto known = found != peers_.end() && found->second.member == it;
        lowest = std::min(lowest, known ? found->second.applied_end : 0);
    }
    return log_offset{lowest};
}

auto cell_agent::object_to_claim(time_point now) -> void
{
    const auto* cell = log_->find_cell(*cell_);
    if (cell == nullptr || !cell->claim || !membership_.may_vote()) {
        return;
    }
    auto ticket = appends_.try_start("objection", now);
    if (ticket != 0) {
        actions_.emplace_back(append_record{ticket, objection_record{*cell_, cell->claim->epoch}});
    }
}

auto cell_agent::record_server_states(time_point now) -> void
{
    for (const auto& [server, lost] : assignments_.state_changes(*log_, now)) {
        auto ticket = appends_.try_start("server-state " + server.value(), now);
        if (ticket != 0) {
            actions_.emplace_back(append_record{ticket, server_state_record{*cell_, server, lost}});
        }
    }
}

auto cell_agent::advance_assignments(time_point now) -> void
{
    if (!log_ || !config_ || !cell_) {
        return;
    }
    check_leases(now);
    refresh_slots();
    dispatcher_assignment_context context{
        *config_,
        *log_,
        registers_,
        slots_,
        *cell_,
        [this, now](const server_id& it) { return is_available(it, now); },
        [this](const slot_key& it) { return is_grantable(it); },
    };
    for (const auto& it : assignments_.plan_writes(context, now)) {
        start_write(it);
    }
    advance_writes(now);
    refresh_slots();
    for (auto& it : assignments_.plan_appends(context, appends_, now)) {
        actions_.emplace_back(append_record{it.ticket, std::move(it.body)});
    }
    for (auto& it : assignments_.take_messages(context, assignments_changed_, now)) {
        actions_.emplace_back(std::move(it));
    }
    assignments_changed_ = false;
}

auto cell_agent::is_live(const peer_state& it, time_point now) const -> bool
{
    return it.last_received && now - *it.last_received <= liveness_timeout && !it.leaving;
}

auto cell_agent::take_actions() -> std::vector<cell_action>
{
    return std::exchange(actions_, {});
}

auto cell_agent::status(time_point now) const -> cell_status
{
    cell_status out;
    out.cell = cell_;
    out.active_epoch = membership_.active().epoch;
    out.acked_epoch = membership_.acked();
    const auto* cell = cell_ && log_ ? log_->find_cell(*cell_) : nullptr;
    out.recorded_epoch = cell == nullptr ? 0 : cell->current.epoch;
    out.synced = membership_.is_synced();
    out.recovering = membership_.is_recovering();
    out.votes = membership_.may_vote() && !voter_.abstains(now);
    for (const auto& [server, it] : holder_.leases()) {
        out.leases.push_back(
            {server, it.term, assignments_.holds(server), assignments_.is_lost(server),
             lease_end(server, it, membership_.quorums()), slots_.owned(server).size()});
    }
    out.registers = registers_.size();
    out.writes_in_progress = writer_.size();
    return out;
}

} // namespace cornelswitch
