#pragma once

#include "adapters/operator_documents.h"
#include "daemon/metrics.h"

#include <string_view>

namespace cornelswitch {

/// Builds the response to `GET /histograms`; an empty tenant or class selects all.
auto make_histograms(const request_metrics& metrics, std::string_view tenant,
                     std::string_view priority) -> histograms_document;

/// Numbers of requests by outcome, summed over all tenants and classes.
auto make_counts(const request_metrics& metrics) -> request_counts;

} // namespace cornelswitch
