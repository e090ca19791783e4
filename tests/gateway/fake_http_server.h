#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/listener.h"
#include "adapters/h2o/tcp_stream.h"
#include "adapters/http1/message_parser.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornelswitch::test {

/// A request that a fake received. The answer may be given later, or never.
struct received_request {
    http1_head head;
    std::string body;
    /// Sends raw bytes on the request's connection.
    std::function<void(std::string)> send;
    /// Resets the request's connection.
    std::function<void()> reset;
    /// Whether the other side has closed the connection.
    std::function<bool()> is_closed;
};

/// HTTP/1.1 server on the test's own loop that answers with whatever bytes a test likes.
class fake_http_server {
public:
    using handler = std::function<void(received_request)>;

    fake_http_server(event_loop& loop, handler on_request)
        : loop_{loop}, on_request_{std::move(on_request)}
    {
        listener_ = listener::open(loop, {"127.0.0.1", 0}, [this](st_h2o_socket_t* socket) {
                        accept(socket);
                    }).value();
    }

    auto address() const -> endpoint { return listener_->address(); }
    auto connections() const -> std::size_t { return accepted_; }

    static auto response(int status, const std::string& headers, const std::string& body)
        -> std::string
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
               "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    struct connection {
        std::unique_ptr<tcp_stream> stream;
        std::unique_ptr<http1_parser> parser;
        http1_head head;
        std::string body;
        bool is_complete{false};
        bool is_closed{false};
    };

    auto accept(st_h2o_socket_t* socket) -> void
    {
        ++accepted_;
        auto it = std::make_shared<connection>();
        auto* raw = it.get();
        it->stream = std::make_unique<tcp_stream>(socket, stream_options{});
        http1_parser::handlers handlers;
        handlers.on_head = [raw](http1_head head) { raw->head = std::move(head); };
        handlers.on_body = [raw](std::string_view bytes) { raw->body.append(bytes); };
        handlers.on_end = [raw] { raw->is_complete = true; };
        it->parser = std::make_unique<http1_parser>(http1_kind::request, 65536, handlers);
        connections_.emplace(raw, it);
        tcp_stream::handlers receivers;
        receivers.on_data = [this, raw](std::string_view bytes) { on_data(raw, bytes); };
        receivers.on_end = [raw](stream_end) { raw->is_closed = true; };
        it->stream->start(std::move(receivers));
    }

    auto on_data(connection* raw, std::string_view bytes) -> void
    {
        auto it = connections_.at(raw);
        while (!bytes.empty()) {
            auto used = it->parser->feed(bytes);
            if (used.has_error()) {
                it->stream->abort();
                return;
            }
            bytes.remove_prefix(used.value());
            if (!it->is_complete) {
                continue;
            }
            it->is_complete = false;
            received_request request{std::move(it->head), std::move(it->body),
                                     [it](std::string out) { it->stream->write(std::move(out)); },
                                     [it] {
                                         it->is_closed = true;
                                         it->stream->abort();
                                     },
                                     [it] { return it->is_closed; }};
            it->body.clear();
            on_request_(std::move(request));
        }
    }

    event_loop& loop_;
    handler on_request_;
    std::unique_ptr<listener> listener_;
    std::map<const connection*, std::shared_ptr<connection>> connections_;
    std::size_t accepted_{0};
};

} // namespace cornelswitch::test
