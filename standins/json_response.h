#pragma once

#include "adapters/exchange.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cornelswitch {

/// Responds with a JSON body. Bytes that are not UTF-8 are replaced.
auto respond_json(exchange& call, int status, const nlohmann::json& body, header_list headers = {})
    -> void;

/// Responds with `{"error": TEXT}`.
auto respond_error(exchange& call, int status, const std::string& text, header_list headers = {})
    -> void;

/// Path and query of a request target.
struct request_target {
    std::string path;
    std::string query;

    static auto parse(const std::string& target) -> request_target;
    /// Value of a query parameter, empty when absent. Values are not percent-decoded.
    auto parameter(const std::string& name) const -> std::string;
    /// Value of a query parameter as a decimal number; `fallback` when it is absent or malformed.
    auto number(const std::string& name, std::uint64_t fallback) const -> std::uint64_t;
};

} // namespace cornelswitch
