#pragma once

#include <cstdint>
#include <optional>

namespace cornelswitch {

/// What the kernel knows of the bytes that a TCP connection has still to deliver.
struct send_queue {
    /// Segments that were sent and have not been acknowledged.
    std::uint32_t unacknowledged_segments{0};
    /// Bytes that were written and have not been sent.
    std::uint32_t unsent_bytes{0};
    /// Consecutive probes of a closed window that were not acknowledged.
    std::uint32_t unanswered_probes{0};
    /// Whether the peer advertises a receive window of zero.
    bool is_window_zero{false};
    /// Bytes that the peer has acknowledged since the connection was opened.
    std::uint64_t acknowledged_bytes{0};

    auto is_empty() const -> bool;
    /// Whether the peer is alive but does not read, so that no more bytes may be sent.
    auto waits_for_reader() const -> bool;
};

/// Reads the state of the connected TCP socket `fd`. Returns `nullopt` when the system does not
/// provide it.
auto read_send_queue(int fd) -> std::optional<send_queue>;

} // namespace cornelswitch
