#include "adapters/platform/http_instance_list.h"

#include "config/units.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

namespace {

using nlohmann::json;

constexpr auto list_step = "instance-list";
constexpr auto publish_step = "instance-publish";

auto to_json(const instance_info& it) -> json
{
    return {{"id", it.id.value()},
            {"boot", it.boot.value()},
            {"zone", it.zone.value()},
            {"state", it.state == instance_state::live ? "live" : "leaving"},
            {"control", it.control.to_text()},
            {"data", it.data.to_text()}};
}

/// String in field `name`; empty when it is absent or not a string.
auto string_field(const json& object, const char* name) -> std::string
{
    auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

auto parse_entry(const json& value) -> std::optional<instance_info>
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    auto id = string_field(value, "id");
    auto zone = string_field(value, "zone");
    auto state = string_field(value, "state");
    auto control = parse_endpoint(string_field(value, "control"));
    auto data = parse_endpoint(string_field(value, "data"));
    if (!is_valid_name(id) || !is_valid_name(zone) || !control || !data ||
        (state != "live" && state != "leaving")) {
        return std::nullopt;
    }
    auto boot = value.find("boot");
    auto has_boot = boot != value.end() && boot->is_number_unsigned();
    return instance_info{
        instance_id{id}, boot_id{has_boot ? boot->get<std::uint64_t>() : 0},
        zone_id{zone},   state == "live" ? instance_state::live : instance_state::leaving,
        *control,        *data};
}

} // namespace

http_instance_list::http_instance_list(event_loop& loop, const endpoint& platform, duration timeout)
    : timeout_{timeout}, client_{loop, platform}
{
}

auto http_instance_list::list(list_handler handler) -> void
{
    http_request request;
    request.path = "/instances";
    auto on_response = [this, handler = std::move(handler)](result<json> response) {
        if (response.has_error()) {
            handler(response.error());
            return;
        }
        if (!response.value().is_array()) {
            handler(client_.invalid_response(list_step));
            return;
        }
        std::vector<instance_info> out;
        for (const auto& it : response.value()) {
            if (auto entry = parse_entry(it)) {
                out.push_back(std::move(*entry));
            }
        }
        handler(std::move(out));
    };
    client_.call(list_step, std::move(request), timeout_, std::move(on_response));
}

auto http_instance_list::publish(const instance_info& self, done_handler handler) -> void
{
    http_request request{"PUT", "/instances/" + self.id.value(), {}, to_json(self).dump()};
    auto on_response = [handler = std::move(handler)](result<json> response) {
        if (response.has_error()) {
            handler(response.error());
            return;
        }
        handler(success());
    };
    client_.call(publish_step, std::move(request), timeout_, std::move(on_response));
}

} // namespace cornelswitch
