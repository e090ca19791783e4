#pragma once

#include "config/config_record.h"
#include "core/error.h"

#include <string>
#include <string_view>

namespace cornelswitch {

/// State that an instance sends to a peer that cannot read the log.
struct state_copy {
    config_snapshot config;
    /// Encoded by `snapshot_codec`.
    std::string ownership;
    friend auto operator==(const state_copy&, const state_copy&) -> bool = default;
};

auto encode_state_copy(const state_copy& copy) -> std::string;
/// Errors: `invalid_message` for malformed and oversized bytes.
auto decode_state_copy(std::string_view bytes) -> result<state_copy>;

} // namespace cornelswitch
