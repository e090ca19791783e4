#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch {

/// In-memory streams of the stand-in platform's log. Offsets start at 0 and are never reused.
class platform_log {
public:
    struct record {
        std::uint64_t offset{0};
        std::string data;
    };
    struct page {
        /// Oldest retained offset.
        std::uint64_t first{0};
        /// Next offset to be assigned.
        std::uint64_t end{0};
        std::vector<record> records;
    };

    static constexpr std::size_t max_streams = 16;
    /// In bytes.
    static constexpr std::size_t max_record_size = std::size_t{4} << 20U;

    /// Retains the newest `retained` records of each stream.
    explicit platform_log(std::size_t retained) : retained_{retained} {}

    /// Returns the offset of the new record; none when the record exceeds `max_record_size` or a
    /// new stream would exceed `max_streams`.
    auto append(const std::string& stream, std::string data) -> std::optional<std::uint64_t>;
    /// Up to `limit` records from `from`, or from the oldest retained one when that is later.
    auto read(const std::string& stream, std::uint64_t from, std::size_t limit) const -> page;
    /// Drops all records before `first`, as retention would.
    auto truncate(const std::string& stream, std::uint64_t first) -> void;

private:
    struct stream_state {
        std::uint64_t first{0};
        std::deque<std::string> records;
    };

    std::size_t retained_;
    std::map<std::string, stream_state> streams_;
};

} // namespace cornelswitch
