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

/// A request that a fake server received. The response may be sent later, or never.
struct received_request {
    http1_head head;
    std::string body;
    /// Sends raw bytes on the request's connection.
    std::function<void(std::string)> send;
    /// Resets the request's connection.
    std::function<void()> reset;
    /// Sends raw bytes and closes the request's connection in order.
    std::function<void(std::string)> send_and_close;
    /// Whether the other side has closed the connection.
    std::function<bool()> is_closed;
};

/// HTTP/1.1 server on the event loop of the test. The test's handler sends the response bytes.
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
    /// Number of connections accepted so far.
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
        auto added = std::make_shared<connection>();
        auto* raw = added.get();
        added->stream = std::make_unique<tcp_stream>(loop_, socket, stream_options{});
        http1_parser::handlers handlers;
        handlers.on_head = [raw](http1_head head) { raw->head = std::move(head); };
        handlers.on_body = [raw](std::string_view bytes) { raw->body.append(bytes); };
        handlers.on_end = [raw] { raw->is_complete = true; };
        added->parser = std::make_unique<http1_parser>(http1_kind::request, 65536, handlers);
        connections_.emplace(raw, added);
        tcp_stream::handlers stream_handlers;
        stream_handlers.on_data = [this, raw](std::string_view bytes) { on_data(raw, bytes); };
        stream_handlers.on_end = [raw](stream_end) { raw->is_closed = true; };
        added->stream->start(std::move(stream_handlers));
    }

    auto on_data(connection* raw, std::string_view bytes) -> void
    {
        auto source = connections_.at(raw);
        while (!bytes.empty()) {
            auto used = source->parser->feed(bytes);
            if (used.has_error()) {
                source->stream->abort();
                return;
            }
            bytes.remove_prefix(used.value());
            if (!source->is_complete) {
                continue;
            }
            source->is_complete = false;
            received_request request{
                std::move(source->head),
                std::move(source->body),
                [source](std::string out) { source->stream->write(std::move(out)); },
                [source] {
                    source->is_closed = true;
                    source->stream->abort();
                },
                [source](std::string out) {
                    source->stream->write(std::move(out));
                    source->stream->close_after_write();
                },
                [source] { return source->is_closed; }};
            source->body.clear();
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
