#include "daemon/grant_link.h"

#include "adapters/grant_json.h"
#include "core/intervals.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

/// An unanswered call is repeated on a new connection, so that a single connection that hangs does
/// not make the server count as lost.
constexpr duration answer_timeout = std::chrono::milliseconds{100};
/// A longer gap between two ticks means that this task was paused and could not read answers.
constexpr duration max_tick_gap = std::chrono::milliseconds{80};
constexpr duration cancel_timeout = std::chrono::seconds{1};

auto control_options() -> http_client_options
{
    http_client_options out;
    out.max_connections = grant_link::control_connections;
    out.connect_timeout = answer_timeout;
    return out;
}

auto number_in(const response_head& head, std::string_view name) -> std::optional<std::uint64_t>
{
    const auto* text = find_header(head.headers, name);
    return text != nullptr ? parse_decimal(*text) : std::nullopt;
}

} // namespace

grant_link::grant_link(worker_context& context, const dispatcher_assignment& assignment,
                       hooks handlers)
    : context_{context}, server_{assignment.server.id}, hooks_{std::move(handlers)},
      tracker_{assignment.service, assignment.term, assignment.server.checks_grants,
               assignment.acquired_at},
      control_{context.loop, assignment.server.address, control_options()},
      checks_grants_{assignment.server.checks_grants}, valid_until_{assignment.valid_until}
{
}

grant_link::~grant_link()
{
    *alive_ = false;
}

auto grant_link::tick() -> void
{
    auto now = context_.time.now();
    if (now - ticked_at_ > max_tick_gap) {
        resumed_at_ = now;
    }
    ticked_at_ = now;
    detect_server_loss(now);
    if (is_blocked() || !checks_grants_) {
        send_health(now);
    } else {
        send_grants(now);
    }
}

auto grant_link::send_grants(time_point now) -> void
{
    auto next = tracker_.next(now, valid_until_);
    if (!next) {
        return;
    }
    http_request request{"POST", "/_cornelswitch/grants", {}, to_json(next->message)};
    request.headers.push_back({"content-type", "application/json"});
    control_.call(std::move(request), answer_timeout,
                  [this, alive = alive_, ticket = next->ticket](const unary_result& answer) {
                      if (*alive) {
                          on_grant_answer(ticket, answer);
                      }
                  });
}

auto grant_link::on_grant_answer(std::uint64_t ticket, const unary_result& answer) -> void
{
    auto now = context_.time.now();
    if (lost_) {
        return;
    }
    if (answer.has_error()) {
        tracker_.on_failure(ticket, now);
        return;
    }
    auto reply = parse_grant_reply(answer.value().head.status, answer.value().body);
    if (reply.has_error()) {
        context_.log.log(log_level::warning, "grant-renewal", server_.value(),
                         reply.error().message);
        tracker_.on_failure(ticket, now);
        return;
    }
    received_at_ = now;
    auto event = tracker_.on_reply(ticket, reply.value(), now);
    if (event.superseded_by) {
        hooks_.on_superseded(*event.superseded_by);
        return;
    }
    hooks_.on_answer(reply.value().boot, reply.value().running);
}

auto grant_link::send_health(time_point now) -> void
{
    if (health_in_progress_ || now < next_health_) {
        return;
    }
    health_in_progress_ = true;
    next_health_ = now + grant_renewal_interval;
    if (!health_unanswered_since_) {
        health_unanswered_since_ = now;
    }
    control_.call({"GET", "/_cornelswitch/health", {}, {}}, answer_timeout,
                  [this, alive = alive_](const unary_result& answer) {
                      if (*alive) {
                          on_health_answer(answer);
                      }
                  });
}

auto grant_link::request_report() -> void
{
    auto now = context_.time.now();
    if (may_write(now)) {
        next_health_ = std::min(next_health_, now);
        send_health(now);
    }
}

auto grant_link::on_health_answer(const unary_result& answer) -> void
{
    health_in_progress_ = false;
    if (answer.has_error()) {
        next_health_ = std::min(next_health_, context_.time.now() + answer_timeout);
        return;
    }
    received_at_ = context_.time.now();
    health_unanswered_since_.reset();
    const auto& head = answer.value().head;
    boot_id boot{number_in(head, "cornelswitch-boot").value_or(0)};
    if (std::exchange(lost_, false)) {
        ++availability_reports_sent_;
        tracker_.abandon();
        context_.to_agent(server_available{server_, tracker_.term(), boot});
        return;
    }
    auto running = number_in(head, "cornelswitch-running");
    hooks_.on_answer(boot,
                     running ? std::optional{static_cast<std::uint32_t>(*running)} : std::nullopt);
}

auto grant_link::detect_server_loss(time_point now) -> void
{
    auto since = checks_grants_ ? tracker_.unanswered_since() : health_unanswered_since_;
    bool is_unresponsive =
        since && now - std::max({*since, received_at_, resumed_at_}) >= server_loss_timeout;
    if (lost_ || is_blocked() || !is_unresponsive) {
        return;
    }
    lost_ = true;
    ++availability_reports_sent_;
    tracker_.abandon();
    context_.log.log(log_level::warning, "server-silence", server_.value(),
                     "server does not answer; reported as lost");
    hooks_.on_server_lost();
    context_.to_agent(server_lost{server_, tracker_.term(), tracker_.grants_expired_at()});
}

auto grant_link::cancel_request(const std::string& id, std::function<void()> on_confirmed) -> void
{
    control_.call(
        {"POST", "/_cornelswitch/cancel?request=" + id, {}, {}}, cancel_timeout,
        [alive = alive_, on_confirmed = std::move(on_confirmed)](const unary_result& answer) {
            if (*alive && answer.has_value() && answer.value().head.status / 100 == 2) {
                on_confirmed();
            }
        });
}

} // namespace cornelswitch
