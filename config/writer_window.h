#pragma once

#include "config/record_header.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace cornelswitch {

/// Remembers which records were applied, so that a record that is appended twice takes effect only
/// once. Memory is bounded: `sequences_per_writer` sequence numbers per writer and `max_writers`
/// writers. A late duplicate of an evicted writer is harmless, because records name the epoch that
/// they replace.
class writer_window {
public:
    /// Slightly more than the number of instances in the largest planned deployment and of their
    /// replacements in one day.
    static constexpr std::size_t max_writers = 1024;
    /// Sequence numbers that are lower than the highest one by this number or more count as
    /// applied.
    static constexpr std::uint64_t sequences_per_writer = 64;

    struct entry {
        /// Highest sequence number that was applied.
        std::uint64_t highest_sequence{0};
        /// Bit n is set if sequence number `highest_sequence` - n was applied.
        std::uint64_t applied_bits{0};
        /// Log offset of the writer's last record; the writer with the lowest one is evicted first.
        std::uint64_t last_offset{0};
        friend auto operator==(const entry&, const entry&) -> bool = default;
    };
    using writer_key = std::pair<instance_id, boot_id>;

    auto contains(const record_header& header) const -> bool;
    /// Returns false if the record was applied before.
    auto insert(const record_header& header, log_offset offset) -> bool;

    auto entries() const -> const std::map<writer_key, entry>& { return entries_; }
    /// Adds an entry of a decoded snapshot.
    auto restore(writer_key key, const entry& it) -> void { entries_[std::move(key)] = it; }

private:
    auto evict_oldest() -> void;

    std::map<writer_key, entry> entries_;
};

} // namespace cornelswitch
