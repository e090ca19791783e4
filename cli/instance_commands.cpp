#include "cli/instance_commands.h"

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/http_client.h"
#include "adapters/operator_json.h"
#include "config/units.h"

#include <optional>

namespace cornelswitch {

namespace {

using nlohmann::json;

constexpr duration response_timeout = std::chrono::seconds{3};
constexpr duration poll_timeout = std::chrono::milliseconds{50};

/// Sends a GET request to the operator port and returns the body. Errors: `invalid_argument` for a
/// bad address; those of `http_client`; `not_found` for status 404, `internal` for any other status
/// than 200.
auto fetch(const command_context& context, const std::string& path) -> result<std::string>
{
    auto text = context.option_value("instance");
    auto address = parse_endpoint(text);
    if (!address) {
        return error{error_code::invalid_argument, "command-line", "",
                     "--instance: found \"" + text + "\", allowed: IPv4:PORT"};
    }
    event_loop loop;
    http_client client{loop, *address, {}};
    std::optional<unary_result> outcome;
    http_request request;
    request.path = path;
    client.call(std::move(request), response_timeout,
                [&](unary_result it) { outcome = std::move(it); });
    while (!outcome) {
        loop.run_once(poll_timeout);
    }
    if (outcome->has_error()) {
        auto cause = outcome->error().cause;
        cause.peer = text;
        return cause;
    }
    const auto& response = outcome->value();
    if (response.head.status != 200) {
        auto code = response.head.status == 404 ? error_code::not_found : error_code::internal;
        return error{code, "operator-request", text,
                     "status " + std::to_string(response.head.status) + ": " + response.body};
    }
    return response.body;
}

/// Fetches a JSON document, validates it and prints it.
template<typename parse_function, typename text_function>
auto print_document(const command_context& context, const std::string& path, parse_function parse,
                    text_function text) -> exit_code
{
    auto body = fetch(context, path);
    if (body.has_error()) {
        return context.fail(body.error());
    }
    auto value = parse(body.value());
    if (value.has_error()) {
        return context.fail(value.error());
    }
    context.print(json::parse(body.value()), text(value.value()));
    return exit_code::ok;
}

auto status(const command_context& context) -> exit_code
{
    return print_document(context, "/status", parse_status, status_text);
}

auto owner(const command_context& context) -> exit_code
{
    auto path = "/owner?service=" + encode_query(context.option_value("service")) +
                "&key=" + encode_query(context.option_value("key"));
    return print_document(context, path, parse_owner, owner_text);
}

auto histograms(const command_context& context) -> exit_code
{
    std::string path = "/histograms";
    for (const auto* name : {"tenant", "class"}) {
        if (context.has(name)) {
            path += path.find('?') == std::string::npos ? "?" : "&";
            path += std::string{name} + "=" + encode_query(context.option_value(name));
        }
    }
    return print_document(context, path, parse_histograms, histograms_text);
}

auto metrics(const command_context& context) -> exit_code
{
    auto body = fetch(context, "/metrics");
    if (body.has_error()) {
        return context.fail(body.error());
    }
    context.print({{"text", body.value()}}, body.value());
    return exit_code::ok;
}

auto add_histogram_options(cxxopts::Options& options) -> void
{
    options.add_options()("tenant", "only this tenant", cxxopts::value<std::string>())(
        "class", "only this class: interactive or bulk", cxxopts::value<std::string>());
}

} // namespace

auto encode_query(const std::string& text) -> std::string
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string out;
    for (auto c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            out += c;
            continue;
        }
        auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

auto instance_commands() -> std::vector<command>
{
    return {{"status", {}, "Print the state of an instance.", {}, status},
            {"owner", {"service", "key"}, "Print which server owns a key.", {}, owner},
            {"histograms",
             {},
             "Print latencies per service, tenant and class.",
             add_histogram_options,
             histograms},
            {"metrics", {}, "Print the metrics of an instance as text.", {}, metrics}};
}

} // namespace cornelswitch
