#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cornelswitch {

/// What a caller's connection is doing, in the order in which connections are closed when there are
/// too many.
enum class connection_state : std::uint8_t {
    idle,
    /// Part of a request head has arrived.
    receiving_head,
    /// A request head and part of its body have arrived.
    receiving_body,
    /// Bytes of a response wait for the caller to read.
    sending,
    /// A request is being processed. Such a connection is never closed.
    busy,
};

/// A connection that may be closed to free a descriptor or memory.
struct eviction_candidate {
    connection_state state{connection_state::busy};
    /// When the connection last made progress: was used, began its head, received or sent a
    /// substantial part of its body or response.
    time_point last_progress{};
    /// Bytes that closing it frees.
    std::uint64_t held_bytes{0};
    /// Earlier requests of the connection are being processed, so it is not closed for another one.
    bool has_earlier_requests{false};
};

/// Chooses the connection to close for a new one: the longest idle one, then the one whose head has
/// been incomplete for the longest time, then a body without progress for `stall_time`. Returns an
/// index, or nothing when the new connection must be closed instead.
auto choose_connection_to_close(const std::vector<eviction_candidate>& candidates, time_point now,
                                duration stall_time) -> std::optional<std::size_t>;

/// Chooses the connection to drop for memory: of those that hold bytes and made no progress for
/// `stall_time`, the one longest without progress; of equal ones, the one that holds the most.
auto choose_memory_to_free(const std::vector<eviction_candidate>& candidates, time_point now,
                           duration stall_time) -> std::optional<std::size_t>;

} // namespace cornelswitch
