#include "daemon/idempotency_guard.h"

#include "core/hash.h"

#include <utility>

namespace cornelswitch {

namespace {

auto refused(std::string name, int status, std::string message, request_outcome outcome)
    -> idempotency_guard::admission
{
    refusal_answer out;
    out.name = std::move(name);
    out.status = status;
    out.message = std::move(message);
    out.outcome = outcome;
    out.step = "idempotency-key";
    return {std::nullopt, std::move(out)};
}

} // namespace

auto send_recorded(exchange& request, const recorded_response& recorded) -> void
{
    response_head head;
    head.status = static_cast<int>(recorded.status);
    for (const auto& [name, value] : recorded.headers) {
        head.headers.push_back({name, value});
    }
    request.respond(head, recorded.body);
}

auto idempotency_guard::begin(idempotent_run& run, const http_request& request,
                              const forwarded_request& info, const slot_takeover& takeover,
                              time_point now) -> admission
{
    const auto* key = find_header(request.headers, "idempotency-key");
    if (key == nullptr) {
        return {};
    }
    auto scope = info.service.value() + '\n' + info.tenant.value();
    auto target = request.method + ' ' + request.path;
    auto fingerprint = hash_bytes(request.body, hash_bytes(target));
    auto decision = table_.begin(scope, *key, fingerprint, takeover, now);
    switch (decision.action) {
    case idempotency_action::run:
        run.scope = std::move(scope);
        run.key = *key;
        return {};
    case idempotency_action::replay:
        return {*decision.response, std::nullopt};
    case idempotency_action::mismatch:
        return refused("idempotency-mismatch", 422, "key was used for a different request",
                       request_outcome::not_run);
    case idempotency_action::full:
        return refused("idempotency-full", 503, "no room for another key in the idempotency table",
                       request_outcome::not_run);
    case idempotency_action::in_progress:
        return refused("idempotency-in-progress", 409,
                       "first run with this key is still in progress", request_outcome::unknown);
    case idempotency_action::response_unavailable:
    case idempotency_action::may_have_run_elsewhere:
        break;
    }
    return refused("idempotency-unknown", 409, "an earlier request with this key may have run",
                   request_outcome::unknown);
}

auto idempotency_guard::on_head(idempotent_run& run, const response_head& head) -> void
{
    if (run.key.empty()) {
        return;
    }
    run.response.status = static_cast<std::uint32_t>(head.status);
    for (const auto& it : head.headers) {
        run.response.headers.emplace_back(it.name, it.value);
    }
}

auto idempotency_guard::on_data(idempotent_run& run, std::string_view data) -> void
{
    if (run.key.empty() || !run.is_recordable) {
        return;
    }
    run.is_recordable = run.response.body.size() + data.size() <= max_recorded_body;
    if (run.is_recordable) {
        run.response.body.append(data);
    } else {
        run.response.body = {};
    }
}

auto idempotency_guard::complete(idempotent_run& run, time_point now) -> void
{
    if (!run.key.empty() && run.is_recordable) {
        table_.complete(run.scope, std::exchange(run.key, {}), std::move(run.response), now);
    }
    settle(run, request_outcome::unknown, now);
}

auto idempotency_guard::settle(idempotent_run& run, request_outcome outcome, time_point now) -> void
{
    auto key = std::exchange(run.key, {});
    if (key.empty()) {
        return;
    }
    if (outcome == request_outcome::not_run) {
        table_.forget(run.scope, key);
    } else {
        table_.mark_response_lost(run.scope, key, now);
    }
}

} // namespace cornelswitch
