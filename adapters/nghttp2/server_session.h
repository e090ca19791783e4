#pragma once

#include "adapters/exchange.h"
#include "adapters/nghttp2/http2_session.h"
#include "adapters/nghttp2/stream_output.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace cornelswitch {

/// Server side of an HTTP/2 session between instances. Each request is passed on as an exchange
/// when it has been received completely.
class server_session final : public http2_session {
public:
    struct hooks {
        exchange_handler on_request;
        std::function<void(server_session&, const error&)> on_closed;
    };

    server_session(event_loop& loop, const http2_limits& limits, std::string peer, hooks events);

    /// Sends GOAWAY: streams that were already received are finished, later ones are refused.
    auto shut_down() -> void;
    auto open_streams() const -> std::size_t { return streams_.size(); }

private:
    class stream;

    auto on_begin_headers(std::int32_t id) -> void override;
    auto on_header(std::int32_t id, std::string_view name, std::string_view value) -> bool override;
    auto on_headers_complete(std::int32_t id) -> void override;
    auto on_data(std::int32_t id, std::string_view data) -> void override;
    auto on_end_stream(std::int32_t id) -> void override;
    auto on_stream_close(std::int32_t id, std::uint32_t code) -> void override;
    auto on_flushed() -> void override;
    auto on_session_closed(const error& cause) -> void override;
    auto find(std::int32_t id) -> std::shared_ptr<stream>;

    hooks hooks_;
    std::map<std::int32_t, std::shared_ptr<stream>> streams_;
};

} // namespace cornelswitch
