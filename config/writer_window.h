#pragma once

#include "config/record_header.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace cornelswitch {

/// Remembers which records were applied, so that a record appended twice takes effect once. Memory
/// is bounded: 64 sequence numbers of each writer, and `max_writers` writers. Of a forgotten writer
/// a late duplicate is harmless, because records name the epoch that they replace.
class writer_window {
public:
    /// A little more than the instances of the design size and their replacements of one day.
    static constexpr std::size_t max_writers = 1024;
    /// A sequence number this far below the highest one counts as applied.
    static constexpr std::uint64_t width = 64;

    struct entry {
        std::uint64_t highest{0};
        /// Bit n is set when `highest` - n was applied.
        std::uint64_t seen{0};
        /// Offset of the writer's last record; the writer with the lowest one is forgotten first.
        std::uint64_t last_offset{0};
        friend auto operator==(const entry&, const entry&) -> bool = default;
    };
    using writer_key = std::pair<instance_id, boot_id>;

    auto contains(const record_header& header) const -> bool;
    /// Returns false when the record was applied before.
    auto insert(const record_header& header, log_offset offset) -> bool;

    auto entries() const -> const std::map<writer_key, entry>& { return entries_; }
    /// Adds an entry of a decoded snapshot.
    auto restore(writer_key key, const entry& it) -> void { entries_[std::move(key)] = it; }

private:
    auto forget_oldest() -> void;

    std::map<writer_key, entry> entries_;
};

} // namespace cornelswitch
