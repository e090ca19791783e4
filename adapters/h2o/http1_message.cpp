#include "adapters/h2o/http1_message.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto is_token(std::string_view text) -> bool
{
    auto is_visible = [](unsigned char it) { return it > 0x20 && it < 0x7f && it != ':'; };
    return !text.empty() && std::ranges::all_of(text, is_visible);
}

auto is_target(std::string_view text) -> bool
{
    auto is_visible = [](unsigned char it) { return it > 0x20 && it != 0x7f; };
    return text.starts_with('/') && std::ranges::all_of(text, is_visible);
}

auto append_header(std::string& out, std::string_view name, std::string_view value) -> void
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

auto write_request_head(const http_request& request, const endpoint& server) -> result<std::string>
{
    auto invalid = [&](std::string message) -> error {
        return {error_code::invalid_argument, "server-request", server.to_text(),
                std::move(message)};
    };
    if (!is_token(request.method) || !is_target(request.path)) {
        return invalid("malformed request line");
    }
    std::string out;
    out.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\n");
    const auto* host = find_header(request.headers, "host");
    append_header(out, "host", host != nullptr ? *host : server.to_text());
    for (const auto& it : request.headers) {
        if (!is_token(it.name) || !is_header_value(it.value)) {
            return invalid("malformed header");
        }
        if (!is_hop_by_hop(it.name) && it.name != "host" && it.name != "content-length") {
            append_header(out, it.name, it.value);
        }
    }
    bool may_have_body = request.method == "POST" || request.method == "PUT";
    if (may_have_body || !request.body.empty()) {
        append_header(out, "content-length", std::to_string(request.body.size()));
    }
    out.append("\r\n");
    return out;
}

} // namespace cornelswitch
