#include "adapters/nghttp2/server_session.h"

#include "adapters/nghttp2/header_block.h"

#include <utility>
#include <vector>

namespace cornelswitch {

/// A request of the peer. It may outlive its session; calls then have no effect.
class server_session::stream final : public exchange {
public:
    stream(std::weak_ptr<server_session> session, std::int32_t id)
        : session_{std::move(session)}, id_{id}
    {
    }

    auto start(const response_head& head) -> void override
    {
        auto session = open_session();
        if (!session || std::exchange(started_, true)) {
            return;
        }
        header_block block;
        auto status = std::to_string(head.status);
        auto length = std::to_string(head.content_length.value_or(0));
        block.add(":status", status);
        block.add_all(head.headers);
        if (head.content_length) {
            block.add("content-length", length);
        }
        auto provider = output.provider();
        nghttp2_submit_response(session->native(), id_, block.data(), block.size(), &provider);
        session->flush();
    }

    auto write(std::string_view data) -> void override
    {
        output.append(data);
        resume();
    }

    auto finish() -> void override
    {
        output.finish();
        resume();
    }

    auto abort() -> void override { reset(NGHTTP2_INTERNAL_ERROR); }

    auto reset(std::uint32_t code) -> void
    {
        if (auto session = open_session()) {
            on_closed = nullptr;
            nghttp2_submit_rst_stream(session->native(), NGHTTP2_FLAG_NONE, id_, code);
            session->flush();
        }
    }

    using exchange::mutable_request;

    /// Called when the stream has ended; `is_incomplete` if the response was not sent completely.
    auto handle_close(bool is_incomplete) -> void
    {
        session_.reset();
        auto handler = std::exchange(on_closed, nullptr);
        on_sent = nullptr;
        if (is_incomplete && handler) {
            handler();
        }
    }

    stream_output output;
    std::size_t header_bytes{0};
    bool delivered{false};
    bool rejected{false};

private:
    auto open_session() -> std::shared_ptr<server_session>
    {
        auto session = session_.lock();
        return session && !session->is_closed() ? session : nullptr;
    }

    auto resume() -> void
    {
        if (auto session = open_session()) {
            nghttp2_session_resume_data(session->native(), id_);
            session->flush();
        }
    }

    std::weak_ptr<server_session> session_;
    std::int32_t id_;
    bool started_{false};
};

server_session::server_session(event_loop& loop, const http2_limits& limits, std::string peer,
                               hooks events)
    : http2_session{loop, side::server, limits, std::move(peer)}, hooks_{std::move(events)}
{
}

auto server_session::shut_down() -> void
{
    auto last = nghttp2_session_get_last_proc_stream_id(native());
    nghttp2_submit_goaway(native(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

auto server_session::on_begin_headers(std::int32_t id) -> void
{
    if (streams_.contains(id)) {
        return; // Trailers.
    }
    auto self = std::static_pointer_cast<server_session>(shared_from_this());
    streams_.emplace(id, std::make_shared<stream>(self, id));
}

auto server_session::on_header(std::int32_t id, std::string_view name, std::string_view value)
    -> bool
{
    auto it = find(id);
    if (!it || it->delivered) {
        return true;
    }
    it->header_bytes += name.size() + value.size();
    if (it->header_bytes > limits().max_header_bytes) {
        return false;
    }
    auto& request = it->mutable_request();
    if (name == ":method") {
        request.method = value;
    } else if (name == ":path") {
        request.path = value;
    } else if (!name.starts_with(':')) {
        request.headers.push_back({std::string{name}, std::string{value}});
    }
    return true;
}

auto server_session::on_headers_complete(std::int32_t) -> void {}

auto server_session::on_data(std::int32_t id, std::string_view data) -> void
{
    auto it = find(id);
    if (!it || it->rejected) {
        return;
    }
    auto& body = it->mutable_request().body;
    if (body.size() + data.size() > limits().max_body_bytes) {
        it->rejected = true;
        body = {};
        it->reset(NGHTTP2_REFUSED_STREAM);
        return;
    }
    body.append(data);
    consume(id, data.size());
}

auto server_session::on_end_stream(std::int32_t id) -> void
{
    auto it = find(id);
    if (!it || it->rejected || std::exchange(it->delivered, true)) {
        return;
    }
    hooks_.on_request(it);
}

auto server_session::on_stream_close(std::int32_t id, std::uint32_t) -> void
{
    auto node = streams_.extract(id);
    if (!node.empty()) {
        auto& it = *node.mapped();
        it.handle_close(!it.output.at_end());
    }
}

auto server_session::on_flushed() -> void
{
    for (auto id : take_sent_streams()) {
        auto it = find(id);
        auto n = it ? it->output.take_sent() : 0;
        if (n == 0) {
            continue;
        }
        if (auto handler = it->on_sent) {
            handler(n);
        }
    }
}

auto server_session::on_session_closed(const error& cause) -> void
{
    auto streams = std::exchange(streams_, {});
    for (auto& [id, it] : streams) {
        it->handle_close(true);
    }
    hooks_.on_closed(*this, cause);
}

auto server_session::find(std::int32_t id) -> std::shared_ptr<stream>
{
    auto it = streams_.find(id);
    return it == streams_.end() ? nullptr : it->second;
}

} // namespace cornelswitch
