#include "daemon/peer_protocol.h"

#include "adapters/response_status.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cornelswitch {

namespace {

auto milliseconds_of(duration it) -> std::int64_t
{
    return std::chrono::ceil<std::chrono::milliseconds>(it).count();
}

auto invalid(std::string_view header) -> error
{
    return {error_code::invalid_argument,
            "forwarded-request",
            {},
            std::string{header} + ": missing or malformed"};
}

auto number_in(const header_list& headers, std::string_view name) -> std::optional<std::uint64_t>
{
    const auto* text = find_header(headers, name);
    return text != nullptr ? parse_decimal(*text) : std::nullopt;
}

auto text_in(const header_list& headers, std::string_view name) -> std::string
{
    const auto* text = find_header(headers, name);
    return text != nullptr ? *text : std::string{};
}

auto parse_epoch(std::string_view text) -> std::optional<slot_epoch>
{
    auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    auto major = parse_decimal(text.substr(0, dot));
    auto minor = parse_decimal(text.substr(dot + 1));
    if (!major || !minor) {
        return std::nullopt;
    }
    return slot_epoch{*major, *minor};
}

} // namespace

auto forward_headers(const forwarded_request& it) -> header_list
{
    header_list out{
        {"cornelswitch-service", it.service.value()},
        {"cornelswitch-server", it.server.value()},
        {"cornelswitch-tenant", it.tenant.value()},
        {"cornelswitch-class", std::string{to_string(it.priority)}},
        {"cornelswitch-deadline-ms", std::to_string(milliseconds_of(it.remaining))},
    };
    if (it.slot) {
        out.push_back({"cornelswitch-slot", std::to_string(it.slot->value())});
        out.push_back({"cornelswitch-slot-epoch",
                       std::to_string(it.epoch.major) + "." + std::to_string(it.epoch.minor)});
    }
    if (it.key) {
        out.push_back({"cornelswitch-key-hash", std::to_string(it.key->value())});
    }
    if (it.hedge) {
        out.push_back({"cornelswitch-hedge", "1"});
    }
    return out;
}

auto parse_forwarded(const header_list& headers) -> result<forwarded_request>
{
    forwarded_request out;
    out.service = service_id{text_in(headers, "cornelswitch-service")};
    out.server = server_id{text_in(headers, "cornelswitch-server")};
    out.tenant = tenant_id{text_in(headers, "cornelswitch-tenant")};
    bool is_bulk = text_in(headers, "cornelswitch-class") == "bulk";
    out.priority = is_bulk ? request_class::bulk : request_class::interactive;
    out.hedge = find_header(headers, "cornelswitch-hedge") != nullptr;
    auto deadline = number_in(headers, "cornelswitch-deadline-ms");
    if (!deadline || *deadline > 600'000) {
        return invalid("cornelswitch-deadline-ms");
    }
    out.remaining = std::chrono::milliseconds{*deadline};
    if (out.server.value().empty()) {
        return invalid("cornelswitch-server");
    }
    if (auto key = number_in(headers, "cornelswitch-key-hash")) {
        out.key = key_hash{*key};
    }
    if (find_header(headers, "cornelswitch-slot") == nullptr) {
        return out;
    }
    auto slot = number_in(headers, "cornelswitch-slot");
    auto epoch = parse_epoch(text_in(headers, "cornelswitch-slot-epoch"));
    if (!slot || *slot > UINT32_MAX || !epoch) {
        return invalid("cornelswitch-slot");
    }
    out.slot = slot_index{static_cast<std::uint32_t>(*slot)};
    out.epoch = *epoch;
    return out;
}

auto status_of(refusal_reason reason) -> int
{
    switch (reason) {
    case refusal_reason::invalid_request:
        return 400;
    case refusal_reason::unknown_service:
        return 404;
    case refusal_reason::deadline_passed:
        return 504;
    case refusal_reason::attempts_exhausted:
    case refusal_reason::response_lost:
        return 502;
    default:
        return 503;
    }
}

auto make_refusal(const refusal& it, std::string step, std::string peer) -> refusal_answer
{
    refusal_answer out;
    out.status = status_of(it.reason);
    out.name = to_string(it.reason);
    out.outcome = it.outcome;
    out.retry_after = it.retry_after;
    out.step = std::move(step);
    out.peer = std::move(peer);
    return out;
}

auto send_refusal(exchange& request, const refusal_answer& it) -> void
{
    response_head head;
    bool is_broken_promise =
        it.outcome == request_outcome::unknown && promises_no_execution(it.status);
    head.status = is_broken_promise ? 502 : it.status;
    auto& headers = head.headers;
    headers.push_back({"content-type", "application/json"});
    headers.push_back({"cornelswitch-refusal", it.name});
    headers.push_back({"cornelswitch-outcome", std::string{to_string(it.outcome)}});
    if (it.retry_after > duration::zero()) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(it.retry_after).count();
        headers.push_back({"retry-after", std::to_string(seconds)});
        headers.push_back(
            {"cornelswitch-retry-after-ms", std::to_string(milliseconds_of(it.retry_after))});
    }
    if (it.dispatcher) {
        headers.push_back({"cornelswitch-dispatcher", it.dispatcher->value()});
    }
    if (it.load) {
        headers.push_back({"cornelswitch-load", to_text(*it.load)});
    }
    nlohmann::json body{
        {"error", it.name}, {"message", it.message}, {"outcome", to_string(it.outcome)},
        {"step", it.step},  {"peer", it.peer},
    };
    request.respond(head, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

auto parse_refusal(const response_head& head) -> std::optional<refusal_answer>
{
    const auto* name = find_header(head.headers, "cornelswitch-refusal");
    if (name == nullptr) {
        return std::nullopt;
    }
    refusal_answer out;
    out.status = head.status;
    out.name = *name;
    bool is_not_run = text_in(head.headers, "cornelswitch-outcome") == "not-run";
    out.outcome = is_not_run ? request_outcome::not_run : request_outcome::unknown;
    if (auto ms = number_in(head.headers, "cornelswitch-retry-after-ms")) {
        out.retry_after = std::chrono::milliseconds{std::min<std::uint64_t>(*ms, 600'000)};
    }
    if (const auto* dispatcher = find_header(head.headers, "cornelswitch-dispatcher")) {
        out.dispatcher = instance_id{*dispatcher};
    }
    out.load = load_of(head.headers);
    return out;
}

auto to_text(const load_sample& it) -> std::string
{
    auto micros = std::chrono::ceil<std::chrono::microseconds>(it.service_time).count();
    auto out = std::to_string(it.queued);
    for (auto value : {std::int64_t{it.in_flight}, std::int64_t{it.limit}, std::int64_t{micros},
                       std::int64_t{it.accepts_work}}) {
        out += ',' + std::to_string(value);
    }
    return out;
}

auto parse_load(std::string_view text) -> std::optional<load_sample>
{
    std::array<std::uint64_t, 5> values{};
    for (auto& it : values) {
        auto comma = text.find(',');
        auto value = parse_decimal(text.substr(0, comma));
        if (!value || *value > UINT32_MAX) {
            return std::nullopt;
        }
        it = *value;
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    load_sample out;
    out.queued = static_cast<std::uint32_t>(values[0]);
    out.in_flight = static_cast<std::uint32_t>(values[1]);
    out.limit = static_cast<std::uint32_t>(values[2]);
    out.service_time = std::chrono::microseconds{values[3]};
    out.accepts_work = values[4] != 0;
    return out;
}

auto load_of(const header_list& headers) -> std::optional<load_sample>
{
    const auto* text = find_header(headers, "cornelswitch-load");
    return text != nullptr ? parse_load(*text) : std::nullopt;
}

auto without_internal(const header_list& headers) -> header_list
{
    header_list out;
    out.reserve(headers.size() + 8);
    for (const auto& it : headers) {
        if (!it.name.starts_with(internal_prefix)) {
            out.push_back(it);
        }
    }
    return out;
}

} // namespace cornelswitch
