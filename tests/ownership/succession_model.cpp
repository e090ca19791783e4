#include "tests/ownership/succession_model.h"

#include "tests/ownership/succession_model_parts.h"

#include <algorithm>
#include <utility>

namespace cornelswitch::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_interval = milliseconds{20};
constexpr duration join_interval = milliseconds{600};
constexpr duration membership_ttl = milliseconds{1500};
constexpr duration append_timeout = milliseconds{1000};
constexpr duration release_timeout = milliseconds{2500};
constexpr duration predecessor_request_interval = milliseconds{500};
/// Time without faults at the end of a run, after which every key must be owned.
constexpr duration recovery_time = seconds{25};
/// Longest time for which lost messages may leave keys without an owner after the faults.
constexpr duration max_gap = seconds{6};
/// Time without moves at the end of a run, so that none is in progress when it ends.
constexpr duration last_moves = seconds{6};

auto time_text(time_point at) -> std::string
{
    auto ms = std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
    return std::to_string(ms) + " ms: ";
}

auto keys_text(key_range keys) -> std::string
{
    return " " + std::to_string(keys.first) + "-" + std::to_string(keys.last);
}

} // namespace

succession_model::succession_model(model_options options)
    : options_{std::move(options)}, random_{options_.seed}, end_{time_.now() + options_.length},
      faults_end_{end_ - recovery_time}
{
    for (std::size_t n = 0; n < server_count; ++n) {
        servers_.push_back(std::make_unique<lease_server>());
        servers_.back()->id = server_id{"s" + std::to_string(n)};
        servers_.back()->address = static_cast<int>(n);
        servers_.back()->listed_address = static_cast<int>(n);
    }
    for (std::size_t n = 0; n < instance_count; ++n) {
        instances_.push_back(std::make_unique<instance>());
        auto& it = *instances_.back();
        it.id = instance_id{"i" + std::to_string(n)};
        it.index = n;
        auto drift =
            static_cast<int>(uniform_below(
                random_, 2 * static_cast<std::uint64_t>(options_.max_drift_per_mille) + 1)) -
            options_.max_drift_per_mille;
        it.time = std::make_unique<drifting_clock>(time_, drift);
        start_process(it);
        it.succession->set_first_start();
    }
}

succession_model::~succession_model() = default;

auto succession_model::at(duration delay, std::function<void()> action) -> void
{
    events_.emplace(time_.now() + delay, std::move(action));
}

auto succession_model::deliver(instance& to, duration delay, std::function<void()> action) -> void
{
    at(delay, [this, &to, boot = to.boot, action = std::move(action)]() mutable {
        if (!to.is_up || to.boot != boot) {
            return;
        }
        if (time_.now() < to.frozen_until) {
            deliver(to, to.frozen_until - time_.now(), std::move(action));
            return;
        }
        action();
    });
}

auto succession_model::between(int min_ms, int max_ms) -> duration
{
    auto span = static_cast<std::uint64_t>(max_ms - min_ms) * 1000 + 1;
    return milliseconds{min_ms} + std::chrono::microseconds{uniform_below(random_, span)};
}

auto succession_model::network_delay() -> duration
{
    return chance(0.02) ? between(20, 900) : between(1, 3);
}

auto succession_model::is_cut_from_store(const instance& it) const -> bool
{
    auto now = time_.now();
    return now < it.cut_until || now < it.store_cut_until || now < store_down_until_;
}

auto succession_model::leader() -> instance*
{
    auto newest = store_.newest();
    if (!newest) {
        return nullptr;
    }
    for (auto& it : instances_) {
        if (it->id == newest->coordinator) {
            return it.get();
        }
    }
    return nullptr;
}

auto succession_model::start_process(instance& it) -> void
{
    it.is_up = true;
    it.boot = boot_id{++last_boot_};
    it.succession = std::make_unique<coordinator_succession>(
        it.id, it.boot, endpoint{"i", static_cast<std::uint16_t>(it.index)});
    it.channels.clear();
    it.addresses.clear();
    it.eras = {};
    it.read_end = 0;
    it.append_end = 0;
    it.is_loaded = false;
    it.is_reading = false;
    it.queued = append_kind::none;
    it.is_appending = false;
    it.is_taking_over = false;
    it.needs_read = false;
    it.next_read = {};
    it.next_join = {};
    it.membership_until = {};
    it.next_directory_read = {};
    deliver(it, between(1, 20), [this, &it] { tick(it); });
}

auto succession_model::end_process(instance& it) -> void
{
    it.is_up = false;
    it.frozen_until = {};
    it.ranges.reset();
    it.channels.clear();
    ++it.term_number;
}

auto succession_model::tick(instance& it) -> void
{
    auto now = it.time->now();
    read_directory(it);
    if (!it.is_reading && now >= it.next_read) {
        read_store(it);
    }
    if (now >= it.next_join) {
        join(it);
    }
    if (it.succession->needs_takeover(now) && !it.is_taking_over) {
        it.is_taking_over = true;
        it.queued = append_kind::takeover;
        start_append(it);
    }
    if (it.succession->role().is_held() && it.ranges) {
        ask_predecessor(it);
        plan(it);
        it.ranges->tick(now);
        if (it.succession->needs_range_record(*it.ranges, now)) {
            it.queued = append_kind::ranges;
            start_append(it);
        }
    }
    deliver(it, tick_interval, [this, &it] { tick(it); });
}

auto succession_model::join(instance& it) -> void
{
    auto now = it.time->now();
    it.next_join = now + join_interval;
    if (!it.is_loaded) {
        return;
    }
    if (is_cut_from_store(it) || chance(0.05)) {
        if (now > it.membership_until) {
            it.succession->set_assigned(false, now);
        }
        return;
    }
    deliver(it, between(2, 20), [this, &it, now, era = named_era()] {
        if (classify(it, era) == era_class::stale) {
            return;
        }
        it.membership_until = now + membership_ttl;
        it.succession->set_assigned(assigned_ == it.index, now);
    });
}

auto succession_model::read_store(instance& it) -> void
{
    it.is_reading = true;
    auto sent_at = it.time->now();
    bool is_coordinator = it.succession->role().is_held();
    it.next_read = sent_at + (is_coordinator ? milliseconds{200} : between(200, 900));
    if (is_cut_from_store(it) || chance(0.02)) {
        deliver(it, milliseconds{1200}, [&it] { it.is_reading = false; });
        return;
    }
    auto delay = chance(0.05) ? between(50, 800) : between(1, 5);
    at(delay, [this, &it, boot = it.boot, sent_at, asked_in = it.eras.era()] {
        if (!it.is_up || it.boot != boot) {
            return;
        }
        // A read from an offset that the store does not have gets 410, and is followed by one of
        // all records.
        auto first = it.read_end <= store_.end() ? it.read_end : 0;
        bool is_lost = is_cut_from_store(it);
        deliver(it, is_lost ? milliseconds{1000} : network_delay(),
                [this, &it, end = store_.end(), records = store_.since(first), sent_at, is_lost,
                 asked_in, era = named_era()] {
                    it.is_reading = false;
                    // A read that was sent before the era was known continues an earlier copy.
                    bool is_usable = !is_lost && classify(it, era) == era_class::current &&
                                     asked_in == it.eras.era();
                    if (is_usable) {
                        on_read(it, end, records, sent_at);
                    }
                });
    });
}

auto succession_model::on_read(instance& it, std::size_t end,
                               const std::vector<coordinator_record>& records, time_point sent_at)
    -> void
{
    bool is_first = !std::exchange(it.is_loaded, true);
    if (is_first || end > it.read_end) {
        it.read_end = end;
        // A late append of an earlier era may follow the newest record.
        std::optional<coordinator_record> newest;
        for (const auto& record : records) {
            newest = !newest || record.era >= newest->era ? record : *newest;
        }
        bool is_mine = newest && it.succession->role().is_mine(*newest);
        auto change = it.succession->on_record(newest, it.time->now());
        if (change == role_change::start) {
            become_coordinator(it, *newest, sent_at);
        } else if (change == role_change::stop) {
            step_down(it);
        }
        if (is_mine && it.ranges && it.succession->role().is_held()) {
            it.ranges->confirm(sent_at);
        }
    }
    if (it.succession->role().is_held() && it.ranges) {
        it.ranges->confirm(sent_at);
    }
    it.needs_read = false;
    start_append(it);
}

auto succession_model::start_append(instance& it) -> void
{
    if (it.is_appending || it.needs_read || it.queued == append_kind::none || !it.is_loaded) {
        return;
    }
    auto kind = std::exchange(it.queued, append_kind::none);
    auto next = std::optional<coordinator_record>{};
    if (kind == append_kind::takeover) {
        next = it.succession->make_takeover_record(it.ranges.get());
        it.is_taking_over = next.has_value();
    } else if (it.ranges) {
        next = it.succession->make_range_record(*it.ranges, it.time->now());
    }
    if (!next) {
        return;
    }
    it.is_appending = true;
    auto era = it.eras.era();
    auto expected_end = std::max(it.read_end, it.append_end);
    bool is_sent = !is_cut_from_store(it);
    // An append may take effect late, or its answer may be lost.
    bool is_late = chance(0.03);
    bool is_answer_lost = is_late || chance(0.05);
    auto answered = std::make_shared<bool>(false);
    auto sent_at = it.time->now();
    if (is_sent) {
        repeat_append(*next, expected_end);
        at(is_late ? between(100, 3000) : between(2, 12), [=, this, &it, boot = it.boot] {
            bool is_stored = store_.append(*next, expected_end, time_.now());
            result_.terms += is_stored && kind == append_kind::takeover ? 1 : 0;
            if (is_answer_lost || !it.is_up || it.boot != boot || is_cut_from_store(it)) {
                return;
            }
            deliver(it, network_delay(), [=, this, &it, end = store_.end(), named = named_era()] {
                if (*answered || classify(it, named) == era_class::stale) {
                    return;
                }
                *answered = true;
                it.is_appending = false;
                // The condition was read in an earlier era than that of the response.
                bool is_across_eras = named != era && named != store_era{};
                if (!is_stored || is_across_eras) {
                    on_append_failed(it, kind);
                    return;
                }
                it.append_end = end;
                if (kind == append_kind::takeover) {
                    it.is_taking_over = false;
                    if (it.succession->on_takeover_stored()) {
                        become_coordinator(it, *it.succession->record(), sent_at);
                    }
                } else if (it.ranges) {
                    it.succession->on_range_record_stored(*it.ranges, sent_at, it.time->now());
                }
                start_append(it);
            });
        });
    }
    deliver(it, append_timeout, [=, this, &it] {
        if (!std::exchange(*answered, true)) {
            it.is_appending = false;
            on_append_failed(it, kind);
        }
    });
}

auto succession_model::on_append_failed(instance& it, append_kind kind) -> void
{
    if (it.queued == append_kind::none) {
        it.queued = kind;
    }
    it.needs_read = true;
    it.next_read = {};
}

auto succession_model::become_coordinator(instance& it, const coordinator_record& mine,
                                          time_point confirmed_at) -> void
{
    trace(it.id.value() + " starts term " + std::to_string(mine.term.value()));
    it.is_taking_over = false;
    if (it.ranges) {
        // The coordinator starts another term in a new era. The calls of the old one end here.
        it.ranges->stop();
        at(duration::zero(), [retired = std::shared_ptr<range_authority>{std::move(it.ranges)}] {});
    }
    it.channels.clear();
    ++it.term_number;
    it.ranges = std::make_unique<range_authority>(range_lease_settings{}, *it.time, make_hooks(it));
    it.next_directory_read = {};
    read_directory(it);
    it.succession->start_term(mine, it.ranges.get(), confirmed_at, it.time->now());
    it.next_directory_read = {};
    read_directory(it);
    it.next_request = {};
    ask_predecessor(it);
}

auto succession_model::step_down(instance& it) -> void
{
    trace(it.id.value() + " stops");
    it.is_taking_over = false;
    it.succession->end_term(it.ranges.get(), it.time->now());
    it.channels.clear();
    ++it.term_number;
    // Deferred, because one of its callbacks may be running.
    at(duration::zero(), [retired = std::shared_ptr<range_authority>{std::move(it.ranges)}] {});
}

auto succession_model::ask_predecessor(instance& it) -> void
{
    auto now = it.time->now();
    if (!it.succession->needs_stop_confirmation(now) || now < it.next_request) {
        return;
    }
    it.next_request = now + predecessor_request_interval;
    auto& to = *instances_.at(it.succession->predecessor()->address.port);
    auto term = it.succession->role().term();
    if (!to.is_up || time_.now() < it.cut_until || time_.now() < to.cut_until) {
        return;
    }
    deliver(to, network_delay(), [this, &it, &to, term, boot = it.boot, era = it.eras.era()] {
        on_peer_era(to, era);
        if (to.succession->on_superseded(term, to.time->now())) {
            step_down(to);
        }
        if (to.succession->role().is_held() || time_.now() < to.cut_until || it.boot != boot) {
            return;
        }
        auto answer = to.succession->make_stop_confirmation(to.time->now());
        deliver(it, network_delay(), [this, &it, term, answer] {
            if (it.succession->role().is_held() && it.succession->role().term() == term) {
                trace(it.id.value() + " gets the confirmation of term " +
                      std::to_string(answer.last_term.value()));
                it.succession->on_predecessor_stopped(answer, it.ranges.get(), it.time->now());
            }
        });
    });
}

auto succession_model::read_directory(instance& it) -> void
{
    if (it.time->now() < it.next_directory_read) {
        return;
    }
    it.next_directory_read = it.time->now() + between(200, 900);
    if (!is_cut_from_store(it)) {
        it.addresses.clear();
        for (const auto& server : servers_) {
            if (server->listed_incarnation != 0) {
                it.addresses[server->id] = server->listed_address;
            }
        }
    }
    if (!it.ranges || is_cut_from_store(it)) {
        return;
    }
    std::vector<server_process> listed;
    for (const auto& server : servers_) {
        if (server->listed_incarnation != 0) {
            listed.push_back({server->id, server->listed_incarnation});
        }
    }
    it.ranges->set_servers(listed, it.time->now());
}

auto succession_model::plan(instance& it) -> void
{
    auto now = it.time->now();
    if (now < it.next_plan || !it.ranges->may_plan(now)) {
        return;
    }
    it.next_plan = now + between(50, 1500);
    constexpr std::uint32_t block_size = numeric_keys / blocks;
    auto first = uniform_below(random_, blocks);
    auto last = std::min<std::uint64_t>(blocks - 1, first + uniform_below(random_, 3));
    const auto& target = servers_.at(uniform_below(random_, server_count))->id;
    key_range keys{static_cast<std::uint16_t>(first * block_size),
                   static_cast<std::uint16_t>((last + 1) * block_size - 1)};
    if (time_.now() < end_ - last_moves) {
        ++result_.moves;
        it.ranges->move(keys, target, now);
    }
    // As the planner does, gives the ranges without an owner to some server.
    for (const auto& status : it.ranges->statuses()) {
        if (status.phase == range_phase::unowned) {
            it.ranges->move(status.keys, servers_.at(uniform_below(random_, server_count))->id,
                            now);
        }
    }
}

auto succession_model::channel(instance& it, const server_id& server) -> call_channel&
{
    auto& out = it.channels[server];
    auto known = it.addresses.find(server);
    if (out.number == 0 || (known != it.addresses.end() && known->second != out.address)) {
        out = {};
        out.number = ++it.last_connection;
        out.address = known == it.addresses.end() ? -1 : known->second;
    }
    return out;
}

auto succession_model::connect(instance& it, lease_server& server, bool is_for_grants) -> error_code
{
    auto& to = channel(it, server.id);
    auto& conn = is_for_grants ? to.grants : to.releases;
    if (conn) {
        return error_code::internal;
    }
    if (time_.now() < it.server_cut_until[server.id] || !server.is_up || to.address < 0) {
        return error_code::connection_refused;
    }
    if (to.address != server.address) {
        // Another server uses the address.
        return error_code::not_found;
    }
    conn = connection{server.incarnation, ++it.last_connection};
    return error_code::internal;
}

auto succession_model::close_connection(instance& it, const server_id& server, bool is_for_grants)
    -> void
{
    auto& to = channel(it, server);
    (is_for_grants ? to.grants : to.releases).reset();
    if (is_for_grants && it.ranges) {
        it.ranges->on_connection_lost(server);
    }
}

auto succession_model::make_hooks(instance& it) -> range_authority::hooks
{
    range_authority::hooks out;
    out.grant = [this, &it](const server_id& server, key_range keys, fencing_token token,
                            duration lease, const std::string&,
                            std::function<void(result<void>)> done) {
        auto deadline = it.time->now() + range_lease_settings{}.call_timeout;
        channel(it, server).queue.push_back({keys, token, lease, deadline, std::move(done)});
        send_next_grant(it, server);
    };
    out.release = [this, &it](const server_id& id, key_range keys, fencing_token token,
                              std::function<void(result<std::string>)> done) {
        auto& server = **std::ranges::find_if(servers_, [&](const auto& s) { return s->id == id; });
        auto term = it.term_number;
        auto is_answered = std::make_shared<bool>(false);
        auto finish = [this, &it, term, is_answered, id, number = channel(it, id).number,
                       done](result<std::string> outcome) {
            if (it.term_number != term || it.channels[id].number != number ||
                std::exchange(*is_answered, true)) {
                return;
            }
            if (outcome.has_error()) {
                close_connection(it, id, false);
            }
            done(std::move(outcome));
        };
        auto failure = connect(it, server, false);
        if (failure != error_code::internal) {
            deliver(it, between(1, 400), [finish, failure] {
                finish(error{failure, "release", {}, ""});
            });
            return;
        }
        auto conn = *channel(it, id).releases;
        deliver(it, release_timeout, [finish] {
            finish(error{error_code::timeout, "release", {}, ""});
        });
        if (time_.now() < it.server_cut_until[id]) {
            return;
        }
        at(network_delay(), [=, this, &it, &server, boot = it.boot] {
            if (*is_answered || !it.is_up || it.boot != boot || it.term_number != term) {
                return;
            }
            if (!server.is_up || server.incarnation != conn.incarnation) {
                deliver(it, between(1, 3), [finish] {
                    finish(error{error_code::connection_lost, "release", {}, ""});
                });
                return;
            }
            constexpr std::uint32_t block_size = numeric_keys / blocks;
            for (auto n = keys.first / block_size; n <= keys.last / block_size; ++n) {
                auto& state = server.state.at(n);
                state.highest = std::max(state.highest, token);
                state.held_until = {};
            }
            trace(id.value() + " releases" + keys_text(keys) + " to " + it.id.value() +
                  " with token " + std::to_string(token.value()));
            check("release by " + it.id.value());
            if (!chance(0.03)) {
                // The server answers when the requests on these keys have ended.
                deliver(it, chance(0.1) ? between(20, 500) : between(1, 4),
                        [finish] { finish(std::string{}); });
            }
        });
    };
    out.report = [this, &it](std::string_view event, const range_status& range, fencing_token token,
                             const server_id& previous) {
        trace(it.id.value() + keys_text(range.keys) + " " + std::string{event} + " " +
              std::string{to_string(range.phase)} + " owner " +
              (range.owner ? range.owner->value() : "-") + " previous " + previous.value() +
              " token " + std::to_string(token.value()));
    };
    return out;
}

auto succession_model::send_next_grant(instance& it, const server_id& id) -> void
{
    auto& to = channel(it, id);
    if (to.is_busy || to.queue.empty()) {
        return;
    }
    auto grant = std::move(to.queue.front());
    to.queue.pop_front();
    to.is_busy = true;
    auto term = it.term_number;
    auto is_answered = std::make_shared<bool>(false);
    auto finish = [this, &it, term, is_answered, id, number = to.number,
                   done = grant.done](result<void> outcome) {
        if (it.term_number != term || it.channels[id].number != number ||
            std::exchange(*is_answered, true)) {
            return;
        }
        it.channels[id].is_busy = false;
        bool keeps_connection = outcome.has_value() || outcome.error().code == error_code::conflict;
        done(outcome);
        if (it.term_number != term) {
            return;
        }
        if (!keeps_connection) {
            close_connection(it, id, true);
        }
        send_next_grant(it, id);
    };
    auto left = grant.deadline - it.time->now();
    if (left <= duration::zero()) {
        deliver(it, duration::zero(), [finish] {
            finish(error{error_code::connection_refused, "grant", {}, "not sent in time"});
        });
        return;
    }
    auto& server = **std::ranges::find_if(servers_, [&](const auto& s) { return s->id == id; });
    auto failure = connect(it, server, true);
    if (failure != error_code::internal) {
        deliver(it, std::min(left, between(1, 400)), [finish, failure] {
            finish(error{failure, "grant", {}, ""});
        });
        return;
    }
    auto conn = *to.grants;
    deliver(it, left, [finish] { finish(error{error_code::timeout, "grant", {}, ""}); });
    if (time_.now() < it.server_cut_until[id]) {
        return;
    }
    at(network_delay(), [=, this, &it, &server, boot = it.boot] {
        // A call that was given up is reset, so it does not arrive any more.
        if (*is_answered || !it.is_up || it.boot != boot || it.term_number != term) {
            return;
        }
        if (!server.is_up || server.incarnation != conn.incarnation) {
            deliver(it, between(1, 3), [finish] {
                finish(error{error_code::connection_lost, "grant", {}, ""});
            });
            return;
        }
        auto arrived_at = time_.now();
        if (chance(0.02)) {
            // Without an answer, a grant may be applied seconds later.
            at(between(50, 3000), [=, this, &server] {
                if (server.is_up && server.incarnation == conn.incarnation) {
                    apply_grant(server, grant.keys, grant.token, grant.lease, arrived_at);
                }
            });
            return;
        }
        bool is_accepted = apply_grant(server, grant.keys, grant.token, grant.lease, arrived_at);
        if (chance(0.02)) {
            return;
        }
        deliver(it, network_delay(), [finish, is_accepted] {
            finish(is_accepted ? result<void>{success()}
                               : error{error_code::conflict, "grant", {}, ""});
        });
    });
}

auto succession_model::apply_grant(lease_server& server, key_range keys, fencing_token token,
                                   duration lease, time_point arrived_at) -> bool
{
    constexpr std::uint32_t block_size = numeric_keys / blocks;
    auto first = keys.first / block_size;
    auto last = keys.last / block_size;
    for (auto n = first; n <= last; ++n) {
        if (server.state.at(n).highest > token) {
            return false;
        }
    }
    for (auto n = first; n <= last; ++n) {
        auto& state = server.state.at(n);
        state.highest = token;
        // The server's clock may run 2% slow.
        state.held_until = std::max(state.held_until, arrived_at + lease + lease / 50);
        auto& [highest, holder] = highest_.at(n);
        if (state.held_until > time_.now() && holder != server.id && token <= highest) {
            report(server.id.value() + " takes block " + std::to_string(n) + " with token " +
                   std::to_string(token.value()) + ", " + holder.value() + " had " +
                   std::to_string(highest.value()));
        }
        if (token > highest) {
            highest = token;
            holder = server.id;
        }
    }
    trace(server.id.value() + " takes" + keys_text(keys) + " with token " +
          std::to_string(token.value()));
    check("grant to " + server.id.value());
    return true;
}

auto succession_model::restart_server(lease_server& server) -> void
{
    if (!server.is_up) {
        return;
    }
    ++result_.restarts;
    trace(server.id.value() + " ends");
    server.is_up = false;
    server.state = {};
    auto is_lapsed = chance(0.3);
    auto downtime = is_lapsed ? between(2700, 5000) : between(20, 2000);
    // Its connections are reset when the process ends, or stay silent.
    bool is_silent = chance(0.3);
    if (!is_silent) {
        for (auto& it : instances_) {
            deliver(*it, between(1, 3),
                    [this, &it = *it, id = server.id, incarnation = server.incarnation] {
                        for (bool is_for_grants : {true, false}) {
                            auto& to = channel(it, id);
                            auto& conn = is_for_grants ? to.grants : to.releases;
                            if (conn && conn->incarnation == incarnation) {
                                close_connection(it, id, is_for_grants);
                            }
                        }
                    });
        }
    }
    if (is_lapsed) {
        at(milliseconds{2600}, [&server, incarnation = server.incarnation] {
            if (server.listed_incarnation == incarnation) {
                server.listed_incarnation = 0;
            }
        });
    }
    at(downtime, [this, &server] {
        trace(server.id.value() + " starts again");
        server.is_up = true;
        ++server.incarnation;
        server.address += chance(0.3) ? static_cast<int>(server_count) : 0;
        auto listing = chance(0.2) ? between(500, 4000) : between(1, 400);
        at(listing, [&server, incarnation = server.incarnation, address = server.address] {
            if (server.incarnation == incarnation) {
                server.listed_incarnation = incarnation;
                server.listed_address = address;
            }
        });
    });
}

auto succession_model::inject_fault() -> void
{
    auto now = time_.now();
    if (now >= faults_end_) {
        return;
    }
    auto* current = leader();
    auto& it = current != nullptr && chance(0.6)
                   ? *current
                   : *instances_.at(uniform_below(random_, instance_count));
    if (options_.changes_coordinators) {
        switch (uniform_below(random_, 7)) {
        case 0:
            it.cut_until = now + between(500, 12'000);
            trace(it.id.value() + " is cut off from instances and store until " +
                  time_text(it.cut_until));
            break;
        case 1:
            it.store_cut_until = now + between(500, 8000);
            trace(it.id.value() + " is cut off from the store until " +
                  time_text(it.store_cut_until));
            break;
        case 2:
            store_down_until_ = now + between(200, 6000);
            trace("the store is down until " + time_text(store_down_until_));
            break;
        case 3:
            if (it.is_up) {
                trace(it.id.value() + " is killed");
                end_process(it);
                at(between(100, 4000), [this, &it] {
                    if (!it.is_up) {
                        start_process(it);
                    }
                });
            }
            break;
        case 4:
            it.frozen_until = now + between(200, 9000);
            trace(it.id.value() + " is frozen until " + time_text(it.frozen_until));
            break;
        default:
            assigned_ = uniform_below(random_, instance_count);
            break;
        }
        if (chance(0.5)) {
            assigned_ = uniform_below(random_, instance_count);
        }
    }
    auto& server = *servers_.at(uniform_below(random_, server_count));
    if (options_.restarts_servers && chance(0.5)) {
        restart_server(server);
    }
    if (chance(0.2)) {
        it.server_cut_until[server.id] = now + between(200, 6000);
        trace(it.id.value() + " does not reach " + server.id.value() + " until " +
              time_text(it.server_cut_until[server.id]));
    }
    // Faults come in groups, so that several act together.
    auto pause = chance(0.7) ? between(50, 1500) : between(2000, 8000);
    at(pause, [this] { inject_fault(); });
}

auto succession_model::report(const std::string& text) -> void
{
    trace("VIOLATION " + text);
    result_.violations.push_back(time_text(time_.now()) + text);
}

auto succession_model::trace(const std::string& text) const -> void
{
    if (options_.trace) {
        options_.trace(time_text(time_.now()) + text);
    }
}

auto succession_model::check(const std::string& event) -> void
{
    for (std::size_t n = 0; n < blocks; ++n) {
        std::string holders;
        int count = 0;
        for (const auto& server : servers_) {
            if (server->holds(n, time_.now())) {
                ++count;
                holders += " " + server->id.value();
            }
        }
        if (count > 1) {
            report("block " + std::to_string(n) + " is held by" + holders + " after " + event);
        }
    }
}

auto succession_model::run() -> model_result
{
    at(seconds{2}, [this] { inject_fault(); });
    if (options_.restores_store) {
        at(between(3000, 12'000), [this] { start_restores(); });
    }
    // The store reassigns the role of an instance that cannot renew its membership.
    std::function<void()> reassign = [this, &reassign] {
        auto& it = *instances_.at(assigned_);
        if (!it.is_up || is_cut_from_store(it) || time_.now() < it.frozen_until) {
            assigned_ = uniform_below(random_, instance_count);
        }
        at(milliseconds{900}, reassign);
    };
    at(seconds{1}, reassign);
    while (!events_.empty() && result_.violations.empty()) {
        auto first = events_.begin();
        if (first->first > end_) {
            break;
        }
        if (first->first > time_.now()) {
            time_.advance(first->first - time_.now());
        }
        auto action = std::move(first->second);
        events_.erase(first);
        action();
        for (std::size_t n = 0; n < blocks; ++n) {
            bool is_held = std::ranges::any_of(
                servers_, [&](const auto& it) { return it->holds(n, time_.now()); });
            last_held_.at(n) = is_held ? time_.now() : last_held_.at(n);
        }
    }
    for (auto at : last_held_) {
        result_.unowned_blocks += at < end_ - max_gap ? 1 : 0;
    }
    return result_;
}

} // namespace cornelswitch::test
