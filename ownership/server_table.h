#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelswitch {

/// Maps server ids to 32-bit indexes, so that an entry of a slot takes only 16 bytes. Indexes are
/// valid only within one process and are reused; snapshots identify servers by id.
class server_table {
public:
    static constexpr std::uint32_t none = UINT32_MAX;

    struct entry {
        server_id id;
        std::optional<cell_id> cell;
        /// Number of slots that refer to the server, including released ones. The entry is kept
        /// while there are any.
        std::uint32_t slots{0};
        std::uint32_t unreleased{0};
    };

    /// Index of the server, or `none`.
    auto find(const server_id& id) const -> std::uint32_t;
    auto find_or_add(const server_id& id) -> std::uint32_t;
    auto at(std::uint32_t index) const -> const entry& { return entries_[index]; }
    auto at(std::uint32_t index) -> entry& { return entries_[index]; }
    /// Frees the index if neither a cell nor a slot refers to the server.
    auto drop_if_unused(std::uint32_t index) -> void;
    /// Servers in order of id.
    auto indexes() const -> const std::map<server_id, std::uint32_t>& { return indexes_; }
    auto memory_bytes() const -> std::size_t;

private:
    std::vector<entry> entries_;
    std::vector<std::uint32_t> free_;
    std::map<server_id, std::uint32_t> indexes_;
};

} // namespace cornelswitch
