#include "adapters/platform/platform_client.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

namespace {

/// Covers one long poll for each stream, appends and list requests; further requests wait.
constexpr std::size_t max_connections = 8;
/// A response contains at most one page of records in base64.
constexpr std::size_t max_response_bytes = std::size_t{32} << 20U;

auto client_options() -> http_client_options
{
    http_client_options out;
    out.max_connections = max_connections;
    out.max_unary_body_bytes = max_response_bytes;
    return out;
}

auto to_error_code(const call_failure& failure) -> error_code
{
    return failure.cause.code == error_code::timeout ? error_code::timeout
                                                     : error_code::unavailable;
}

} // namespace

platform_client::platform_client(event_loop& loop, const endpoint& platform)
    : client_{loop, platform, client_options()}, peer_{platform.to_text()}
{
}

auto platform_client::invalid_response(std::string step) const -> error
{
    return {error_code::invalid_message, std::move(step), peer_, "unexpected response"};
}

auto platform_client::call(std::string step, http_request request, duration timeout,
                           json_handler handler) -> void
{
    auto on_result = [this, step = std::move(step),
                      handler = std::move(handler)](unary_result outcome) {
        if (outcome.has_error()) {
            const auto& failure = outcome.error();
            handler(error{to_error_code(failure), step, peer_, failure.cause.message});
            return;
        }
        const auto& response = outcome.value();
        if (response.head.status != 200) {
            handler(error{error_code::unavailable, step, peer_,
                          "unexpected status " + std::to_string(response.head.status)});
            return;
        }
        auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (body.is_discarded()) {
            handler(invalid_response(step));
            return;
        }
        handler(std::move(body));
    };
    client_.call(std::move(request), timeout, std::move(on_result));
}

} // namespace cornelswitch
