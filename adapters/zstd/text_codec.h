#pragma once

#include "core/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Compresses `text` with `base` as dictionary, for example an earlier version of it; an empty
/// `base` means none. Parts that both share add almost nothing to the size. `decompress_text` needs
/// the same `base`. Errors: `internal`.
auto compress_text(std::string_view text, std::string_view base) -> result<std::string>;

/// Errors: `invalid_message` when `bytes` is not the output of `compress_text` with this `base`;
/// `too_large` when the text has more than `max_size` bytes.
auto decompress_text(std::string_view bytes, std::string_view base, std::size_t max_size)
    -> result<std::string>;

} // namespace cornelswitch
