#pragma once

#include "gateway/caller_exchange.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace cornelswitch {

/// HTTP/1.1 connection of a caller. Pipelined requests are processed concurrently; responses are
/// sent in the order of the requests.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// Requests of one connection that are processed at the same time.
    static constexpr std::size_t max_exchanges = 32;
    /// Number of unsent response bytes above which reading from the server pauses.
    static constexpr std::size_t max_unsent_bytes = 256 * 1024;

    caller_connection(exchange_services& services, std::unique_ptr<tcp_stream> stream,
                      caller_limits limits, std::function<void(caller_connection*)> on_closed);

    auto start() -> void;
    /// Announces the end of the connection with the last response in progress. An idle connection
    /// is closed at once when `closes_idle` is set.
    auto shut_down(bool closes_idle) -> void;
    /// Sends a final response to every request in progress, because the process is about to end.
    /// Later requests are refused without being executed.
    auto respond_now() -> void;
    /// Closes the connection when the caller exceeded a timeout.
    auto check_timeouts(time_point now) -> void;
    auto is_idle() const -> bool { return exchanges_.empty() && !receiving_; }
    auto is_open() const -> bool { return !is_closed_; }
    auto close() -> void;

private:
    struct queued_exchange {
        std::shared_ptr<caller_exchange> exchange;
        /// Response bytes held back until the earlier responses are complete.
        std::string output;
        bool is_finished{false};
        bool keeps_connection{true};
    };

    auto on_data(std::string_view bytes) -> void;
    auto parse() -> void;
    auto on_head(http1_head head) -> void;
    auto on_request_end() -> void;
    auto on_stream_end() -> void;
    auto write(const caller_exchange* from, std::string bytes) -> void;
    auto on_finished(const caller_exchange* from, bool keeps_connection) -> void;
    /// Sends the responses that are next in order, then parses further requests.
    auto send_ready_responses() -> void;
    /// Ends the connection after the bytes written so far. Requests in progress get no response.
    auto end_after_output() -> void;
    auto reject(int status, std::string_view reason) -> void;
    auto find(const caller_exchange* wanted) -> queued_exchange*;
    auto make_output(std::weak_ptr<caller_connection> weak) -> caller_exchange::output;

    exchange_services& services_;
    std::unique_ptr<tcp_stream> stream_;
    caller_limits limits_;
    std::function<void(caller_connection*)> on_closed_;
    std::unique_ptr<http1_parser> parser_;
    std::string input_;
    std::deque<queued_exchange> exchanges_;
    /// Exchange whose request is still being received.
    std::shared_ptr<caller_exchange> receiving_;
    /// The rest of the request in `receiving_` is discarded.
    bool is_rejected_{false};
    bool is_parsing_{false};
    bool is_closed_{false};
    /// No further requests are read. The last response closes the connection.
    bool is_reading_done_{false};
    /// The caller asked to close the connection after the request in `receiving_`.
    bool is_current_request_last_{false};
    bool is_shutting_down_{false};
    /// No request is executed any more, because the process is about to end.
    bool is_refusing_{false};
    bool is_input_paused_{false};
    bool is_sending_responses_{false};
    /// Reading the response at the front of the queue is paused.
    bool is_server_paused_{false};
    /// The last response was written. The connection stays open until the caller closes it.
    bool is_lingering_{false};
    time_point linger_until_{};
    time_point opened_at_;
    /// Whether any byte has arrived.
    bool has_received_{false};
    /// Set to the address of the newest exchange, for use by its output functions.
    std::shared_ptr<const caller_exchange*> last_exchange_slot_;
    time_point last_activity_;
    /// When the first byte of the current request arrived, later its head; zero between requests.
    time_point request_started_{};
};

} // namespace cornelswitch
