#pragma once

#include "ownership/ownership_state.h"
#include "ownership/records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace cornelswitch {

/// Assembles snapshots from their chunks in the log and keeps the newest complete one. Chunks from
/// different writers are interchangeable when their end, digest and count are equal.
class snapshot_assembler {
public:
    /// Maximum number of incomplete snapshots; the oldest is discarded first.
    static constexpr std::size_t max_partial = 4;

    auto add(const snapshot_chunk& chunk) -> void;
    /// Newest complete and valid snapshot; null when there is none.
    auto newest() const -> const ownership_state* { return newest_ ? &*newest_ : nullptr; }
    /// Moves out the newest complete and valid snapshot, if any, and clears the assembler.
    auto take() -> std::optional<ownership_state>;

private:
    struct partial_snapshot {
        std::vector<std::string> parts;
        std::size_t missing{0};
    };
    /// End offset, digest and number of chunks.
    using snapshot_key = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;

    auto complete(const snapshot_key& id, const partial_snapshot& it) -> void;

    std::map<snapshot_key, partial_snapshot> partial_snapshots_;
    std::optional<ownership_state> newest_;
};

} // namespace cornelswitch
