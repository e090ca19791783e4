#pragma once

#include "gateway/caller_exchange.h"
#include "gateway/eviction_order.h"

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
    /// The same limit while memory is short.
    static constexpr std::size_t max_unsent_bytes_under_pressure = 16 * 1024;

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
    /// What closing this connection, or dropping the body in progress, would free.
    auto eviction_state() const -> eviction_candidate;
    /// Refuses the request whose body is being received and frees the body. The connection ends
    /// after the responses in progress.
    auto drop_body(std::string_view reason) -> void;
    /// Stops reading the responses that wait for earlier ones, because memory is short.
    auto pause_waiting_responses() -> void;
    /// Stops reading all responses, and resumes the one that is next.
    auto pause_responses() -> void;
    auto resume_response() -> void;

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
    /// Parses `bytes` as far as possible and returns the number of bytes that were used.
    auto parse_bytes(std::string_view bytes) -> std::size_t;
    auto on_body(std::string_view bytes) -> void;
    /// Reserves memory for a body of `bytes`, if necessary by dropping others. Refuses the request
    /// and returns false when there is none.
    auto reserve_body(std::uint64_t bytes) -> bool;
    /// Reserves memory for what was received of a head. Closes the connection when there is none.
    auto reserve_head() -> void;
    auto update_output_memory() -> void;
    auto unsent_limit() const -> std::size_t
    {
        return services_.memory.pressure() == memory_pressure::none
                   ? max_unsent_bytes
                   : max_unsent_bytes_under_pressure;
    }
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
    memory_reservation input_memory_;
    /// For responses that the caller has not taken or that wait for earlier ones.
    memory_reservation output_memory_;
    std::size_t queued_output_bytes_{0};
    bool has_unsent_bytes_{false};
    /// When the unsent bytes of responses were last zero.
    time_point last_drained_{};
    /// When the body in progress last grew by a substantial part, and its size then.
    time_point body_progress_at_{};
    std::size_t body_progress_size_{0};
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
