#include "gateway/caller_connection.h"

#include <utility>

namespace cornelswitch {

namespace {

/// Number of received but unparsed bytes above which reading from the caller pauses.
constexpr std::size_t max_buffered_input = 64 * 1024;
/// Time in which a caller that received the last response is expected to close the connection.
constexpr duration linger_timeout = std::chrono::seconds{1};
/// Time after its opening during which a connection without a request is not closed as idle.
constexpr duration first_request_grace = std::chrono::milliseconds{300};

} // namespace

caller_connection::caller_connection(exchange_services& services,
                                     std::unique_ptr<tcp_stream> stream, caller_limits limits,
                                     std::function<void(caller_connection*)> on_closed)
    : services_{services}, stream_{std::move(stream)}, limits_{limits},
      on_closed_{std::move(on_closed)}, opened_at_{services.loop.now()}, last_activity_{opened_at_}
{
    http1_parser::handlers handlers;
    handlers.on_head = [this](http1_head head) { on_head(std::move(head)); };
    handlers.on_body = [this](std::string_view bytes) {
        if (!receiving_ || is_rejected_) {
            return;
        }
        if (receiving_->body_size() + bytes.size() > limits_.max_body_bytes) {
            is_rejected_ = true;
            is_reading_done_ = true;
            receiving_->reject(413, "body-too-large");
            return;
        }
        receiving_->append_body(bytes);
    };
    handlers.on_end = [this] { on_request_end(); };
    parser_ = std::make_unique<http1_parser>(http1_kind::request, limits_.max_header_bytes,
                                             std::move(handlers));
}

auto caller_connection::start() -> void
{
    std::weak_ptr<caller_connection> weak = weak_from_this();
    tcp_stream::handlers stream_handlers;
    stream_handlers.on_data = [weak](std::string_view bytes) {
        if (auto self = weak.lock()) {
            self->on_data(bytes);
        }
    };
    stream_handlers.on_end = [weak](stream_end) {
        if (auto self = weak.lock()) {
            self->on_stream_end();
        }
    };
    stream_handlers.on_drained = [weak] {
        auto self = weak.lock();
        if (self && self->is_server_paused_ && !self->exchanges_.empty()) {
            self->is_server_paused_ = false;
            self->exchanges_.front().exchange->set_writable(true);
        }
    };
    stream_->start(std::move(stream_handlers));
}

auto caller_connection::on_data(std::string_view bytes) -> void
{
    last_activity_ = services_.loop.now();
    has_received_ = true;
    if (request_started_ == time_point{} && !receiving_) {
        request_started_ = last_activity_;
    }
    if (is_reading_done_) {
        // Bytes after the last request of the connection are ignored.
        return;
    }
    input_.append(bytes);
    parse();
    if (input_.size() > max_buffered_input && !is_closed_) {
        is_input_paused_ = true;
        stream_->set_reading(false);
    }
}

auto caller_connection::parse() -> void
{
    if (is_parsing_) {
        return;
    }
    auto self = shared_from_this();
    is_parsing_ = true;
    std::size_t used = 0;
    while (used < input_.size() && exchanges_.size() < max_exchanges && !is_reading_done_ &&
           !is_closed_) {
        auto n = parser_->feed(std::string_view{input_}.substr(used));
        if (n.has_error()) {
            if (!is_closed_ && !is_reading_done_) {
                bool is_too_large = n.error().code == error_code::too_large;
                reject(is_too_large ? 431 : 400, is_too_large ? "headers-too-large" : "malformed");
            }
            break;
        }
        used += n.value();
        if (n.value() == 0) {
            break;
        }
    }
    input_.erase(0, used);
    if (input_.empty()) {
        input_.shrink_to_fit();
    }
    is_parsing_ = false;
    send_ready_responses();
}

auto caller_connection::make_output(std::weak_ptr<caller_connection> weak)
    -> caller_exchange::output
{
    // The output functions are created before the exchange, so they get its address through a
    // shared slot that is set afterwards.
    auto slot = std::make_shared<const caller_exchange*>(nullptr);
    caller_exchange::output out;
    out.write = [weak, slot](std::string bytes) {
        if (auto self = weak.lock()) {
            self->write(*slot, std::move(bytes));
        }
    };
    out.finish = [weak, slot](bool keeps_connection) {
        if (auto self = weak.lock()) {
            self->on_finished(*slot, keeps_connection);
        }
    };
    out.abort = [weak] {
        if (auto self = weak.lock()) {
            self->end_after_output();
        }
    };
    out.is_next = [weak, slot] {
        auto self = weak.lock();
        return self && !self->exchanges_.empty() &&
               self->exchanges_.front().exchange.get() == *slot;
    };
    last_exchange_slot_ = slot;
    return out;
}

auto caller_connection::on_head(http1_head head) -> void
{
    request_started_ = services_.loop.now();
    is_rejected_ = false;
    bool expects_continue = find_header(head.headers, "expect") != nullptr;
    bool has_body = head.framing != body_framing::none;
    bool is_too_large =
        head.framing == body_framing::length && head.length > limits_.max_body_bytes;
    bool keeps_connection = head.keeps_alive;
    auto exchange = std::make_shared<caller_exchange>(services_, std::move(head),
                                                      make_output(weak_from_this()));
    *last_exchange_slot_ = exchange.get();
    receiving_ = exchange;
    exchanges_.push_back({exchange, {}, false, true});
    if (is_shutting_down_ || !keeps_connection) {
        exchange->close_after_response();
    }
    is_current_request_last_ = !keeps_connection;
    if (is_too_large) {
        is_rejected_ = true;
        is_reading_done_ = true;
        exchange->reject(413, "body-too-large");
        return;
    }
    if (expects_continue && has_body && exchanges_.size() == 1) {
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto caller_connection::on_request_end() -> void
{
    request_started_ = {};
    auto exchange = std::exchange(receiving_, nullptr);
    if (!exchange || is_rejected_) {
        return;
    }
    if (is_shutting_down_) {
        exchange->close_after_response();
    }
    // Requests after the last one could not be answered, so they must not run.
    is_reading_done_ = is_reading_done_ || is_shutting_down_ || is_current_request_last_;
    if (is_refusing_) {
        exchange->respond_now();
        return;
    }
    exchange->run();
}

auto caller_connection::reject(int status, std::string_view reason) -> void
{
    is_reading_done_ = true;
    if (receiving_) {
        auto exchange = std::exchange(receiving_, nullptr);
        exchange->reject(status, reason);
        return;
    }
    http1_head placeholder;
    placeholder.method = "GET";
    auto exchange = std::make_shared<caller_exchange>(services_, std::move(placeholder),
                                                      make_output(weak_from_this()));
    *last_exchange_slot_ = exchange.get();
    exchanges_.push_back({exchange, {}, false, true});
    exchange->reject(status, reason);
}

auto caller_connection::find(const caller_exchange* wanted) -> queued_exchange*
{
    for (auto& entry : exchanges_) {
        if (entry.exchange.get() == wanted) {
            return &entry;
        }
    }
    return nullptr;
}

auto caller_connection::write(const caller_exchange* from, std::string bytes) -> void
{
    auto* entry = find(from);
    if (entry == nullptr || is_closed_) {
        return;
    }
    if (entry != &exchanges_.front()) {
        entry->output.append(bytes);
        return;
    }
    stream_->write(std::move(bytes));
    if (stream_->unsent_bytes() > max_unsent_bytes && !is_server_paused_) {
        is_server_paused_ = true;
        entry->exchange->set_writable(false);
    }
}

auto caller_connection::on_finished(const caller_exchange* from, bool keeps_connection) -> void
{
    auto* entry = find(from);
    if (entry == nullptr) {
        return;
    }
    entry->is_finished = true;
    entry->keeps_connection = keeps_connection;
    last_activity_ = services_.loop.now();
    send_ready_responses();
}

auto caller_connection::send_ready_responses() -> void
{
    if (is_sending_responses_ || is_closed_) {
        return;
    }
    auto self = shared_from_this();
    is_sending_responses_ = true;
    while (!exchanges_.empty() && !is_closed_) {
        auto& front = exchanges_.front();
        if (!front.output.empty()) {
            stream_->write(std::exchange(front.output, {}));
        }
        if (!front.is_finished) {
            front.exchange->on_next();
            is_server_paused_ = stream_->unsent_bytes() > max_unsent_bytes;
            front.exchange->set_writable(!is_server_paused_);
            break;
        }
        bool keeps_connection = front.keeps_connection;
        exchanges_.pop_front();
        is_server_paused_ = false;
        if (!keeps_connection) {
            end_after_output();
        }
    }
    is_sending_responses_ = false;
    if (is_closed_ || is_lingering_) {
        return;
    }
    if (is_input_paused_ && input_.size() <= max_buffered_input / 2) {
        is_input_paused_ = false;
        stream_->set_reading(true);
    }
    if (!input_.empty() && !is_parsing_ && exchanges_.size() < max_exchanges && !is_reading_done_) {
        parse();
    }
}

auto caller_connection::end_after_output() -> void
{
    if (is_closed_ || is_lingering_) {
        return;
    }
    auto self = shared_from_this();
    is_reading_done_ = true;
    is_lingering_ = true;
    linger_until_ = services_.loop.now() + linger_timeout;
    auto exchanges = std::exchange(exchanges_, {});
    for (auto& entry : exchanges) {
        entry.exchange->cancel();
    }
    receiving_.reset();
    stream_->shut_down_sending();
    stream_->set_reading(true);
}

auto caller_connection::on_stream_end() -> void
{
    close();
}

auto caller_connection::close() -> void
{
    if (std::exchange(is_closed_, true)) {
        return;
    }
    auto self = shared_from_this();
    auto exchanges = std::exchange(exchanges_, {});
    for (auto& entry : exchanges) {
        entry.exchange->cancel();
    }
    receiving_.reset();
    stream_->close();
    if (on_closed_) {
        on_closed_(this);
    }
}

auto caller_connection::shut_down(bool closes_idle) -> void
{
    is_shutting_down_ = true;
    // Only the last response may close the connection; otherwise the responses after it would be
    // lost. If its head was already sent, the response to the next request closes the connection.
    if (!exchanges_.empty() && exchanges_.back().exchange->close_after_response() && !receiving_) {
        is_reading_done_ = true;
    }
    bool may_get_first_request =
        !has_received_ && services_.loop.now() - opened_at_ < first_request_grace;
    if (closes_idle && is_idle() && !is_lingering_ && input_.empty() && !may_get_first_request &&
        stream_->unsent_bytes() == 0 && !stream_->has_unread_bytes()) {
        close();
    }
}

auto caller_connection::respond_now() -> void
{
    auto self = shared_from_this();
    is_refusing_ = true;
    // A copy, because a response may close the connection and clear the queue. From the last to the
    // first, because a response that is held back begins when the earlier ones are complete.
    auto exchanges = exchanges_;
    for (auto it = exchanges.rbegin(); it != exchanges.rend(); ++it) {
        it->exchange->respond_now();
    }
}

auto caller_connection::check_timeouts(time_point now) -> void
{
    if (is_closed_) {
        return;
    }
    bool is_head_late = request_started_ != time_point{} && !receiving_ && exchanges_.empty() &&
                        now - request_started_ > limits_.header_timeout;
    bool is_idle_too_long =
        is_idle() && !is_lingering_ && now - last_activity_ > limits_.idle_timeout;
    if (is_lingering_ && stream_->unsent_bytes() > 0) {
        linger_until_ = now + linger_timeout;
    }
    bool is_linger_over = is_lingering_ && now > linger_until_;
    if (is_head_late || is_idle_too_long || is_linger_over) {
        close();
    }
}

} // namespace cornelswitch
