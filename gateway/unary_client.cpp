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
    for (const auto& it : request.headers) {
        out.append(it.name).append(": ").append(it.value).append("\r\n");
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
    handler done;
    event_loop::timer_id timer{0};
    time_point started{};
    /// When bytes of the answer last arrived.
    time_point last_bytes{};
    bool is_busy{false};
    bool keeps_alive{false};
    bool is_complete{false};
    bool is_closed{false};
};

unary_client::unary_client(event_loop& loop, endpoint server, options configured)
    : loop_{loop}, server_{std::move(server)}, options_{configured}
{
}

unary_client::~unary_client()
{
    *alive_ = false;
    for (auto& it : connections_) {
        loop_.cancel(it->timer);
        if (it->stream) {
            it->stream->abort();
        }
    }
}

auto unary_client::call(http_request request, duration timeout, handler done) -> void
{
    ++calls_;
    std::shared_ptr<connection> it;
    for (auto& idle : connections_) {
        if (!idle->is_busy && idle->stream && idle->stream->is_open()) {
            it = idle;
        }
    }
    bool is_new = !it;
    if (is_new) {
        it = std::make_shared<connection>();
        connections_.push_back(it);
    }
    it->is_busy = true;
    it->is_complete = false;
    it->request = std::move(request);
    it->response = {};
    it->done = std::move(done);
    it->started = loop_.now();
    it->last_bytes = {};
    it->timer = loop_.schedule(timeout, [this, it, alive = alive_] {
        if (*alive) {
            on_timeout(it);
        }
    });
    if (!is_new) {
        send(it);
        return;
    }
    tcp_stream::connect(loop_, server_, options_.stream, options_.connect_timeout,
                        [this, it, alive = alive_](std::unique_ptr<tcp_stream> stream) {
                            if (*alive) {
                                on_connected(it, std::move(stream));
                            }
                        });
}

auto unary_client::on_timeout(const std::shared_ptr<connection>& it) -> void
{
    auto now = loop_.now();
    bool is_arriving = it->last_bytes != time_point{} &&
                       now < it->last_bytes + options_.stall_timeout &&
                       now < it->started + options_.longest_answer;
    if (!is_arriving) {
        finish(it, error{error_code::timeout, "call", server_.to_text(), "no answer in time"},
               false);
        return;
    }
    it->timer =
        loop_.schedule(it->last_bytes + options_.stall_timeout - now, [this, it, alive = alive_] {
            if (*alive) {
                on_timeout(it);
            }
        });
}

auto unary_client::on_connected(const std::shared_ptr<connection>& it,
                                std::unique_ptr<tcp_stream> stream) -> void
{
    if (it->is_closed) {
        return;
    }
    if (!stream) {
        finish(it,
               error{error_code::connection_refused, "call", server_.to_text(), "not connected"},
               false);
        return;
    }
    it->stream = std::move(stream);
    auto* raw = it.get();
    http1_parser::handlers handlers;
    handlers.on_head = [raw](http1_head head) {
        raw->keeps_alive = head.keeps_alive && head.framing != body_framing::until_close;
        raw->response.head.status = head.status;
        raw->response.head.headers = std::move(head.headers);
    };
    handlers.on_body = [raw](std::string_view data) { raw->response.body.append(data); };
    handlers.on_end = [raw] { raw->is_complete = true; };
    it->parser =
        std::make_unique<http1_parser>(http1_kind::response, max_header_bytes, std::move(handlers));
    std::weak_ptr<connection> weak = it;
    tcp_stream::handlers receivers;
    receivers.on_data = [this, weak, alive = alive_](std::string_view bytes) {
        auto self = weak.lock();
        if (!*alive || !self || self->is_closed) {
            return;
        }
        if (!self->is_busy) {
            // Bytes without a call belong to no request.
            finish(self, error{error_code::invalid_message, "call", server_.to_text(), "surplus"},
                   false);
            return;
        }
        self->last_bytes = loop_.now();
        auto used = self->parser->feed(bytes);
        if (used.has_error() || self->response.body.size() > options_.max_body) {
            finish(self,
                   error{error_code::invalid_message, "call", server_.to_text(),
                         used.has_error() ? used.error().message : "body too large"},
                   false);
        } else if (self->is_complete) {
            bool keeps = self->keeps_alive && used.value() == bytes.size();
            finish(self, std::move(self->response), keeps);
        }
    };
    receivers.on_end = [this, weak, alive = alive_](stream_end) {
        auto self = weak.lock();
        if (*alive && self && !self->is_closed) {
            on_end(self);
        }
    };
    it->stream->start(std::move(receivers));
    send(it);
}

auto unary_client::on_end(const std::shared_ptr<connection>& it) -> void
{
    if (it->is_busy && it->parser && it->parser->finish() && it->is_complete) {
        finish(it, std::move(it->response), false);
    } else {
        finish(it, error{error_code::connection_lost, "call", server_.to_text(), "closed"}, false);
    }
}

auto unary_client::send(const std::shared_ptr<connection>& it) -> void
{
    it->stream->write(encode(it->request, server_));
}

auto unary_client::finish(const std::shared_ptr<connection>& it, result<http_response> outcome,
                          bool keeps_connection) -> void
{
    // Held, because the list may drop the last reference.
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    auto self = it;
    loop_.cancel(self->timer);
    self->is_busy = false;
    auto done = std::exchange(self->done, nullptr);
    if (!keeps_connection) {
        self->is_closed = true;
        if (self->stream) {
            self->stream->abort();
        }
        connections_.remove(self);
    }
    auto alive = alive_;
    if (done) {
        done(std::move(outcome));
    }
    if (*alive && !keeps_connection && on_lost_) {
        on_lost_();
    }
}

} // namespace cornelswitch
