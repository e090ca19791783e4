#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/http_message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct nghttp2_session;
struct st_h2o_socket_t;

namespace cornelswitch {

/// Limits of one HTTP/2 session between instances.
struct http2_limits {
    /// Maximum number of concurrent streams that the peer may open.
    std::uint32_t max_streams{16384};
    /// Flow-control window of one stream in bytes: received bytes that were not consumed yet.
    std::uint32_t stream_window{256 * 1024};
    /// Maximum total size of the header names and values of one message.
    std::size_t max_header_bytes{64 * 1024};
    std::size_t max_body_bytes{16 * 1024 * 1024};
};

/// An HTTP/2 session over one TCP socket: transfers bytes between an h2o socket and nghttp2 and
/// reports events to the derived client or server session. Always owned by a shared_ptr.
class http2_session : public std::enable_shared_from_this<http2_session> {
public:
    http2_session(const http2_session&) = delete;
    auto operator=(const http2_session&) -> http2_session& = delete;
    virtual ~http2_session();

    /// Takes over a connected socket and starts to read.
    auto attach(st_h2o_socket_t* socket) -> void;
    /// Closes the socket and reports `cause` through `on_session_closed`. Only the first call has
    /// an effect.
    auto close(const error& cause) -> void;
    auto is_closed() const -> bool { return closed_; }
    auto peer() const -> const std::string& { return peer_; }
    /// Called by `stream_output` when nghttp2 has read bytes of a stream to send them.
    auto add_sent_stream(std::int32_t stream) -> void;
    /// Time at which bytes were last received; at first the time at which the session was created.
    auto last_received() const -> time_point { return last_received_; }

protected:
    enum class side : std::uint8_t { client, server };
    http2_session(event_loop& loop, side role, const http2_limits& limits, std::string peer);

    /// Sends pending frames. A call from an nghttp2 callback takes effect when the outermost
    /// callback has returned.
    auto flush() -> void;
    auto loop() -> event_loop& { return loop_; }
    auto native() -> nghttp2_session* { return session_; }
    auto limits() const -> const http2_limits& { return limits_; }
    /// Streams of which nghttp2 has read output since the previous call.
    auto take_sent_streams() -> std::vector<std::int32_t>
    {
        return std::exchange(sent_streams_, {});
    }
    /// Reports `n` bytes of a stream as consumed, so that the peer can send more.
    auto consume(std::int32_t stream, std::size_t n) -> void;

    virtual auto on_begin_headers(std::int32_t stream) -> void = 0;
    /// Returns false to reset the stream.
    virtual auto on_header(std::int32_t stream, std::string_view name, std::string_view value)
        -> bool = 0;
    virtual auto on_headers_complete(std::int32_t stream) -> void = 0;
    virtual auto on_data(std::int32_t stream, std::string_view data) -> void = 0;
    virtual auto on_end_stream(std::int32_t stream) -> void = 0;
    virtual auto on_stream_close(std::int32_t stream, std::uint32_t code) -> void = 0;
    virtual auto on_headers_sent(std::int32_t) -> void {}
    virtual auto on_goaway(std::int32_t) -> void {}
    /// Called after pending frames were passed to the socket, outside of nghttp2 callbacks.
    virtual auto on_flushed() -> void {}
    /// Called once when the session was closed, by this side, by the peer or by an error.
    virtual auto on_session_closed(const error& cause) -> void = 0;

private:
    struct callbacks;
    class reentrancy_guard;

    auto handle_input() -> void;
    auto send_pending() -> void;
    auto release() -> void;

    event_loop& loop_;
    http2_limits limits_;
    std::string peer_;
    nghttp2_session* session_{nullptr};
    st_h2o_socket_t* socket_{nullptr};
    std::string write_buffer_;
    std::vector<std::int32_t> sent_streams_;
    bool writing_{false};
    bool closed_{false};
    int callback_depth_{0};
    bool flush_requested_{false};
    std::optional<error> close_requested_;
    time_point last_received_;
};

} // namespace cornelswitch
