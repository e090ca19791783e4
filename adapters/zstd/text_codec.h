#pragma once

#include "core/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Compresses `text`. Parts that it shares with `base`, such as an earlier version of it, cost
/// almost nothing; whoever decompresses it needs the same `base`. Errors: `internal`.
auto compress_text(std::string_view text, std::string_view base) -> result<std::string>;

/// Errors: `invalid_message` when the bytes are not what `compress_text` made with this `base`;
/// `too_large` when the text has more than `max_size` bytes.
auto decompress_text(std::string_view bytes, std::string_view base, std::size_t max_size)
    -> result<std::string>;

} // namespace cornelswitch
