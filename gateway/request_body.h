#pragma once

#include "core/memory_reservation.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// Body of one request, stored once in blocks. The attempts to send the request share it.
class request_body {
public:
    /// Largest size of a block, in bytes.
    static constexpr std::size_t block_size = std::size_t{64} * 1024;
    /// Bodies up to this size are small uses of the memory account.
    static constexpr std::size_t max_small_size = block_size;

    explicit request_body(memory_account& account) : memory_{account, memory_kind::request_body} {}

    static auto use(std::uint64_t bytes) -> memory_use
    {
        return bytes <= max_small_size ? memory_use::small : memory_use::large;
    }
    /// Reserves memory for a body of `bytes`. Returns false when the account has no room.
    auto try_reserve(std::uint64_t bytes) -> bool { return memory_.try_resize(bytes, use(bytes)); }
    auto reserved_bytes() const -> std::uint64_t { return memory_.bytes(); }
    /// Appends bytes for which memory was reserved.
    auto append(std::string_view bytes) -> void;
    auto size() const -> std::size_t { return size_; }
    auto blocks() const -> const std::vector<std::string>& { return blocks_; }

private:
    memory_reservation memory_;
    std::vector<std::string> blocks_;
    std::size_t size_{0};
};

} // namespace cornelswitch
