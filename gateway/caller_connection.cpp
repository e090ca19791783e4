#include "gateway/caller_connection.h"

#include <utility>

namespace cornelswitch {

namespace {

/// Number of received but unparsed bytes above which reading from the caller pauses.
constexpr std::size_t max_buffered_input = 64 * 1024;
/// Growth of a body that counts as progress. A body that grows by less within the stall time may be
/// dropped when memory is short.
constexpr std::size_t body_progress_step = std::size_t{16} * 1024;
/// Memory for a body without a declared length is reserved in steps of this size, and of a whole
/// block when it is larger than one block, so that no block grows and leaves gaps in the heap.
constexpr std::size_t body_reservation_step = std::size_t{16} * 1024;
/// A head whose fields take more memory than this is counted. An ordinary head takes less.
constexpr std::size_t min_counted_head = std::size_t{8} * 1024;
/// Time in which a caller that received the last response is expected to close the connection.
constexpr duration linger_timeout = std::chrono::seconds{1};
/// Time after its opening during which a connection without a request is not closed as idle.
constexpr duration first_request_grace = std::chrono::milliseconds{300};

} // namespace

caller_connection::caller_connection(exchange_services& services,
                                     std::unique_ptr<tcp_stream> stream, caller_limits limits,
                                     std::function<void(caller_connection*)> on_closed)
    : services_{services}, stream_{std::move(stream)}, limits_{limits},
      on_closed_{std::move(on_closed)}, input_memory_{services.memory, memory_kind::unparsed_input},
      output_memory_{services.memory, memory_kind::response}, opened_at_{services.loop.now()},
      last_activity_{opened_at_}
{
    http1_parser::handlers handlers;
    handlers.on_head = [this](http1_head head) { on_head(std::move(head)); };
    handlers.on_body = [this](std::string_view bytes) { on_body(bytes); };
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
        if (!self) {
            return;
        }
        self->update_output_memory();
        if (self->is_server_paused_ && !self->exchanges_.empty()) {
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
    auto self = shared_from_this();
    if (input_.empty() && !is_parsing_) {
        // Parsed in place, so that a large body is not copied once more.
        bytes.remove_prefix(parse_bytes(bytes));
        if (!is_reading_done_) {
            input_.append(bytes);
        }
        send_ready_responses();
    } else {
        input_.append(bytes);
        parse();
    }
    if (is_closed_) {
        return;
    }
    if (input_.size() > max_buffered_input) {
        is_input_paused_ = true;
        stream_->set_reading(false);
    }
    reserve_head();
}

auto caller_connection::reserve_head() -> void
{
    auto bytes = input_.capacity() + (receiving_ ? 0 : parser_->head_memory());
    if (bytes < min_counted_head) {
        input_memory_.resize(0);
        return;
    }
    while (!is_closed_ && !input_memory_.try_resize(bytes, memory_use::small)) {
        if (!services_.free_memory()) {
            services_.metrics.count("memory_refusals_head_total");
            close();
        }
    }
}

auto caller_connection::on_body(std::string_view bytes) -> void
{
    if (!receiving_ || is_rejected_) {
        return;
    }
    auto size = receiving_->body_size() + bytes.size();
    if (size > limits_.max_body_bytes) {
        is_rejected_ = true;
        is_reading_done_ = true;
        receiving_->reject(413, "body-too-large");
        return;
    }
    if (size > receiving_->reserved_body_bytes()) {
        auto step =
            size > request_body::block_size ? request_body::block_size : body_reservation_step;
        if (!reserve_body((size + step - 1) / step * step)) {
            return;
        }
    }
    receiving_->append_body(bytes);
    if (size >= body_progress_size_ + body_progress_step) {
        body_progress_size_ = size;
        body_progress_at_ = last_activity_;
    }
}

auto caller_connection::reserve_body(std::uint64_t bytes) -> bool
{
    while (!receiving_->try_reserve_body(bytes)) {
        bool may_fit = bytes <= services_.memory.limit(request_body::use(bytes));
        if (!may_fit || !services_.free_memory()) {
            services_.metrics.count(request_body::use(bytes) == memory_use::small
                                        ? "memory_refusals_small_body_total"
                                        : "memory_refusals_large_body_total");
            drop_body("no-memory");
            return false;
        }
        if (!receiving_ || is_rejected_) {
            // This body itself was the one longest without progress.
            return false;
        }
    }
    return true;
}

auto caller_connection::drop_body(std::string_view reason) -> void
{
    if (!receiving_ || is_rejected_) {
        return;
    }
    auto self = shared_from_this();
    is_rejected_ = true;
    is_reading_done_ = true;
    auto exchange = receiving_;
    exchange->refuse_body(reason);
}

auto caller_connection::pause_waiting_responses() -> void
{
    for (auto& entry : exchanges_) {
        entry.exchange->pause_waiting_response();
    }
}

auto caller_connection::eviction_state() const -> eviction_candidate
{
    if (receiving_ && !is_rejected_) {
        return {connection_state::receiving_body, body_progress_at_,
                receiving_->reserved_body_bytes(), exchanges_.size() > 1};
    }
    if (stream_->unsent_bytes() > 0) {
        return {connection_state::sending, last_drained_, output_memory_.bytes()};
    }
    if (!exchanges_.empty()) {
        return {};
    }
    if (request_started_ != time_point{}) {
        return {connection_state::receiving_head, request_started_, input_memory_.bytes()};
    }
    return {connection_state::idle, last_activity_, 0};
}

auto caller_connection::update_output_memory() -> void
{
    auto unsent = stream_->unsent_bytes();
    if (unsent > 0 && !has_unsent_bytes_) {
        last_drained_ = services_.loop.now();
    }
    has_unsent_bytes_ = unsent > 0;
    output_memory_.resize(unsent + queued_output_bytes_);
}

auto caller_connection::parse() -> void
{
    if (is_parsing_) {
        return;
    }
    auto self = shared_from_this();
    input_.erase(0, parse_bytes(input_));
    if (is_reading_done_) {
        input_.clear();
    }
    if (input_.empty()) {
        input_.shrink_to_fit();
    }
    send_ready_responses();
}

auto caller_connection::parse_bytes(std::string_view bytes) -> std::size_t
{
    is_parsing_ = true;
    std::size_t used = 0;
    while (used < bytes.size() && exchanges_.size() < max_exchanges && !is_reading_done_ &&
           !is_closed_) {
        auto n = parser_->feed(bytes.substr(used));
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
    is_parsing_ = false;
    return used;
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
    auto declared_bytes = head.framing == body_framing::length ? head.length : 0;
    auto head_bytes = head.headers.capacity() * sizeof(header_list::value_type);
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
    body_progress_at_ = request_started_;
    body_progress_size_ = 0;
    if (head_bytes >= min_counted_head) {
        memory_reservation head_memory{services_.memory, memory_kind::unparsed_input};
        if (!head_memory.try_resize(head_bytes, memory_use::small)) {
            services_.metrics.count("memory_refusals_head_total");
            drop_body("no-memory");
            return;
        }
        exchange->hold_head(std::move(head_memory));
    }
    if (declared_bytes > 0 && !reserve_body(declared_bytes)) {
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
        queued_output_bytes_ += bytes.size();
        update_output_memory();
        return;
    }
    stream_->write(std::move(bytes));
    update_output_memory();
    // A response whose head arrives while the connection is paused is not paused itself, so that a
    // short one ends before its deadline; while memory is short it is.
    if (stream_->unsent_bytes() > unsent_limit() &&
        (!is_server_paused_ || services_.memory.pressure() != memory_pressure::none)) {
        is_server_paused_ = true;
        entry->exchange->set_writable(false);
    }
    if (services_.memory.total() > services_.memory.capacity()) {
        services_.shed_responses();
    }
}

auto caller_connection::pause_responses() -> void
{
    for (auto& entry : exchanges_) {
        entry.exchange->pause_response();
    }
}

auto caller_connection::resume_response() -> void
{
    if (!is_closed_ && !exchanges_.empty()) {
        exchanges_.front().exchange->set_writable(!is_server_paused_);
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
            queued_output_bytes_ -= front.output.size();
            stream_->write(std::exchange(front.output, {}));
            update_output_memory();
        }
        if (!front.is_finished) {
            front.exchange->on_next();
            is_server_paused_ = stream_->unsent_bytes() > unsent_limit();
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
    queued_output_bytes_ = 0;
    input_memory_.resize(0);
    update_output_memory();
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
    if (!is_parsing_) {
        // Frees an incomplete head at once; this object itself is destroyed later.
        parser_->reset();
    }
    input_memory_.resize(0);
    output_memory_.resize(0);
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
    if (receiving_ && !is_rejected_) {
        if (receiving_->is_past_deadline(now)) {
            // The request can no longer be served in time.
            drop_body("timeout");
        } else if (now - last_activity_ > services_.body_limits.timeout) {
            services_.metrics.count("body_timeouts_total");
            is_rejected_ = true;
            is_reading_done_ = true;
            auto exchange = receiving_;
            exchange->reject(408, "body-timeout");
        }
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
