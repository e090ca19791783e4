#include "adapters/platform/http_log_service.h"

#include "adapters/base64.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

namespace {

using nlohmann::json;

constexpr auto append_step = "log-append";
constexpr auto read_step = "log-read";

auto records_path(log_stream stream) -> std::string
{
    return "/streams/" + std::string{to_string(stream)} + "/records";
}

/// Number in field `name`; none when it is absent or not an unsigned number.
auto unsigned_field(const json& object, const char* name) -> std::optional<std::uint64_t>
{
    auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned()) {
        return std::nullopt;
    }
    return it->get<std::uint64_t>();
}

auto parse_record(const json& value) -> std::optional<log_record>
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    auto offset = unsigned_field(value, "offset");
    auto data = value.find("data");
    if (!offset || data == value.end() || !data->is_string()) {
        return std::nullopt;
    }
    auto bytes = decode_base64(data->get_ref<const std::string&>());
    if (!bytes) {
        return std::nullopt;
    }
    return log_record{log_offset{*offset}, std::move(*bytes)};
}

auto parse_page(const json& body) -> std::optional<log_page>
{
    if (!body.is_object()) {
        return std::nullopt;
    }
    auto first = unsigned_field(body, "first");
    auto end = unsigned_field(body, "end");
    auto records = body.find("records");
    if (!first || !end || records == body.end() || !records->is_array()) {
        return std::nullopt;
    }
    log_page out{log_offset{*first}, log_offset{*end}, {}};
    for (const auto& it : *records) {
        auto record = parse_record(it);
        if (!record) {
            return std::nullopt;
        }
        out.records.push_back(std::move(*record));
    }
    return out;
}

} // namespace

http_log_service::http_log_service(event_loop& loop, const http_log_service_options& options)
    : options_{options}, client_{loop, options.platform}
{
}

auto http_log_service::append(log_stream stream, std::string data, append_handler handler) -> void
{
    http_request request{"POST", records_path(stream), {}, std::move(data)};
    auto on_response = [this, handler = std::move(handler)](result<json> response) {
        if (response.has_error()) {
            handler(response.error());
            return;
        }
        auto offset = response.value().is_object() ? unsigned_field(response.value(), "offset")
                                                   : std::nullopt;
        if (!offset) {
            handler(client_.invalid_response(append_step));
            return;
        }
        handler(log_offset{*offset});
    };
    client_.call(append_step, std::move(request), options_.append_timeout, std::move(on_response));
}

auto http_log_service::read(log_stream stream, log_offset from, std::size_t limit, duration wait,
                            read_handler handler) -> void
{
    auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    http_request request;
    request.path = records_path(stream) + "?from=" + std::to_string(from.value()) +
                   "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait_ms);
    auto on_response = [this, handler = std::move(handler)](result<json> response) {
        if (response.has_error()) {
            handler(response.error());
            return;
        }
        auto page = parse_page(response.value());
        if (!page) {
            handler(client_.invalid_response(read_step));
            return;
        }
        handler(std::move(*page));
    };
    client_.call(read_step, std::move(request), wait + options_.read_timeout,
                 std::move(on_response));
}

} // namespace cornelswitch
