#include "daemon/operator_api.h"

#include "adapters/operator_json.h"

#include <charconv>

namespace cornelswitch {

namespace {

auto percent_decode(std::string_view text) -> std::optional<std::string>
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            out += text[n] == '+' ? ' ' : text[n];
            continue;
        }
        unsigned value = 0;
        auto digits = text.substr(n + 1, 2);
        auto [ptr, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (ec != std::errc{} || ptr != digits.data() + 2) {
            return std::nullopt;
        }
        out += static_cast<char>(value);
        n += 2;
    }
    return out;
}

auto respond(exchange& request, int status, std::string_view type, std::string_view body) -> void
{
    request.respond({status, {{"content-type", std::string{type}}}, {}}, body);
}

auto respond_json(exchange& request, std::string_view body) -> void
{
    respond(request, 200, "application/json", body);
}

auto respond_error(exchange& request, int status, std::string_view text) -> void
{
    respond(request, status, "application/json", "{\"error\":\"" + std::string{text} + "\"}");
}

} // namespace

auto query_value(std::string_view path, std::string_view name) -> std::optional<std::string>
{
    auto separator = path.find('?');
    while (separator != std::string_view::npos) {
        path.remove_prefix(separator + 1);
        separator = path.find('&');
        auto pair = path.substr(0, separator);
        auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
    }
    return std::nullopt;
}

auto operator_api::serve(exchange& request) const -> void
{
    std::string_view path = request.request().path;
    auto resource = path.substr(0, path.find('?'));
    if (request.request().method != "GET") {
        respond_error(request, 405, "only GET is allowed");
    } else if (resource == "/status") {
        respond_json(request, to_json_text(sources_.status()));
    } else if (resource == "/owner") {
        auto service = query_value(path, "service");
        auto key = query_value(path, "key");
        if (!service || !key) {
            respond_error(request, 400, "service and key are required");
            return;
        }
        auto owner = sources_.owner(service_id{*service}, *key);
        owner ? respond_json(request, to_json_text(owner.value()))
              : respond_error(request, 404, owner.error().message);
    } else if (resource == "/histograms") {
        auto tenant = query_value(path, "tenant").value_or("");
        auto priority = query_value(path, "class").value_or("");
        respond_json(request, to_json_text(sources_.histograms(tenant, priority)));
    } else if (resource == "/metrics") {
        respond(request, 200, "text/plain; version=0.0.4", sources_.metrics());
    } else {
        respond_error(request, 404, "no document at this path");
    }
}

} // namespace cornelswitch
