#pragma once

#include "adapters/h2o/event_loop.h"
#include "config/configuration.h"
#include "core/error.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct st_h2o_socket_t;

namespace cornelswitch {

/// Why a stream ended.
enum class stream_end : std::uint8_t {
    /// The peer closed its side in order. It may have reset the connection after that.
    closed,
    /// The connection was reset or timed out; bytes may be missing.
    failed,
};

/// Socket options of a connection.
struct stream_options {
    /// Time that sent bytes may stay unacknowledged before the connection fails; zero leaves the
    /// default of the system.
    std::chrono::milliseconds unacknowledged_timeout{0};
    /// Idle time before keep-alive probes start; zero sends none.
    std::chrono::seconds keepalive_idle{0};
    /// Size of the kernel's receive buffer in bytes; zero leaves the default of the system, which
    /// grows to several megabytes.
    int receive_buffer{0};
    /// Time for which a peer that is alive may leave its receive window closed before the
    /// connection fails; at least `unacknowledged_timeout` applies.
    std::chrono::milliseconds closed_window_timeout{0};
};

/// One TCP connection with a buffered writer. Used only on the event loop's thread.
class tcp_stream {
public:
    struct handlers {
        std::function<void(std::string_view)> on_data;
        /// Called once, after the last `on_data`. Not called after `close`, `close_after_write` or
        /// `abort`.
        std::function<void(stream_end)> on_end;
        /// Called when all bytes passed to `write` have been handed to the kernel.
        std::function<void()> on_drained;
    };
    using connect_handler = std::function<void(std::unique_ptr<tcp_stream>)>;

    /// Takes over an accepted or connected socket.
    tcp_stream(event_loop& loop, st_h2o_socket_t* socket, const stream_options& options);
    tcp_stream(const tcp_stream&) = delete;
    auto operator=(const tcp_stream&) -> tcp_stream& = delete;
    /// Closes the connection.
    ~tcp_stream();

    /// Connects; `handler` gets null when that fails or takes longer than `timeout`. It runs later.
    static auto connect(event_loop& loop, const endpoint& peer, const stream_options& options,
                        duration timeout, connect_handler handler) -> void;

    /// Sets the handlers and starts to read.
    auto start(handlers receivers) -> void;
    auto set_on_drained(std::function<void()> handler) -> void;
    auto write(std::string bytes) -> void;
    /// Stops or resumes reading. While it is stopped, TCP flow control slows the peer down.
    auto set_reading(bool enabled) -> void;
    /// Number of bytes that have not been handed to the kernel.
    auto unsent_bytes() const -> std::size_t;
    auto is_open() const -> bool;
    /// Shuts down the sending direction after the pending bytes. Reading continues, because closing
    /// a socket with unread bytes resets the connection, and the peer can lose what was just sent.
    auto shut_down_sending() -> void;
    /// Whether the kernel's receive buffer contains unread bytes.
    auto has_unread_bytes() const -> bool;
    /// Closes after the pending bytes have been handed to the kernel.
    auto close_after_write() -> void;
    /// Closes at once; unsent bytes are discarded.
    auto close() -> void;
    /// Resets the connection, so that bytes in flight are not delivered later.
    auto abort() -> void;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace cornelswitch
