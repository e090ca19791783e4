#include "gateway/status_server.h"

#include "adapters/http1/message_parser.h"

namespace cornelswitch {

namespace {

constexpr std::size_t max_header_bytes = 8 * 1024;
/// Connections beyond this number are closed; only the platform and operators connect here.
constexpr std::size_t max_clients = 64;

} // namespace

struct status_server::client {
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<http1_parser> parser;
    std::string path;
    bool keeps_alive{false};
    bool is_complete{false};
};

status_server::status_server(event_loop& loop, handler respond)
    : loop_{loop}, handler_{std::move(respond)}
{
}

status_server::~status_server()
{
    *alive_ = false;
}

auto status_server::open(event_loop& loop, const endpoint& address, handler respond)
    -> result<std::unique_ptr<status_server>>
{
    std::unique_ptr<status_server> out{new status_server{loop, std::move(respond)}};
    auto* self = out.get();
    BOOST_OUTCOME_TRY(opened, listener::open(loop, address, [self](st_h2o_socket_t* socket) {
                          self->accept(socket);
                      }));
    out->listener_ = std::move(opened);
    return out;
}

auto status_server::accept(st_h2o_socket_t* socket) -> void
{
    auto stream = std::make_unique<tcp_stream>(loop_, socket, stream_options{});
    if (clients_.size() >= max_clients) {
        return;
    }
    auto added = std::make_shared<client>();
    auto* raw = added.get();
    added->stream = std::move(stream);
    http1_parser::handlers handlers;
    handlers.on_head = [raw](http1_head head) {
        raw->path = head.target;
        raw->keeps_alive = head.keeps_alive;
    };
    handlers.on_end = [raw] { raw->is_complete = true; };
    added->parser =
        std::make_unique<http1_parser>(http1_kind::request, max_header_bytes, std::move(handlers));
    clients_.emplace(raw, added);
    auto remove = [this, raw, alive = alive_] {
        // Deferred, because one of the client's handlers is still running.
        loop_.schedule(duration::zero(), [this, raw, alive] {
            if (*alive) {
                clients_.erase(raw);
            }
        });
    };
    tcp_stream::handlers stream_handlers;
    stream_handlers.on_data = [this, raw, remove](std::string_view bytes) {
        while (!bytes.empty()) {
            auto used = raw->parser->feed(bytes);
            if (used.has_error()) {
                raw->stream->close();
                remove();
                return;
            }
            bytes.remove_prefix(used.value());
            if (!raw->is_complete) {
                continue;
            }
            raw->is_complete = false;
            auto response = handler_(raw->path);
            std::string out = "HTTP/1.1 " + std::to_string(response.status) +
                              (response.status == 200 ? " OK" : " Unavailable") +
                              "\r\ncontent-type: text/plain\r\ncontent-length: " +
                              std::to_string(response.body.size()) + "\r\n";
            out += raw->keeps_alive ? "\r\n" : "connection: close\r\n\r\n";
            raw->stream->write(out + response.body);
            if (!raw->keeps_alive) {
                raw->stream->close_after_write();
                remove();
                return;
            }
        }
    };
    stream_handlers.on_end = [remove](stream_end) { remove(); };
    added->stream->start(std::move(stream_handlers));
}

} // namespace cornelswitch
