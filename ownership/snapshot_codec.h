#pragma once

#include "core/error.h"
#include "ownership/ownership_state.h"
#include "ownership/records.h"

#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// Largest encoded snapshot, in bytes.
inline constexpr std::size_t max_snapshot_bytes = std::size_t{16} * 1024 * 1024;
inline constexpr std::size_t snapshot_chunk_bytes = std::size_t{64} * 1024;

/// Encodes and decodes the applied state. The encoding is canonical: equal states give equal bytes,
/// regardless of the order of their internal indexes.
class snapshot_codec {
public:
    static auto encode(const ownership_state& state) -> std::string;
    /// Errors: `invalid_message` for malformed or non-canonical bytes and for a state that exceeds
    /// a bound.
    static auto decode(std::string_view bytes) -> result<ownership_state>;

    /// Splits an encoded snapshot into chunks of `snapshot_chunk_bytes`.
    static auto to_chunks(std::string_view bytes, log_offset end) -> std::vector<snapshot_chunk>;
};

} // namespace cornelswitch
