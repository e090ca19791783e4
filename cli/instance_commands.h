#pragma once

#include "adapters/operator_documents.h"
#include "cli/command.h"

#include <vector>

namespace cornelswitch {

/// Commands that query the operator port of one instance.
auto instance_commands() -> std::vector<command>;

/// Texts that the commands print with `--output table`.
auto status_text(const status_document& value) -> std::string;
auto owner_text(const owner_document& value) -> std::string;
auto histograms_text(const histograms_document& value) -> std::string;

/// Percent-encodes everything but the unreserved characters of RFC 3986.
auto encode_query(const std::string& text) -> std::string;

} // namespace cornelswitch
