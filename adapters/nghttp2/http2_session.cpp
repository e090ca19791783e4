#include "adapters/nghttp2/http2_session.h"

#include <h2o.h>
#include <nghttp2/nghttp2.h>

#include <array>
#include <utility>

namespace cornelswitch {

namespace {

/// Size from which on no further frame is added to one write to the socket.
constexpr std::size_t write_chunk_bytes = 128 * 1024;
/// Flow control applies to each stream; this window is large enough never to limit the connection.
constexpr std::int32_t connection_window_bytes = 64 * 1024 * 1024;

auto self_of(void* user_data) -> http2_session*
{
    return static_cast<http2_session*>(user_data);
}

} // namespace

/// Counts nested calls of nghttp2. Flushes and closes that a callback requests are deferred until
/// the outermost call has returned.
class http2_session::reentrancy_guard {
public:
    explicit reentrancy_guard(http2_session& session) : session_{session}
    {
        ++session_.callback_depth_;
    }
    reentrancy_guard(const reentrancy_guard&) = delete;
    auto operator=(const reentrancy_guard&) -> reentrancy_guard& = delete;
    ~reentrancy_guard() { --session_.callback_depth_; }

private:
    http2_session& session_;
};

struct http2_session::callbacks {
    static auto begin_headers(nghttp2_session*, const nghttp2_frame* frame, void* user) -> int
    {
        self_of(user)->on_begin_headers(frame->hd.stream_id);
        return 0;
    }

    static auto header(nghttp2_session* session, const nghttp2_frame* frame, const uint8_t* name,
                       size_t name_size, const uint8_t* value, size_t value_size, uint8_t,
                       void* user) -> int
    {
        std::string_view name_view{reinterpret_cast<const char*>(name), name_size};
        std::string_view value_view{reinterpret_cast<const char*>(value), value_size};
        if (self_of(user)->on_header(frame->hd.stream_id, name_view, value_view)) {
            return 0;
        }
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id,
                                  NGHTTP2_ENHANCE_YOUR_CALM);
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }

    static auto frame_received(nghttp2_session*, const nghttp2_frame* frame, void* user) -> int
    {
        auto* self = self_of(user);
        auto stream = frame->hd.stream_id;
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            self->on_goaway(frame->goaway.last_stream_id);
            return 0;
        }
        if (frame->hd.type == NGHTTP2_HEADERS) {
            self->on_headers_complete(stream);
        }
        bool is_message = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (is_message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            self->on_end_stream(stream);
        }
        return 0;
    }

    static auto data(nghttp2_session* session, uint8_t, int32_t stream, const uint8_t* data,
                     size_t size, void* user) -> int
    {
        nghttp2_session_consume_connection(session, size);
        self_of(user)->on_data(stream, {reinterpret_cast<const char*>(data), size});
        return 0;
    }

    static auto stream_closed(nghttp2_session*, int32_t stream, uint32_t code, void* user) -> int
    {
        self_of(user)->on_stream_close(stream, code);
        return 0;
    }

    static auto frame_sent(nghttp2_session*, const nghttp2_frame* frame, void* user) -> int
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            self_of(user)->on_headers_sent(frame->hd.stream_id);
        }
        return 0;
    }

    static auto make() -> nghttp2_session_callbacks*
    {
        nghttp2_session_callbacks* it = nullptr;
        nghttp2_session_callbacks_new(&it);
        nghttp2_session_callbacks_set_on_begin_headers_callback(it, begin_headers);
        nghttp2_session_callbacks_set_on_header_callback(it, header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(it, frame_received);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(it, data);
        nghttp2_session_callbacks_set_on_stream_close_callback(it, stream_closed);
        nghttp2_session_callbacks_set_on_frame_send_callback(it, frame_sent);
        return it;
    }

    static auto on_readable(h2o_socket_t* socket, const char* err) -> void
    {
        auto self = self_of(socket->data)->shared_from_this();
        if (err != nullptr) {
            self->close({error_code::connection_lost, "peer-read", self->peer_, err});
            return;
        }
        self->handle_input();
    }

    static auto on_written(h2o_socket_t* socket, const char* err) -> void
    {
        auto self = self_of(socket->data)->shared_from_this();
        self->writing_ = false;
        if (err != nullptr) {
            self->close({error_code::connection_lost, "peer-write", self->peer_, err});
            return;
        }
        self->flush();
    }
};

http2_session::http2_session(event_loop& loop, side role, const http2_limits& limits,
                             std::string peer)
    : loop_{loop}, limits_{limits}, peer_{std::move(peer)}, last_received_{loop.now()}
{
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, limits_.max_streams);
    nghttp2_option_set_max_send_header_block_length(option, limits_.max_header_bytes * 2);
    auto* table = callbacks::make();
    if (role == side::client) {
        nghttp2_session_client_new2(&session_, table, this, option);
    } else {
        nghttp2_session_server_new2(&session_, table, this, option);
    }
    nghttp2_session_callbacks_del(table);
    nghttp2_option_del(option);

    auto header_bytes = static_cast<std::uint32_t>(limits_.max_header_bytes);
    auto settings = std::to_array<nghttp2_settings_entry>({
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.stream_window},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, header_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    });
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
}

http2_session::~http2_session()
{
    release();
    nghttp2_session_del(session_);
}

auto http2_session::attach(st_h2o_socket_t* socket) -> void
{
    socket_ = socket;
    socket_->data = this;
    last_received_ = loop_.now();
    h2o_socket_read_start(socket_, callbacks::on_readable);
    flush();
}

auto http2_session::close(const error& cause) -> void
{
    if (closed_) {
        return;
    }
    if (callback_depth_ > 0) {
        close_requested_ = cause;
        return;
    }
    auto self = shared_from_this();
    closed_ = true;
    release();
    on_session_closed(cause);
}

auto http2_session::add_sent_stream(std::int32_t stream) -> void
{
    if (sent_streams_.empty() || sent_streams_.back() != stream) {
        sent_streams_.push_back(stream);
    }
}

auto http2_session::consume(std::int32_t stream, std::size_t n) -> void
{
    if (closed_ || n == 0) {
        return;
    }
    nghttp2_session_consume_stream(session_, stream, n);
    flush();
}

auto http2_session::flush() -> void
{
    if (closed_ || socket_ == nullptr) {
        return;
    }
    if (callback_depth_ > 0) {
        flush_requested_ = true;
        return;
    }
    auto self = shared_from_this();
    do {
        flush_requested_ = false;
        send_pending();
        on_flushed();
    } while (flush_requested_ && !closed_ && !writing_);
    if (close_requested_) {
        auto cause = *std::exchange(close_requested_, std::nullopt);
        close(cause);
    }
}

auto http2_session::handle_input() -> void
{
    last_received_ = loop_.now();
    auto* input = socket_->input;
    ssize_t used = 0;
    {
        reentrancy_guard guard{*this};
        used = nghttp2_session_mem_recv(session_, reinterpret_cast<const uint8_t*>(input->bytes),
                                        input->size);
    }
    if (used < 0) {
        close({error_code::invalid_message, "peer-read", peer_,
               nghttp2_strerror(static_cast<int>(used))});
        return;
    }
    h2o_buffer_consume(&socket_->input, static_cast<std::size_t>(used));
    flush();
}

auto http2_session::send_pending() -> void
{
    if (writing_) {
        return;
    }
    write_buffer_.clear();
    {
        reentrancy_guard guard{*this};
        while (write_buffer_.size() < write_chunk_bytes) {
            const uint8_t* data = nullptr;
            auto n = nghttp2_session_mem_send(session_, &data);
            if (n < 0) {
                close_requested_ = error{error_code::internal, "peer-write", peer_,
                                         nghttp2_strerror(static_cast<int>(n))};
                return;
            }
            if (n == 0) {
                break;
            }
            write_buffer_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
        }
    }
    if (!write_buffer_.empty()) {
        writing_ = true;
        auto buf = h2o_iovec_init(write_buffer_.data(), write_buffer_.size());
        h2o_socket_write(socket_, &buf, 1, callbacks::on_written);
        return;
    }
    bool wants_more =
        nghttp2_session_want_read(session_) != 0 || nghttp2_session_want_write(session_) != 0;
    if (!wants_more) {
        close_requested_ =
            error{error_code::connection_lost, "peer-session", peer_, "session ended"};
    }
}

auto http2_session::release() -> void
{
    if (socket_ == nullptr) {
        return;
    }
    h2o_socket_close(std::exchange(socket_, nullptr));
}

} // namespace cornelswitch
