#include "adapters/nghttp2/client_session.h"

#include "adapters/nghttp2/header_block.h"
#include "adapters/response_status.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

/// Stream id from which on the connection is replaced, shortly before the ids are used up: after
/// 2^30 requests, which takes days at full load.
constexpr std::int32_t last_stream_id = 0x7fff0000;

} // namespace

client_session::client_session(event_loop& loop, const http2_limits& limits, std::string peer,
                               hooks events)
    : http2_session{loop, side::client, limits, std::move(peer)}, hooks_{std::move(events)}
{
}

auto client_session::send(call_id call, http_request request, response_handlers handlers) -> void
{
    auto it = std::make_unique<stream>();
    it->call = call;
    it->handlers = std::move(handlers);
    header_block block;
    block.add(":method", request.method);
    block.add(":scheme", "http");
    block.add(":authority", peer());
    block.add(":path", request.path);
    block.add_all(request.headers);
    auto length = std::to_string(request.body.size());
    bool has_body = !request.body.empty();
    if (has_body) {
        block.add("content-length", length);
        it->body.append(request.body);
        it->body.finish();
    }
    auto provider = it->body.provider();
    auto id = nghttp2_submit_request(native(), nullptr, block.data(), block.size(),
                                     has_body ? &provider : nullptr, nullptr);
    if (id < 0 || id > last_stream_id) {
        start_draining();
    }
    if (id < 0) {
        fail(*it, error{error_code::unavailable, "peer-send", peer(), nghttp2_strerror(id)},
             request_outcome::not_run);
        return;
    }
    ids_.emplace(call, id);
    streams_.emplace(id, std::move(it));
    flush();
}

auto client_session::cancel(call_id call) -> void
{
    auto it = ids_.find(call);
    if (it == ids_.end()) {
        return;
    }
    auto* found = find(it->second);
    found->ended = true;
    found->handlers = {};
    nghttp2_submit_rst_stream(native(), NGHTTP2_FLAG_NONE, it->second, NGHTTP2_CANCEL);
    ids_.erase(it);
    flush();
}

auto client_session::consumed(call_id call, std::size_t n) -> void
{
    auto it = ids_.find(call);
    if (it != ids_.end()) {
        consume(it->second, n);
    }
}

auto client_session::ping() -> void
{
    nghttp2_submit_ping(native(), NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

auto client_session::close_without_callbacks() -> void
{
    hooks_ = {};
    for (auto& [id, it] : streams_) {
        it->ended = true;
        it->handlers = {};
    }
    close({error_code::canceled, "peer-session", peer(), "closed locally"});
}

auto client_session::on_begin_headers(std::int32_t) -> void {}

auto client_session::on_header(std::int32_t stream, std::string_view name, std::string_view value)
    -> bool
{
    auto* it = find(stream);
    if (it == nullptr) {
        return true;
    }
    it->header_bytes += name.size() + value.size();
    if (it->header_bytes > limits().max_header_bytes) {
        fail(*it, {error_code::too_large, "peer-response", peer(), "headers exceed the limit"},
             request_outcome::unknown);
        return false;
    }
    if (name == ":status") {
        constexpr std::uint64_t max_status = 999;
        auto status = static_cast<int>(std::min(parse_decimal(value).value_or(0), max_status));
        if (!is_response_status(status)) {
            fail(*it, {error_code::invalid_message, "peer-response", peer(), "impossible status"},
                 request_outcome::unknown);
            return false;
        }
        it->head.status = status;
    } else if (name == "content-length") {
        it->head.content_length = parse_decimal(value);
    } else if (!name.starts_with(':')) {
        it->head.headers.push_back({std::string{name}, std::string{value}});
    }
    return true;
}

auto client_session::on_headers_complete(std::int32_t stream) -> void
{
    auto* it = find(stream);
    bool is_informational = it != nullptr && it->head.status >= 100 && it->head.status < 200;
    if (is_informational) {
        it->head = {};
    }
    if (it == nullptr || it->ended || it->head_delivered || is_informational) {
        return;
    }
    it->head_delivered = true;
    if (auto on_head = it->handlers.on_head) {
        on_head(std::move(it->head));
    }
}

auto client_session::on_data(std::int32_t stream, std::string_view data) -> void
{
    auto* it = find(stream);
    if (it == nullptr || it->ended) {
        return;
    }
    if (auto on_data = it->handlers.on_data) {
        on_data(data);
    }
}

auto client_session::on_end_stream(std::int32_t) -> void
{
    // The end is reported by on_stream_close, after nghttp2 has compared the content length.
}

auto client_session::on_stream_close(std::int32_t stream, std::uint32_t code) -> void
{
    auto node = streams_.extract(stream);
    if (node.empty()) {
        return;
    }
    auto& it = *node.mapped();
    if (it.ended) {
        return;
    }
    if (code == NGHTTP2_REFUSED_STREAM) {
        // Sent by the peer, or set by nghttp2 after a GOAWAY with a lower stream id.
        fail(it, {error_code::unavailable, "peer-request", peer(), "stream refused"},
             request_outcome::not_run);
        return;
    }
    if (code != NGHTTP2_NO_ERROR || !it.head_delivered) {
        fail(it,
             {error_code::connection_lost, "peer-response", peer(),
              "stream ended with " + std::string{nghttp2_http2_strerror(code)}},
             request_outcome::unknown);
        return;
    }
    it.ended = true;
    ids_.erase(it.call);
    auto handlers = std::move(it.handlers);
    if (hooks_.on_call_ended) {
        hooks_.on_call_ended(it.call);
    }
    if (handlers.on_end) {
        handlers.on_end(success());
    }
}

auto client_session::on_headers_sent(std::int32_t stream) -> void
{
    if (auto* it = find(stream)) {
        it->headers_sent = true;
    }
}

auto client_session::on_goaway(std::int32_t) -> void
{
    start_draining();
}

auto client_session::on_session_closed(const error& cause) -> void
{
    start_draining();
    auto streams = std::exchange(streams_, {});
    for (auto& [id, it] : streams) {
        if (!it->ended) {
            fail(*it, cause,
                 it->headers_sent ? request_outcome::unknown : request_outcome::not_run);
        }
    }
}

auto client_session::find(std::int32_t id) -> stream*
{
    auto it = streams_.find(id);
    return it == streams_.end() ? nullptr : it->second.get();
}

auto client_session::fail(stream& it, const error& cause, request_outcome outcome) -> void
{
    if (it.ended) {
        return;
    }
    it.ended = true;
    ids_.erase(it.call);
    auto handlers = std::move(it.handlers);
    if (hooks_.on_call_ended) {
        hooks_.on_call_ended(it.call);
    }
    if (handlers.on_end) {
        handlers.on_end(call_failure{cause, outcome});
    }
}

auto client_session::start_draining() -> void
{
    if (!std::exchange(draining_, true) && hooks_.on_draining) {
        hooks_.on_draining(*this);
    }
}

} // namespace cornelswitch
