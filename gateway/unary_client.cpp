#include "gateway/unary_client.h"

#include "adapters/http1/message_parser.h"

#include <utility>

namespace cornelswitch {

namespace {

constexpr std::size_t max_header_bytes = 64 * 1024;

auto encode(const http_request& request, const endpoint& server) -> std::string
{
    std::string out;
    out.append(request.method).append(" ").append(request.path).append(" HTTP/1.1\r\nhost: ");
    out.append(server.to_text()).append("\r\n");
    for (const auto& header : request.headers) {
        out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (request.method == "POST") {
        out.append("content-length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    out.append("\r\n").append(request.body);
    return out;
}

} // namespace

struct unary_client::connection {
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<http1_parser> parser;
    http_request request;
    http_response response;
    handler on_response;
    event_loop::timer_id timer{0};
    time_point started{};
    /// When bytes of the response last arrived.
    time_point last_received{};
    bool is_busy{false};
    bool keeps_alive{false};
    bool is_complete{false};
    bool is_closed{false};
};

unary_client::unary_client(event_loop& loop, endpoint server, options settings)
    : loop_{loop}, server_{std::move(server)}, options_{settings}
{
}

unary_client::~unary_client()
{
    *alive_ = false;
    for (auto& conn : connections_) {
        loop_.cancel(conn->timer);
        if (conn->stream) {
            conn->stream->abort();
        }
    }
}

auto unary_client::call(http_request request, duration timeout, handler on_response) -> void
{
    ++calls_;
    std::shared_ptr<connection> conn;
    for (auto& idle : connections_) {
        if (!idle->is_busy && idle->stream && idle->stream->is_open()) {
            conn = idle;
        }
    }
    bool is_new = !conn;
    if (is_new) {
        conn = std::make_shared<connection>();
        connections_.push_back(conn);
    }
    conn->is_busy = true;
    conn->is_complete = false;
    conn->request = std::move(request);
    conn->response = {};
    conn->on_response = std::move(on_response);
    conn->started = loop_.now();
    conn->last_received = {};
    conn->timer = loop_.schedule(timeout, [this, conn, alive = alive_] {
        if (*alive) {
            on_timeout(conn);
        }
    });
    if (!is_new) {
        send(conn);
        return;
    }
    tcp_stream::connect(loop_, server_, options_.stream, options_.connect_timeout,
                        [this, conn, alive = alive_](std::unique_ptr<tcp_stream> stream) {
                            if (*alive) {
                                on_connected(conn, std::move(stream));
                            }
                        });
}

auto unary_client::on_timeout(const std::shared_ptr<connection>& conn) -> void
{
    auto now = loop_.now();
    bool is_receiving = conn->last_received != time_point{} &&
                        now < conn->last_received + options_.stall_timeout &&
                        now < conn->started + options_.max_response_time;
    if (!is_receiving) {
        finish(conn, error{error_code::timeout, "call", server_.to_text(), "no response in time"},
               false);
        return;
    }
    conn->timer = loop_.schedule(conn->last_received + options_.stall_timeout - now,
                                 [this, conn, alive = alive_] {
                                     if (*alive) {
                                         on_timeout(conn);
                                     }
                                 });
}

auto unary_client::on_connected(const std::shared_ptr<connection>& conn,
                                std::unique_ptr<tcp_stream> stream) -> void
{
    if (conn->is_closed) {
        return;
    }
    if (!stream) {
        finish(
            conn,
            error{error_code::connection_refused, "call", server_.to_text(), "could not connect"},
            false);
        return;
    }
    conn->stream = std::move(stream);
    auto* raw = conn.get();
    http1_parser::handlers handlers;
    handlers.on_head = [raw](http1_head head) {
        raw->keeps_alive = head.keeps_alive && head.framing != body_framing::until_close;
        raw->response.head.status = head.status;
        raw->response.head.headers = std::move(head.headers);
    };
    handlers.on_body = [raw](std::string_view data) { raw->response.body.append(data); };
    handlers.on_end = [raw] { raw->is_complete = true; };
    conn->parser =
        std::make_unique<http1_parser>(http1_kind::response, max_header_bytes, std::move(handlers));
    std::weak_ptr<connection> weak = conn;
    tcp_stream::handlers stream_handlers;
    stream_handlers.on_data = [this, weak, alive = alive_](std::string_view bytes) {
        auto self = weak.lock();
        if (!*alive || !self || self->is_closed) {
            return;
        }
        if (!self->is_busy) {
            // No call is in progress, so these bytes belong to no request.
            finish(self, error{error_code::invalid_message, "call", server_.to_text(), "surplus"},
                   false);
            return;
        }
        self->last_received = loop_.now();
        auto used = self->parser->feed(bytes);
        if (used.has_error() || self->response.body.size() > options_.max_body) {
            finish(self,
                   error{error_code::invalid_message, "call", server_.to_text(),
                         used.has_error() ? used.error().message : "body too large"},
                   false);
        } else if (self->is_complete) {
            bool keeps =
                options_.reuses_connections && self->keeps_alive && used.value() == bytes.size();
            finish(self, std::move(self->response), keeps);
        }
    };
    stream_handlers.on_end = [this, weak, alive = alive_](stream_end reason) {
        auto self = weak.lock();
        if (*alive && self && !self->is_closed) {
            on_end(self, reason);
        }
    };
    conn->stream->start(std::move(stream_handlers));
    send(conn);
}

auto unary_client::on_end(const std::shared_ptr<connection>& conn, stream_end reason) -> void
{
    if (reason == stream_end::closed && conn->is_busy && conn->parser && conn->parser->finish() &&
        conn->is_complete) {
        finish(conn, std::move(conn->response), false);
    } else {
        finish(conn, error{error_code::connection_lost, "call", server_.to_text(), "closed"},
               false);
    }
}

auto unary_client::send(const std::shared_ptr<connection>& conn) -> void
{
    conn->stream->write(encode(conn->request, server_));
}

auto unary_client::finish(const std::shared_ptr<connection>& conn, result<http_response> outcome,
                          bool keeps_connection) -> void
{
    // A copy, because removal from the list may drop the last other reference.
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    auto self = conn;
    loop_.cancel(self->timer);
    self->is_busy = false;
    auto on_response = std::exchange(self->on_response, nullptr);
    if (!keeps_connection) {
        self->is_closed = true;
        if (self->stream) {
            self->stream->abort();
        }
        connections_.remove(self);
    }
    auto alive = alive_;
    if (on_response) {
        on_response(std::move(outcome));
    }
    if (*alive && !keeps_connection && on_connection_lost_) {
        on_connection_lost_();
    }
}

} // namespace cornelswitch
