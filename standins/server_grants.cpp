#include "standins/server_grants.h"

#include "standins/grant_body.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

namespace {

auto refusal_error(std::string reason) -> error
{
    return {error_code::conflict, "grant-check", "", std::move(reason)};
}

auto number_in(const header_list& headers, std::string_view name) -> std::optional<std::uint64_t>
{
    const auto* text = find_header(headers, name);
    return text == nullptr ? std::nullopt : parse_decimal(*text);
}

} // namespace

auto server_grants::set(const std::string& body, load load, time_point now) -> response
{
    auto message = parse_grant_message(body);
    if (message.has_error()) {
        return {400, nlohmann::json{{"error", message.error().message}}.dump()};
    }
    sample(now);
    table_.set_load(load.running, load.draining);
    auto reply = table_.apply(message.value(), now);
    sample(now);
    return {reply.refused_term ? 409 : 200, to_json_text(reply)};
}

auto server_grants::list(load load, time_point now) const -> std::string
{
    auto held = table_.held(now);
    std::uint32_t slots = 0;
    for (const auto& it : held) {
        slots += static_cast<std::uint32_t>(it.slots.size());
    }
    grant_reply reply{table_.boot(), table_.term(), table_.version(), load.running, slots,
                      load.draining, false};
    return to_json_text(reply, held);
}

auto server_grants::restart(boot_id boot, time_point now) -> void
{
    table_ = grant_table{boot};
    sample(now);
}

auto server_grants::admit(const service_id& service, const header_list& headers, time_point now)
    -> result<void>
{
    auto term = number_in(headers, "cornelswitch-term");
    if (!term) {
        return refusal_error("no valid cornelswitch-term header");
    }
    if (find_header(headers, "cornelswitch-slot") == nullptr) {
        // Services that are not keyed have no grants; the term alone is the fencing token that
        // rejects former dispatchers.
        if (lease_term{*term} < table_.term()) {
            return refusal_error("older-term");
        }
        return success();
    }
    auto slot = number_in(headers, "cornelswitch-slot");
    const auto* text = find_header(headers, "cornelswitch-epoch");
    if (!slot || *slot > UINT32_MAX || text == nullptr) {
        return refusal_error("no valid slot or epoch header");
    }
    BOOST_OUTCOME_TRY(epoch, parse_epoch_text(*text));
    auto version = number_in(headers, "cornelswitch-grant-version").value_or(0);
    auto refusal = table_.check({{service, slot_index{static_cast<std::uint32_t>(*slot)}},
                                 epoch,
                                 lease_term{*term},
                                 version},
                                now);
    if (refusal != grant_table::refusal::none) {
        return refusal_error(std::string{to_string(refusal)});
    }
    return success();
}

} // namespace cornelswitch
