#pragma once

#include "adapters/h2o/http_client.h"
#include "core/error.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace cornelswitch {

/// Sends requests to the platform and parses its JSON responses.
class platform_client {
public:
    using json_handler = std::function<void(result<nlohmann::json>)>;

    platform_client(event_loop& loop, const endpoint& platform);

    /// Errors: `timeout`; `unavailable` when the platform cannot be reached, closes the connection
    /// or responds with another status than 200; `invalid_message` when the response is not JSON.
    auto call(std::string step, http_request request, duration timeout, json_handler handler)
        -> void;

    /// Error of `step` for a response of an unexpected form.
    auto invalid_response(std::string step) const -> error;

private:
    http_client client_;
    /// Address of the platform for error messages.
    std::string peer_;
};

} // namespace cornelswitch
