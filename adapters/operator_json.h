#pragma once

#include "adapters/operator_documents.h"
#include "core/error.h"

#include <string>
#include <string_view>

namespace cornelswitch {

/// Serializes a document of the operator port to JSON.
auto to_json_text(const status_document& value) -> std::string;
auto to_json_text(const owner_document& value) -> std::string;
auto to_json_text(const histograms_document& value) -> std::string;

/// Parses the output of `to_json_text`. Unknown fields are ignored, so that documents of newer
/// instances can be read. Errors: `invalid_message`.
auto parse_status(std::string_view text) -> result<status_document>;
auto parse_owner(std::string_view text) -> result<owner_document>;
auto parse_histograms(std::string_view text) -> result<histograms_document>;

} // namespace cornelswitch
