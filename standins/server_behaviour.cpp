#include "standins/server_behaviour.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>

namespace cornelswitch {

namespace {

using nlohmann::json;
using setter = std::function<void(server_behaviour&, const json&)>;

auto milliseconds_setter(duration server_behaviour::*member) -> setter
{
    return [member](server_behaviour& out, const json& value) {
        out.*member = std::chrono::milliseconds{value.get<std::uint32_t>()};
    };
}

template<typename type>
auto value_setter(type server_behaviour::*member) -> setter
{
    return [member](server_behaviour& out, const json& value) { out.*member = value.get<type>(); };
}

auto set_reported_running(server_behaviour& out, const json& value) -> void
{
    out.reported_running =
        value.is_null() ? std::nullopt : std::optional{value.get<std::uint32_t>()};
}

/// Throws `json::exception` for an unknown name.
auto set_overload(server_behaviour& out, const json& value) -> void
{
    static const json names{{"shed", overload_reaction::shed},
                            {"slow", overload_reaction::slow},
                            {"fall-over", overload_reaction::fall_over}};
    out.overload = names.at(value.get<std::string>()).get<overload_reaction>();
}

auto setters() -> const std::map<std::string, setter>&
{
    using b = server_behaviour;
    static const std::map<std::string, setter> out{
        {"service_ms", milliseconds_setter(&b::service_time)},
        {"restart_ms", milliseconds_setter(&b::restart_time)},
        {"chunk_pause_ms", milliseconds_setter(&b::chunk_pause)},
        {"concurrency", value_setter(&b::concurrency)},
        {"cold_limit", value_setter(&b::cold_limit)},
        {"warm_after", value_setter(&b::warm_after)},
        {"shed_percent", value_setter(&b::shed_percent)},
        {"error_percent", value_setter(&b::error_percent)},
        {"cut_downloads", value_setter(&b::cut_downloads)},
        {"health_status", value_setter(&b::health_status)},
        {"draining", value_setter(&b::draining)},
        {"reported_running", set_reported_running},
        {"overload", set_overload}};
    return out;
}

auto invalid(const std::string& text) -> error
{
    return {error_code::invalid_argument, "behaviour", "", text};
}

} // namespace

auto server_behaviour::apply(const json& changes) -> result<void>
{
    if (!changes.is_object()) {
        return invalid("expected a JSON object");
    }
    auto changed = *this;
    for (const auto& [name, value] : changes.items()) {
        auto it = setters().find(name);
        if (it == setters().end()) {
            return invalid("unknown field " + name);
        }
        try {
            it->second(changed, value);
        } catch (const json::exception& ex) {
            return invalid(name + ": " + ex.what());
        }
    }
    *this = changed;
    return success();
}

} // namespace cornelswitch
