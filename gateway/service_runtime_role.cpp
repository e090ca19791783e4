#include "gateway/service_runtime.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// Fencing tokens reserved for one term. Each move of a range uses a few, so they suffice for any
/// term.
constexpr std::uint64_t tokens_per_term = 1U << 20U;
/// Shortest interval between two records of the owners; readers are billed for each record.
constexpr duration record_interval = milliseconds{1500};
/// Time that the other instances get to connect to a new coordinator.
constexpr duration connect_grace = std::chrono::seconds{3};
/// A coordinator that reaches less than half of the other instances for this time resigns.
constexpr duration cut_off_tolerance = milliseconds{700};
/// Interval of attempts to reach the previous coordinator, longer than the connect timeout.
constexpr duration predecessor_request_interval = milliseconds{500};

} // namespace

auto service_runtime::on_record(const std::optional<coordinator_record>& record,
                                time_point confirmed_at) -> void
{
    bool is_mine = record && role_.is_mine(*record);
    bool is_new = record != record_;
    auto previous = std::exchange(record_, record);
    if (is_new) {
        recorded_ranges_.clear();
        if (record_) {
            for (const auto& range : record_->ranges) {
                recorded_ranges_.emplace(range.keys.first, range);
            }
        }
    }
    auto change = role_.on_record(record, context_.time.now());
    if (change == role_change::start) {
        become_coordinator(*record);
    }
    if (is_mine) {
        on_confirmed(confirmed_at);
    }
    if (change == role_change::stop) {
        step_down("superseded in the store");
    }
    if (is_new && !is_mine && previous && record_ &&
        previous->coordinator != record_->coordinator) {
        // The previous coordinator may not know yet that it was replaced and may never decide.
        reclaim_requests(previous->coordinator);
        on_link(record_->coordinator, context_.mesh.is_up(record_->coordinator));
    }
}

auto service_runtime::on_confirmed(time_point confirmed_at) -> void
{
    if (role_.is_held() && ranges_) {
        ranges_->authority().confirm(confirmed_at);
    }
}

auto service_runtime::take_over() -> void
{
    is_taking_over_ = true;
    context_.store.write(
        key(),
        [this]() -> std::optional<std::string> {
            bool is_mine = record_ && role_.is_mine(*record_);
            if (!role_.is_wanted() || is_mine) {
                is_taking_over_ = false;
                return std::nullopt;
            }
            predecessor_ = record_;
            coordinator_record next;
            next.coordinator = context_.settings.node;
            next.boot = context_.boot;
            next.address = context_.settings.peer_address;
            next.term = lease_term{record_ ? record_->term.value() + 1 : 1};
            auto first = record_ ? record_->token_limit.value() : 1;
            next.token_limit = fencing_token{first + tokens_per_term};
            next.revision = ++write_revision_;
            next.has_no_live_predecessor = !record_;
            if (record_) {
                next.ranges = record_->ranges;
            }
            last_written_record_ = next;
            return encode_coordinator_record(next);
        },
        [this, alive = alive_] {
            if (*alive && last_written_record_) {
                record_ = last_written_record_;
                is_taking_over_ = false;
                if (role_.start(last_written_record_->term)) {
                    become_coordinator(*last_written_record_);
                }
            }
        });
}

auto service_runtime::become_coordinator(const coordinator_record& mine) -> void
{
    is_taking_over_ = false;
    auto now = context_.time.now();
    coordinator_since_ = now;
    cut_off_since_ = {};
    std::vector<instance_id> asked_instances;
    for (const auto& [id, pending] : pending_) {
        if (pending.asked_instance) {
            asked_instances.push_back(*pending.asked_instance);
        }
    }
    for (const auto& node : asked_instances) {
        reclaim_requests(node);
    }
    // A previous process of this instance has ended and grants no leases any more. The coordinator
    // before that process may still grant some, unless the record says that it had stopped.
    bool is_own_restart = predecessor_ && predecessor_->has_no_live_predecessor &&
                          predecessor_->coordinator == context_.settings.node;
    bool has_live_predecessor = predecessor_ && !is_own_restart;
    is_predecessor_stopped_ = !has_live_predecessor;
    scheduler_.configure(make_admission_settings(), now);
    if (service_.is_keyed) {
        ranges_ = std::make_unique<range_coordinator>(context_.loop, context_.time, context_.log,
                                                      context_.directory, service_.name,
                                                      range_lease_settings{});
        auto first = fencing_token{mine.token_limit.value() - tokens_per_term};
        ranges_->update_servers(now);
        auto& authority = ranges_->authority();
        authority.take_over(mine.ranges, first, mine.token_limit,
                            has_live_predecessor ? std::optional{now} : std::nullopt, now);
        authority.confirm(now);
        ranges_->update_servers(now);
        last_recorded_revision_ = authority.revision();
    }
    context_.log.line("coordinator-start")
        .text("service", service_.name.value())
        .number("term", static_cast<std::int64_t>(mine.term.value()))
        .text("predecessor", predecessor_ ? predecessor_->coordinator.value() : "")
        .number("ranges", static_cast<std::int64_t>(mine.ranges.size()));
    context_.metrics.count("coordinator_starts_total");
    context_.on_role_change();
    next_predecessor_request_ = {};
    if (predecessor_link_) {
        // The link belongs to an earlier term. Its destruction is deferred, because one of its
        // handlers may be running.
        auto retired = std::shared_ptr<peer_link>{std::move(predecessor_link_)};
        context_.loop.schedule(duration::zero(), [retired] {});
    }
    request_predecessor_stop();
}

auto service_runtime::step_down(std::string_view cause) -> void
{
    is_taking_over_ = false;
    stopped_ranges_.clear();
    stopped_at_ = context_.time.now();
    if (ranges_) {
        ranges_->authority().stop();
        stopped_ranges_ = ranges_->authority().transfer(stopped_at_);
        // The destruction is deferred, because one of its handlers may be running.
        auto retired = std::shared_ptr<range_coordinator>{std::move(ranges_)};
        context_.loop.schedule(duration::zero(), [retired] {});
    }
    scheduler_.configure(make_admission_settings(), stopped_at_);
    context_.log.line("coordinator-stop")
        .text("service", service_.name.value())
        .text("cause", cause);
}

auto service_runtime::request_predecessor_stop() -> void
{
    auto now = context_.time.now();
    bool needs_confirmation =
        !is_predecessor_stopped_ && (!ranges_ || !ranges_->authority().is_sole(now));
    bool is_link_open = predecessor_link_ && predecessor_link_->is_open();
    if (!needs_confirmation || is_link_open || now < next_predecessor_request_) {
        return;
    }
    auto term = role_.term();
    next_predecessor_request_ = now + predecessor_request_interval;
    peer_link::connect(
        context_.loop, predecessor_->address,
        [this, term, alive = alive_](std::unique_ptr<tcp_stream> stream) {
            if (!*alive || !stream || term != role_.term() || !role_.is_held()) {
                return;
            }
            predecessor_link_ = std::make_unique<peer_link>(context_.loop, std::move(stream));
            peer_link::handlers handlers;
            handlers.on_message = [this, term, alive = alive_](const peer_message& message) {
                const auto* stopped = std::get_if<role_stopped>(&message);
                if (*alive && stopped != nullptr && stopped->service == service_.name &&
                    stopped->term == term) {
                    on_predecessor_stopped(*stopped);
                }
            };
            predecessor_link_->start(std::move(handlers));
            predecessor_link_->send(peer_hello{context_.fleet.self(), context_.boot, false});
            predecessor_link_->send(role_superseded{service_.name, term});
        });
}

auto service_runtime::on_predecessor_stopped(const role_stopped& answer) -> void
{
    if (answer.term != role_.term()) {
        return;
    }
    is_predecessor_stopped_ = true;
    if (!ranges_) {
        return;
    }
    auto now = context_.time.now();
    auto& authority = ranges_->authority();
    authority.set_predecessor_end(now);
    // The ranges are only up to date if no other coordinator served between that one and this one.
    bool is_direct_predecessor = predecessor_ && answer.last_term == predecessor_->term;
    if (is_direct_predecessor) {
        authority.accept_transfer(answer.ranges, now);
        next_record_time_ = now;
    }
    context_.log.line("predecessor-stopped")
        .text("service", service_.name.value())
        .number("last_term", static_cast<std::int64_t>(answer.last_term.value()))
        .number("ranges",
                is_direct_predecessor ? static_cast<std::int64_t>(answer.ranges.size()) : 0);
}

auto service_runtime::make_stop_confirmation(lease_term successor) const -> role_stopped
{
    role_stopped out{service_.name, successor, role_.term(), stopped_ranges_};
    auto age = context_.time.now() - stopped_at_;
    for (auto& range : out.ranges) {
        range.confirmed_age += age;
        range.free_in -= age;
    }
    return out;
}

auto service_runtime::record_ranges(time_point now) -> void
{
    if (!ranges_ || !record_ || (now < next_record_time_ && !ranges_->authority().needs_record())) {
        return;
    }
    bool is_sole = ranges_->authority().is_sole(now);
    auto& authority = ranges_->authority();
    if (authority.revision() == last_recorded_revision_ &&
        is_sole == record_->has_no_live_predecessor) {
        return;
    }
    last_recorded_revision_ = authority.revision();
    next_record_time_ = now + record_interval;
    if (authority.ranges_to_record() == record_->ranges &&
        is_sole == record_->has_no_live_predecessor) {
        authority.on_recorded(last_recorded_revision_, now);
        return;
    }
    context_.store.write(
        key(),
        [this]() -> std::optional<std::string> {
            if (!role_.is_held() || !ranges_ || !record_) {
                return std::nullopt;
            }
            if (last_written_record_ && record_->revision == last_written_record_->revision) {
                // The previous append got no response but took effect.
                ranges_->authority().on_recorded(last_written_ranges_revision_,
                                                 context_.time.now());
                if (ranges_->authority().revision() == last_written_ranges_revision_) {
                    return std::nullopt;
                }
            }
            auto next = *record_;
            next.ranges = ranges_->authority().ranges_to_record();
            last_written_ranges_revision_ = ranges_->authority().revision();
            next.has_no_live_predecessor = ranges_->authority().is_sole(context_.time.now());
            next.revision = ++write_revision_;
            last_written_record_ = next;
            return encode_coordinator_record(next);
        },
        [this, alive = alive_] {
            if (*alive && role_.is_held() && last_written_record_ && ranges_) {
                record_ = last_written_record_;
                ranges_->authority().on_recorded(last_written_ranges_revision_,
                                                 context_.time.now());
            }
        });
}

auto service_runtime::should_resign(time_point now) -> bool
{
    if (!role_.is_held() || now < coordinator_since_ + connect_grace) {
        return false;
    }
    bool reaches_minority =
        2 * (context_.mesh.candidate_sessions() + 1) < context_.fleet.members().size();
    bool is_cut_off = reaches_minority || (ranges_ && ranges_->is_cut_off(now));
    if (!is_cut_off) {
        cut_off_since_ = {};
        return false;
    }
    if (cut_off_since_ == time_point{}) {
        cut_off_since_ = now;
    }
    return now >= cut_off_since_ + cut_off_tolerance;
}

} // namespace cornelswitch
