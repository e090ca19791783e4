#include "gateway/range_coordinator.h"

#include "platform/lease_codec.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// A server responds to a release only when the requests on its keys have ended.
constexpr duration release_timeout = milliseconds{2500};
constexpr duration plan_interval = milliseconds{200};
/// Interval after a plan with moves. Each such plan is one record in the store.
constexpr duration move_interval = milliseconds{500};
/// Age at which a request's weight has decayed to 1/e; short, so that a rise in load shows within a
/// second.
constexpr duration key_rate_time_constant = milliseconds{1200};
/// Failed calls in a row after which a server gets no keys, and for how long it gets none.
constexpr std::uint32_t min_failures_for_exclusion = 2;
constexpr duration failing_server_exclusion = std::chrono::seconds{3};

auto channel_options() -> unary_client::options
{
    unary_client::options out;
    out.connect_timeout = milliseconds{400};
    out.stream = {milliseconds{700}, std::chrono::seconds{1}};
    return out;
}

auto release_channel_options() -> unary_client::options
{
    auto out = channel_options();
    // An answer to an earlier release would hand over keys that the server still uses.
    out.reuses_connections = false;
    return out;
}

} // namespace

lease_channel::lease_channel(event_loop& loop, const endpoint& address,
                             std::function<void()> on_lost)
    : loop_{loop}, grants_{loop, address, channel_options()}, releases_{loop, address,
                                                                        release_channel_options()}
{
    grants_.set_on_connection_lost(std::move(on_lost));
}

lease_channel::~lease_channel()
{
    *alive_ = false;
}

auto lease_channel::grant(http_request request, time_point deadline, unary_client::handler done)
    -> void
{
    queue_.push_back({std::move(request), deadline, std::move(done)});
    start_next_grant();
}

auto lease_channel::start_next_grant() -> void
{
    if (is_busy_ || queue_.empty()) {
        return;
    }
    auto it = std::move(queue_.front());
    queue_.pop_front();
    auto left = it.deadline - loop_.now();
    if (left <= duration::zero()) {
        // Not sent, so it extends no lease. The handler is called asynchronously, as for other
        // calls.
        loop_.schedule(duration::zero(), [this, done = std::move(it.done), alive = alive_] {
            if (*alive) {
                done(error{error_code::connection_refused, "key-lease", {}, "not sent in time"});
                start_next_grant();
            }
        });
        return;
    }
    is_busy_ = true;
    grants_.call(std::move(it.request), left,
                 [this, done = std::move(it.done), alive = alive_](result<http_response> answer) {
                     if (!*alive) {
                         return;
                     }
                     is_busy_ = false;
                     done(std::move(answer));
                     if (*alive) {
                         start_next_grant();
                     }
                 });
}

auto lease_channel::release(http_request request, duration timeout, unary_client::handler done)
    -> void
{
    releases_.call(std::move(request), timeout, std::move(done));
}

range_coordinator::range_coordinator(event_loop& loop, const clock& time, event_log& log,
                                     const backend_directory& directory, service_id service,
                                     range_lease_settings settings,
                                     std::function<void()> on_refused)
    : loop_{loop}, time_{time}, log_{log}, directory_{directory}, service_{std::move(service)},
      settings_{settings}, on_refused_{std::move(on_refused)},
      authority_{settings, time, make_hooks()}, key_rates_{key_rate_time_constant}
{
}

range_coordinator::~range_coordinator()
{
    *alive_ = false;
}

auto range_coordinator::make_hooks() -> range_authority::hooks
{
    range_authority::hooks out;
    out.grant = [this](const server_id& server, key_range keys, fencing_token token, duration lease,
                       const std::string& handover, std::function<void(result<void>)> done) {
        auto* to = channel(server);
        if (to == nullptr) {
            loop_.schedule(duration::zero(), [done = std::move(done)] {
                done(error{error_code::connection_refused,
                           "key-lease",
                           {},
                           "the server is not registered"});
            });
            return;
        }
        to->grant(lease_codec::grant_request(server, keys, token.value(), lease, handover),
                  time_.now() + settings_.call_timeout,
                  [this, server, done = std::move(done)](result<http_response> answer) {
                      record_outcome(server, answer.has_value());
                      if (answer.has_error()) {
                          done(answer.error());
                          return;
                      }
                      done(lease_codec::decode_grant(answer.value()));
                  });
    };
    out.release = [this](const server_id& server, key_range keys, fencing_token token,
                         std::function<void(result<std::string>)> done) {
        auto* to = channel(server);
        if (to == nullptr) {
            loop_.schedule(duration::zero(), [done = std::move(done)] {
                done(error{error_code::connection_refused,
                           "key-lease",
                           {},
                           "the server is not registered"});
            });
            return;
        }
        to->release(lease_codec::release_request(server, keys, token.value()), release_timeout,
                    [done = std::move(done)](result<http_response> answer) {
                        if (answer.has_error()) {
                            done(answer.error());
                            return;
                        }
                        done(lease_codec::decode_release(answer.value()));
                    });
    };
    out.on_refused = on_refused_;
    out.report = [this](std::string_view event, const range_status& range, fencing_token token,
                        const server_id& previous) {
        log_.line("key-range")
            .text("service", service_.value())
            .text("change", event)
            .number("first", range.keys.first)
            .number("last", range.keys.last)
            .text("phase", to_string(range.phase))
            .text("owner", range.owner ? range.owner->value() : "")
            .text("previous", previous.value())
            .number("token", static_cast<std::int64_t>(token.value()));
    };
    return out;
}

auto range_coordinator::channel(const server_id& server) -> lease_channel*
{
    auto it = channels_.find(server);
    const auto* known = directory_.find(server);
    if (known == nullptr) {
        // The entry may have expired while the server still runs, so keys can still be released.
        return it == channels_.end() ? nullptr : it->second.get();
    }
    if (it != channels_.end() && it->second->address() == known->entry.address) {
        return it->second.get();
    }
    auto made = std::make_unique<lease_channel>(
        loop_, known->entry.address, [this, server] { authority_.on_connection_lost(server); });
    auto* out = made.get();
    if (it != channels_.end()) {
        // Destroyed later, because this may run inside one of its handlers.
        auto old = std::shared_ptr<lease_channel>{std::move(it->second)};
        loop_.schedule(duration::zero(), [old] {});
    }
    channels_[server] = std::move(made);
    return out;
}

auto range_coordinator::record_outcome(const server_id& server, bool is_answered) -> void
{
    auto& it = health_[server];
    it.failures = is_answered ? 0 : it.failures + 1;
    if (!is_answered) {
        it.failed_at = time_.now();
    }
}

auto range_coordinator::is_failing(const server_id& server, time_point now) const -> bool
{
    auto it = health_.find(server);
    return it != health_.end() && it->second.failures >= min_failures_for_exclusion &&
           now < it->second.failed_at + failing_server_exclusion;
}

auto range_coordinator::is_cut_off(time_point now) const -> bool
{
    auto servers = directory_.servers_of(service_);
    if (servers.size() < 3) {
        return false;
    }
    auto failing = std::ranges::count_if(
        servers, [&](const auto* it) { return is_failing(it->entry.id, now); });
    return 2 * static_cast<std::size_t>(failing) > servers.size();
}

auto range_coordinator::update_servers(time_point now) -> void
{
    std::vector<server_process> servers;
    for (const auto* it : directory_.servers_of(service_)) {
        servers.push_back({it->entry.id, it->entry.incarnation.value()});
    }
    initial_assignment_delay_.on_server_list(servers.size(), now);
    authority_.set_servers(servers, now);
    std::erase_if(health_, [&](const auto& it) { return directory_.find(it.first) == nullptr; });
}

auto range_coordinator::plan(time_point now, const admission_scheduler& scheduler) -> void
{
    auto backlogs = scheduler.backlogs();
    std::vector<planned_server> servers;
    for (const auto* it : directory_.eligible_owners(service_, now)) {
        if (is_failing(it->entry.id, now)) {
            continue;
        }
        servers.push_back({it->entry.id, scheduler.capacity(it->entry.id), backlogs[it->entry.id],
                           it->entry.slots});
    }
    std::vector<planned_range> ranges;
    for (const auto& it : authority_.statuses()) {
        planned_range range{it.keys, it.owner, false};
        switch (it.phase) {
        case range_phase::held:
            break;
        case range_phase::unowned:
            range.owner.reset();
            break;
        case range_phase::recording:
        case range_phase::granting:
        case range_phase::releasing:
        case range_phase::waiting:
            range.is_moving = true;
            break;
        }
        ranges.push_back(std::move(range));
    }
    bool is_first = std::ranges::all_of(ranges, [](const auto& it) { return !it.owner; });
    if (is_first && !initial_assignment_delay_.has_elapsed(now)) {
        return;
    }
    auto moves = planner_.plan(servers, ranges, key_rates_, now);
    for (const auto& it : moves) {
        authority_.move(it.keys, it.target, now);
    }
    next_plan_ = now + (moves.empty() ? plan_interval : move_interval);
}

auto range_coordinator::tick(time_point now, const admission_scheduler& scheduler) -> void
{
    if (now >= next_plan_ && authority_.may_plan(now)) {
        next_plan_ = now + plan_interval;
        plan(now, scheduler);
    }
    authority_.tick(now);
}

} // namespace cornelswitch
