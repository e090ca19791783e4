#include "adapters/grant_json.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace cornelswitch {

namespace {

using json = nlohmann::json;

// The largest valid message lists all slots of one server as ranges, which takes less than this.
constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
// A longer TTL would exceed every period for which the cell waits until grants have expired.
constexpr std::uint64_t max_ttl_ms = 60'000;

auto invalid(const std::string& message) -> error
{
    return {error_code::invalid_message, "grant-json", "", message};
}

auto parse_number(std::string_view text) -> std::uint64_t
{
    std::uint64_t out = 0;
    auto [ptr, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{} || ptr != text.data() + text.size()) {
        throw std::invalid_argument{"not a number: " + std::string{text}};
    }
    return out;
}

auto parse_epoch(std::string_view text) -> slot_epoch
{
    auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        throw std::invalid_argument{"epoch must be OFFSET.MINOR: " + std::string{text}};
    }
    return {parse_number(text.substr(0, dot)), parse_number(text.substr(dot + 1))};
}

auto parse_slots(const json& in) -> slot_set
{
    auto out = slot_set::parse(in.at("slots").get<std::string>());
    if (!out) {
        throw std::invalid_argument{out.error().message};
    }
    return std::move(out).value();
}

// Checks the type because the library converts negative and fractional numbers without an error.
auto unsigned_field(const json& in, const char* name, std::uint64_t max = UINT64_MAX)
    -> std::uint64_t
{
    const auto& it = in.at(name);
    if (!it.is_number_unsigned() || it.get<std::uint64_t>() > max) {
        throw std::invalid_argument{std::string{name} + " is out of range"};
    }
    return it.get<std::uint64_t>();
}

auto parse_service(const json& in) -> service_id
{
    return service_id{in.at("service").get<std::string>()};
}

auto group_object(const grant_group& it) -> json
{
    auto epoch = std::to_string(it.epoch.major) + "." + std::to_string(it.epoch.minor);
    return {{"service", it.service.value()}, {"slots", it.slots.to_text()}, {"epoch", epoch}};
}

auto reply_object(const grant_reply& it) -> json
{
    return {{"boot", it.boot.value()}, {"term", it.term.value()}, {"version", it.version},
            {"running", it.running},   {"held", it.held},         {"draining", it.draining}};
}

auto parse_message(const json& in) -> grant_message
{
    grant_message out;
    out.term = lease_term{unsigned_field(in, "term")};
    out.version = unsigned_field(in, "version");
    out.ttl = std::chrono::milliseconds{unsigned_field(in, "ttl_ms", max_ttl_ms)};
    out.full = in.at("full").get<bool>();
    for (const auto& it : in.value("grants", json::array())) {
        auto epoch = parse_epoch(it.at("epoch").get<std::string>());
        out.grants.push_back({parse_service(it), parse_slots(it), epoch});
    }
    for (const auto& it : in.value("revoke", json::array())) {
        out.revoke.push_back({parse_service(it), parse_slots(it)});
    }
    return out;
}

auto parse_reply(const json& in) -> grant_reply
{
    grant_reply out;
    out.boot = boot_id{unsigned_field(in, "boot")};
    out.term = lease_term{unsigned_field(in, "term")};
    out.version = unsigned_field(in, "version");
    out.running = static_cast<std::uint32_t>(unsigned_field(in, "running", UINT32_MAX));
    out.held = static_cast<std::uint32_t>(unsigned_field(in, "held", UINT32_MAX));
    out.draining = in.at("draining").get<bool>();
    return out;
}

template<typename parser>
auto parse_body(std::string_view body, const parser& parse) -> result<decltype(parse(json{}))>
{
    if (body.size() > max_body_bytes) {
        return invalid("body exceeds the size limit");
    }
    try {
        return parse(json::parse(body));
    } catch (const std::exception& cause) {
        return invalid(cause.what());
    }
}

} // namespace

auto to_json(const grant_message& message) -> std::string
{
    auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(message.ttl).count();
    json out{
        {"term", message.term.value()}, {"version", message.version}, {"ttl_ms", ttl},
        {"full", message.full},         {"grants", json::array()},    {"revoke", json::array()}};
    for (const auto& it : message.grants) {
        out["grants"].push_back(group_object(it));
    }
    for (const auto& it : message.revoke) {
        out["revoke"].push_back({{"service", it.service.value()}, {"slots", it.slots.to_text()}});
    }
    return out.dump();
}

auto parse_grant_message(std::string_view body) -> result<grant_message>
{
    return parse_body(body, parse_message);
}

auto to_json(const grant_reply& reply) -> std::string
{
    return reply_object(reply).dump();
}

auto parse_grant_reply(int status, std::string_view body) -> result<grant_reply>
{
    constexpr int applied = 200;
    constexpr int older_term = 409;
    if (status != applied && status != older_term) {
        return invalid("unexpected status " + std::to_string(status));
    }
    BOOST_OUTCOME_TRY(out, parse_body(body, parse_reply));
    out.refused_term = status == older_term;
    return out;
}

auto to_json(const grant_reply& state, const std::vector<grant_group>& held) -> std::string
{
    auto out = reply_object(state);
    out["grants"] = json::array();
    for (const auto& it : held) {
        out["grants"].push_back(group_object(it));
    }
    return out.dump();
}

} // namespace cornelswitch
