#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelswitch {

/// Counts the most frequent keys in bounded memory with the Space-Saving algorithm. A key with a
/// share above 1/`capacity` is always tracked. A count is too high by at most its `error`.
class hot_key_counter {
public:
    struct counted_key {
        key_hash key;
        std::uint32_t count{0};
        /// Part of the count that may belong to keys that this one displaced.
        std::uint32_t error{0};
    };

    static constexpr std::size_t default_capacity = 64;

    explicit hot_key_counter(std::size_t capacity = default_capacity);

    auto add(key_hash key) -> void;
    /// Halves all counts. Called once per report interval, so that keys that are no longer hot
    /// disappear within a few intervals.
    auto decay() -> void;
    /// The `n` keys with the largest guaranteed counts (`count - error`), in descending order.
    auto top(std::size_t n) const -> std::vector<counted_key>;
    auto capacity() const -> std::size_t { return capacity_; }

private:
    std::size_t capacity_;
    std::vector<counted_key> keys_;
};

} // namespace cornelswitch
