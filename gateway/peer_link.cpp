#include "gateway/peer_link.h"

#include <utility>

namespace cornelswitch {

namespace {

/// The link to a peer that falls behind by this much is aborted, as the messages would be outdated.
constexpr std::size_t max_unsent_bytes = 4 * 1024 * 1024;
constexpr duration connect_timeout = std::chrono::milliseconds{400};
/// Time without acknowledgement after which a connection counts as lost, and TCP keepalive
/// interval.
constexpr stream_options link_options{std::chrono::milliseconds{800}, std::chrono::seconds{1}};

} // namespace

auto peer_link::connect(event_loop& loop, const endpoint& address,
                        std::function<void(std::unique_ptr<tcp_stream>)> done) -> void
{
    tcp_stream::connect(loop, address, link_options, connect_timeout, std::move(done));
}

peer_link::peer_link(event_loop& loop, std::unique_ptr<tcp_stream> stream)
    : loop_{loop}, stream_{std::move(stream)}, last_received_{loop.now()}
{
}

peer_link::~peer_link()
{
    *alive_ = false;
}

auto peer_link::start(handlers receivers) -> void
{
    handlers_ = std::move(receivers);
    tcp_stream::handlers stream_handlers;
    stream_handlers.on_data = [this, alive = alive_](std::string_view bytes) {
        if (*alive) {
            on_data(bytes);
        }
    };
    stream_handlers.on_end = [this, alive = alive_](stream_end) {
        if (*alive) {
            end();
        }
    };
    stream_->start(std::move(stream_handlers));
}

auto peer_link::send(const peer_message& message) -> void
{
    if (stream_->is_open()) {
        encode_peer_message(output_, message);
        schedule_flush();
    }
}

auto peer_link::send_encoded(std::string_view bytes) -> void
{
    if (stream_->is_open()) {
        output_.append(bytes);
        schedule_flush();
    }
}

auto peer_link::schedule_flush() -> void
{
    if (std::exchange(is_flush_scheduled_, true)) {
        return;
    }
    loop_.schedule(duration::zero(), [this, alive = alive_] {
        if (!*alive) {
            return;
        }
        is_flush_scheduled_ = false;
        stream_->write(std::exchange(output_, {}));
        if (stream_->unsent_bytes() > max_unsent_bytes) {
            stream_->abort();
            end();
        }
    });
}

auto peer_link::on_data(std::string_view bytes) -> void
{
    last_received_ = loop_.now();
    input_.append(bytes);
    auto messages = decode_peer_messages(input_);
    if (messages.has_error()) {
        stream_->abort();
        end();
        return;
    }
    auto alive = alive_;
    for (auto& it : messages.value()) {
        // Copied, because the handler may close or destroy the link.
        auto handler = handlers_.on_message;
        if (!handler) {
            return;
        }
        handler(std::move(it));
        if (!*alive) {
            return;
        }
    }
}

auto peer_link::close() -> void
{
    handlers_ = {};
    stream_->abort();
}

auto peer_link::end() -> void
{
    if (auto handler = std::exchange(handlers_.on_end, nullptr)) {
        handlers_.on_message = nullptr;
        handler();
    }
}

} // namespace cornelswitch
