#include "standins/grant_body.h"

#include "adapters/http_message.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

namespace {

using nlohmann::json;

constexpr auto step = "grant-message";
constexpr std::uint32_t max_ttl_ms = 60'000;

auto invalid(std::string text) -> error
{
    return {error_code::invalid_message, step, "", std::move(text)};
}

auto parse_grant(const json& value) -> result<grant_group>
{
    BOOST_OUTCOME_TRY(slots, slot_set::parse(value.at("slots").get<std::string>()));
    BOOST_OUTCOME_TRY(epoch, parse_epoch_text(value.at("epoch").get<std::string>()));
    return grant_group{service_id{value.at("service").get<std::string>()}, std::move(slots), epoch};
}

auto parse_revoke(const json& value) -> result<revoke_group>
{
    BOOST_OUTCOME_TRY(slots, slot_set::parse(value.at("slots").get<std::string>()));
    return revoke_group{service_id{value.at("service").get<std::string>()}, std::move(slots)};
}

/// Throws `json::exception` for absent fields and wrong types.
auto parse_fields(const json& body) -> result<grant_message>
{
    grant_message out;
    out.term = lease_term{body.at("term").get<std::uint64_t>()};
    out.version = body.at("version").get<std::uint64_t>();
    auto ttl_ms = body.at("ttl_ms").get<std::uint32_t>();
    if (ttl_ms > max_ttl_ms) {
        return invalid("ttl_ms must be at most " + std::to_string(max_ttl_ms));
    }
    out.ttl = std::chrono::milliseconds{ttl_ms};
    out.full = body.at("full").get<bool>();
    for (const auto& it : body.at("grants")) {
        BOOST_OUTCOME_TRY(group, parse_grant(it));
        out.grants.push_back(std::move(group));
    }
    if (auto revoke = body.find("revoke"); revoke != body.end()) {
        for (const auto& it : *revoke) {
            BOOST_OUTCOME_TRY(group, parse_revoke(it));
            out.revoke.push_back(std::move(group));
        }
    }
    return out;
}

auto reply_json(const grant_reply& reply) -> json
{
    return {{"boot", reply.boot.value()}, {"term", reply.term.value()},
            {"version", reply.version},   {"running", reply.running},
            {"held", reply.held},         {"draining", reply.draining}};
}

} // namespace

auto parse_grant_message(std::string_view body) -> result<grant_message>
{
    try {
        return parse_fields(json::parse(body));
    } catch (const json::exception& ex) {
        return invalid(ex.what());
    }
}

auto to_json_text(const grant_reply& reply) -> std::string
{
    return reply_json(reply).dump();
}

auto to_json_text(const grant_reply& reply, const std::vector<grant_group>& held) -> std::string
{
    auto out = reply_json(reply);
    out["grants"] = json::array();
    for (const auto& it : held) {
        out["grants"].push_back({{"service", it.service.value()},
                                 {"slots", it.slots.to_text()},
                                 {"epoch", epoch_text(it.epoch)}});
    }
    return out.dump();
}

auto parse_epoch_text(std::string_view text) -> result<slot_epoch>
{
    auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return invalid("epoch must be OFFSET.MINOR");
    }
    auto major = parse_decimal(text.substr(0, dot));
    auto minor = parse_decimal(text.substr(dot + 1));
    if (!major || !minor) {
        return invalid("epoch must be OFFSET.MINOR");
    }
    return slot_epoch{*major, *minor};
}

auto epoch_text(const slot_epoch& epoch) -> std::string
{
    return std::to_string(epoch.major) + "." + std::to_string(epoch.minor);
}

} // namespace cornelswitch
