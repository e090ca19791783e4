#include "gateway/service_runtime.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

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
    bool is_mine = record && succession_.role().is_mine(*record);
    auto previous = succession_.record();
    auto dropped = succession_.dropped_records();
    auto change = succession_.on_record(record, context_.time.now());
    if (succession_.dropped_records() != dropped) {
        context_.log.line("ownership-of-earlier-era")
            .text("service", service_.name.value())
            .text("peer", record->coordinator.value())
            .number("term", static_cast<std::int64_t>(record->term.value()));
        context_.metrics.count("ownership_records_of_earlier_eras_total");
        return;
    }
    bool is_new = record != previous;
    if (is_new) {
        recorded_ranges_.clear();
        if (record) {
            for (const auto& range : record->ranges) {
                recorded_ranges_.emplace(range.keys.first, range);
            }
        }
    }
    if (change == role_change::start) {
        become_coordinator(*record, confirmed_at);
    }
    if (is_mine) {
        on_confirmed(confirmed_at);
    }
    if (change == role_change::stop) {
        step_down("superseded in the store");
    }
    if (is_new && !is_mine && previous && record && previous->coordinator != record->coordinator) {
        // The previous coordinator may not know yet that it was replaced and may never decide.
        reclaim_requests(previous->coordinator);
        on_link(record->coordinator, context_.mesh.is_up(record->coordinator));
    }
}

auto service_runtime::on_store_era(store_era era) -> void
{
    succession_.on_store_era(era, authority(), context_.time.now());
    if (succession_.needs_new_term()) {
        context_.log.line("coordinator-suspended")
            .text("service", service_.name.value())
            .number("era", static_cast<std::int64_t>(era.value()));
    }
}

auto service_runtime::on_confirmed(time_point confirmed_at) -> void
{
    if (is_coordinator() && ranges_) {
        ranges_->authority().confirm(confirmed_at);
    }
}

auto service_runtime::take_over() -> void
{
    is_taking_over_ = true;
    context_.store.write(
        key(),
        [this]() -> std::optional<std::string> {
            auto next = succession_.make_takeover_record(authority());
            if (!next) {
                is_taking_over_ = false;
                return std::nullopt;
            }
            return encode_coordinator_record(*next);
        },
        [this, alive = alive_](time_point sent_at) {
            if (!*alive) {
                return;
            }
            is_taking_over_ = false;
            if (succession_.on_takeover_stored()) {
                become_coordinator(*succession_.record(), sent_at);
            }
        });
}

auto service_runtime::become_coordinator(const coordinator_record& mine, time_point confirmed_at)
    -> void
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
    if (ranges_) {
        // A coordinator that starts another term in a new era of the store. The destruction is
        // deferred, because one of its handlers may be running.
        ranges_->authority().stop();
        auto retired = std::shared_ptr<range_coordinator>{std::move(ranges_)};
        context_.loop.schedule(duration::zero(), [retired] {});
    }
    if (service_.is_keyed) {
        ranges_ = std::make_unique<range_coordinator>(context_.loop, context_.time, context_.log,
                                                      context_.directory, service_.name,
                                                      range_lease_settings{}, context_.refresh);
        ranges_->update_servers(now);
    }
    succession_.start_term(mine, authority(), confirmed_at, now);
    scheduler_.configure(make_admission_settings(), now);
    if (ranges_) {
        ranges_->update_servers(now);
    }
    const auto& predecessor = succession_.predecessor();
    context_.log.line("coordinator-start")
        .text("service", service_.name.value())
        .number("term", static_cast<std::int64_t>(mine.term.value()))
        .text("predecessor", predecessor ? predecessor->coordinator.value() : "")
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
    auto now = context_.time.now();
    succession_.end_term(authority(), now);
    if (ranges_) {
        // The destruction is deferred, because one of its handlers may be running.
        auto retired = std::shared_ptr<range_coordinator>{std::move(ranges_)};
        context_.loop.schedule(duration::zero(), [retired] {});
    }
    scheduler_.configure(make_admission_settings(), now);
    context_.log.line("coordinator-stop")
        .text("service", service_.name.value())
        .text("cause", cause);
}

auto service_runtime::request_predecessor_stop() -> void
{
    auto now = context_.time.now();
    bool needs_confirmation = succession_.needs_stop_confirmation(now);
    bool is_link_open = predecessor_link_ && predecessor_link_->is_open();
    if (!needs_confirmation || is_link_open || now < next_predecessor_request_) {
        return;
    }
    auto term = succession_.role().term();
    next_predecessor_request_ = now + predecessor_request_interval;
    peer_link::connect(
        context_.loop, succession_.predecessor()->address,
        [this, term, alive = alive_](std::unique_ptr<tcp_stream> stream) {
            if (!*alive || !stream || term != succession_.role().term() || !is_coordinator()) {
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
    if (answer.term != succession_.role().term()) {
        return;
    }
    auto now = context_.time.now();
    auto ranges = succession_.on_predecessor_stopped(answer.state, authority(), now);
    context_.log.line("predecessor-stopped")
        .text("service", service_.name.value())
        .number("last_term", static_cast<std::int64_t>(answer.state.last_term.value()))
        .number("earlier_active", succession_.may_earlier_coordinator_act(now) ? 1 : 0)
        .number("ranges", static_cast<std::int64_t>(ranges));
}

auto service_runtime::make_stop_confirmation(lease_term successor) const -> role_stopped
{
    return {service_.name, successor, succession_.make_stop_confirmation(context_.time.now())};
}

auto service_runtime::record_ranges(time_point now) -> void
{
    if (!ranges_ || !succession_.needs_range_record(ranges_->authority(), now)) {
        return;
    }
    context_.store.write(
        key(),
        [this]() -> std::optional<std::string> {
            if (!ranges_) {
                return std::nullopt;
            }
            auto next = succession_.make_range_record(ranges_->authority(), context_.time.now());
            return next ? std::optional{encode_coordinator_record(*next)} : std::nullopt;
        },
        [this, alive = alive_](time_point sent_at) {
            if (*alive && ranges_) {
                succession_.on_range_record_stored(ranges_->authority(), sent_at,
                                                   context_.time.now());
            }
        });
}

auto service_runtime::should_resign(time_point now) -> bool
{
    if (!is_coordinator() || now < coordinator_since_ + connect_grace) {
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
