#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/h2o/tcp_stream.h"
#include "gateway/peer_message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cornelswitch {

/// One connection between two instances. Messages of one iteration of the event loop are written
/// together.
class peer_link {
public:
    struct handlers {
        std::function<void(peer_message)> on_message;
        /// The connection has ended; no message follows.
        std::function<void()> on_end;
    };

    /// Connects to another instance; `done` gets null when that fails.
    static auto connect(event_loop& loop, const endpoint& address,
                        std::function<void(std::unique_ptr<tcp_stream>)> done) -> void;

    peer_link(event_loop& loop, std::unique_ptr<tcp_stream> stream);
    peer_link(const peer_link&) = delete;
    auto operator=(const peer_link&) -> peer_link& = delete;
    ~peer_link();

    auto start(handlers receivers) -> void;
    auto send(const peer_message& message) -> void;
    /// Sends an encoded message, which can be shared by many receivers.
    auto send_encoded(std::string_view bytes) -> void;
    /// Closes the connection; no handler is called any more, not even for received messages.
    auto close() -> void;
    auto is_open() const -> bool { return stream_->is_open(); }
    /// Bytes of messages that are incomplete or not sent yet.
    auto held_bytes() const -> std::size_t
    {
        return input_.size() + output_.size() + stream_->unsent_bytes();
    }
    /// When the last bytes arrived.
    auto last_received() const -> time_point { return last_received_; }

private:
    auto on_data(std::string_view bytes) -> void;
    auto schedule_flush() -> void;
    auto end() -> void;

    event_loop& loop_;
    std::unique_ptr<tcp_stream> stream_;
    handlers handlers_;
    std::string input_;
    std::string output_;
    bool is_flush_scheduled_{false};
    time_point last_received_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
