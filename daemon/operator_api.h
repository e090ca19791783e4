#pragma once

#include "adapters/exchange.h"
#include "adapters/operator_documents.h"
#include "core/error.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Functions that build the documents of the operator port.
struct operator_sources {
    std::function<status_document()> status;
    std::function<result<owner_document>(const service_id&, const std::string&)> owner;
    /// Histograms of the given tenant and class; an empty argument selects all.
    std::function<histograms_document(std::string_view, std::string_view)> histograms;
    /// Metrics in the text exposition format.
    std::function<std::string()> metrics;
};

/// Answers requests to the operator port: /status, /owner, /histograms, /metrics.
class operator_api {
public:
    explicit operator_api(operator_sources sources) : sources_{std::move(sources)} {}

    auto serve(exchange& request) const -> void;

private:
    operator_sources sources_;
};

/// Percent-decoded value of the parameter `name` in the query of `path`; none when it is absent or
/// malformed.
auto query_value(std::string_view path, std::string_view name) -> std::optional<std::string>;

} // namespace cornelswitch
