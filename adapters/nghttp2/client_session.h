#pragma once

#include "adapters/nghttp2/http2_session.h"
#include "adapters/nghttp2/stream_output.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cornelswitch {

/// Client side of an HTTP/2 session between instances.
class client_session final : public http2_session {
public:
    using call_id = std::uint64_t;

    /// Callbacks of the owner of the session.
    struct hooks {
        /// Called once for each call that ended, before the call's `on_end`. Not called for
        /// canceled calls.
        std::function<void(call_id)> on_call_ended;
        /// Called once when the session accepts no more calls: it was closed, the peer has sent
        /// GOAWAY, or the stream ids are used up.
        std::function<void(client_session&)> on_draining;
    };

    client_session(event_loop& loop, const http2_limits& limits, std::string peer, hooks events);

    auto send(call_id call, http_request request, response_handlers handlers) -> void;
    /// Resets the stream; the call's handlers are no longer called.
    auto cancel(call_id call) -> void;
    /// Reports that the receiver has processed `n` bytes, so that the peer can send more.
    auto consumed(call_id call, std::size_t n) -> void;
    auto ping() -> void;
    /// Closes the connection without calling any hook or handler.
    auto close_without_callbacks() -> void;
    auto calls() const -> std::size_t { return streams_.size(); }
    auto accepts_calls() const -> bool { return !draining_ && !is_closed(); }

private:
    struct stream {
        call_id call{0};
        response_handlers handlers;
        response_head head;
        std::size_t header_bytes{0};
        bool headers_sent{false};
        bool head_delivered{false};
        bool ended{false};
        stream_output body;
    };

    auto on_begin_headers(std::int32_t stream) -> void override;
    auto on_header(std::int32_t stream, std::string_view name, std::string_view value)
        -> bool override;
    auto on_headers_complete(std::int32_t stream) -> void override;
    auto on_data(std::int32_t stream, std::string_view data) -> void override;
    auto on_end_stream(std::int32_t stream) -> void override;
    auto on_stream_close(std::int32_t stream, std::uint32_t code) -> void override;
    auto on_headers_sent(std::int32_t stream) -> void override;
    auto on_goaway(std::int32_t last_stream) -> void override;
    auto on_flushed() -> void override { take_sent_streams(); }
    auto on_session_closed(const error& cause) -> void override;

    auto find(std::int32_t id) -> stream*;
    auto fail(stream& it, const error& cause, request_outcome outcome) -> void;
    auto start_draining() -> void;

    hooks hooks_;
    std::map<std::int32_t, std::unique_ptr<stream>> streams_;
    std::map<call_id, std::int32_t> ids_;
    bool draining_{false};
};

} // namespace cornelswitch
