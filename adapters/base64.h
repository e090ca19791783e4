#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Standard base64 (RFC 4648, section 4) with padding and without line breaks.
auto encode_base64(std::string_view bytes) -> std::string;

/// Decodes the output of `encode_base64`. None for any other text, such as text without padding or
/// with line breaks.
auto decode_base64(std::string_view text) -> std::optional<std::string>;

} // namespace cornelswitch
