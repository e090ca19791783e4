#include "adapters/h2o/http_client.h"

#include "adapters/h2o/http1_message.h"
#include "adapters/h2o/response_parser.h"
#include "adapters/h2o/socket_address.h"

#include <h2o.h>
#include <h2o/socketpool.h>

#include <array>
#include <utility>

namespace cornelswitch {

struct http_client::pool {
    pool(event_loop& loop, const endpoint& server, const http_client_options& options)
    {
        auto address = to_socket_address(server);
        is_valid = address.has_value();
        auto target = is_valid ? address.value() : to_socket_address({"127.0.0.1", 0}).value();
        h2o_socketpool_init_by_address(&sockets, target.get(), target.size, 0, SIZE_MAX);
        auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(options.idle_timeout);
        h2o_socketpool_set_timeout(&sockets, loop.native(),
                                   static_cast<std::uint64_t>(idle.count()));
    }
    pool(const pool&) = delete;
    auto operator=(const pool&) -> pool& = delete;
    ~pool() { h2o_socketpool_dispose(&sockets); }

    bool is_valid{false};
    h2o_socketpool_t sockets{};
};

/// State of one call. h2o's own HTTP/1.1 client is not used: a malformed content-length fails an
/// assertion, which ends the process, and a connection that closes between two chunks is treated as
/// the end of the body.
struct http_client::call_state {
    http_client* owner{nullptr};
    call_id id{0};
    http_request request;
    response_handlers handlers;
    write_check check;
    h2o_socketpool_connect_request_t* connecting{nullptr};
    h2o_socket_t* socket{nullptr};
    std::unique_ptr<response_parser> parser;
    std::string head;
    event_loop::timer_id connect_timer{0};
    bool started{false};
    bool sent{false};
    bool written{false};
    bool in_callback{false};
    bool canceled{false};
    std::size_t unconsumed{0};
};

struct http_client::unary {
    unary_handler handler;
    http_response response;
    event_loop::timer_id timer{0};
    call_id call{0};
    bool done{false};
};

/// Callbacks for h2o.
struct http_client::callbacks {
    static auto on_connect(h2o_socket_t* socket, const char* err, void* data) -> void
    {
        auto& call = *static_cast<call_state*>(data);
        call.connecting = nullptr;
        call.owner->on_connected(call, socket, err);
    }

    static auto on_written(h2o_socket_t* socket, const char* err) -> void
    {
        auto& call = *static_cast<call_state*>(socket->data);
        call.written = true;
        if (err != nullptr) {
            call.owner->fail(call, error_code::connection_lost, "server-request", err);
        }
    }

    static auto on_readable(h2o_socket_t* socket, const char* err) -> void
    {
        auto& call = *static_cast<call_state*>(socket->data);
        if (err != nullptr) {
            call.owner->fail(call, error_code::connection_lost, "server-response", err);
            return;
        }
        call.owner->on_input(call);
    }
};

http_client::http_client(event_loop& loop, endpoint server, http_client_options options)
    : loop_{loop}, server_{std::move(server)}, options_{options}, pool_{std::make_unique<pool>(
                                                                      loop, server_, options)}
{
}

http_client::~http_client()
{
    *alive_ = false;
    for (auto& [id, call] : calls_) {
        loop_.cancel(call->connect_timer);
        release(*call, false);
    }
}

auto http_client::send(http_request request, response_handlers handlers, write_check check)
    -> call_id
{
    auto id = ++last_call_;
    auto call = std::make_unique<call_state>();
    call->owner = this;
    call->id = id;
    call->request = std::move(request);
    call->handlers = std::move(handlers);
    call->check = std::move(check);
    calls_.emplace(id, std::move(call));
    waiting_.push_back(id);
    start_waiting();
    return id;
}

auto http_client::start_waiting() -> void
{
    while (!waiting_.empty() && connections_ < options_.max_connections) {
        auto it = calls_.find(waiting_.front());
        waiting_.pop_front();
        if (it != calls_.end()) {
            start(*it->second);
        }
    }
}

auto http_client::start(call_state& call) -> void
{
    call.started = true;
    ++connections_;
    auto head = write_request_head(call.request, server_);
    if (head.has_error() || !pool_->is_valid) {
        auto message = head.has_error() ? head.error().message : "not an IP address";
        fail(call, error_code::invalid_argument, "server-request", message);
        return;
    }
    call.head = std::move(head).value();
    call.connect_timer = loop_.schedule(options_.connect_timeout, [this, id = call.id] {
        auto it = calls_.find(id);
        if (it != calls_.end() && !it->second->sent) {
            fail(*it->second, error_code::connection_refused, "server-connect",
                 "connection timed out");
        }
    });
    h2o_socketpool_connect(&call.connecting, &pool_->sockets, loop_.native(), nullptr,
                           callbacks::on_connect, &call);
}

auto http_client::on_connected(call_state& call, st_h2o_socket_t* socket, const char* err) -> void
{
    loop_.cancel(call.connect_timer);
    if (err != nullptr) {
        fail(call, error_code::connection_refused, "server-connect", err);
        return;
    }
    call.socket = socket;
    socket->data = &call;
    if (auto denied = call.check ? call.check() : std::nullopt) {
        call.written = true;
        release(call, true);
        finish(call, call_failure{*denied, request_outcome::not_run});
        return;
    }
    disable_send_delay(h2o_socket_get_fd(socket));
    limit_receive_buffer(h2o_socket_get_fd(socket),
                         static_cast<int>(options_.max_unconsumed_bytes));
    response_parser::handlers handlers;
    handlers.on_head = [&call](response_head head) {
        if (call.handlers.on_head) {
            call.handlers.on_head(std::move(head));
        }
    };
    handlers.on_data = [&call](std::string_view data) {
        call.unconsumed += data.size();
        if (call.handlers.on_data) {
            call.handlers.on_data(data);
        }
    };
    bool is_head = call.request.method == "HEAD";
    call.parser = std::make_unique<response_parser>(is_head, std::move(handlers));
    call.sent = true;
    const auto& body = call.request.body;
    std::array<h2o_iovec_t, 2> buffers{h2o_iovec_init(call.head.data(), call.head.size()),
                                       h2o_iovec_init(body.data(), body.size())};
    h2o_socket_write(socket, buffers.data(), body.empty() ? 1 : 2, callbacks::on_written);
    h2o_socket_read_start(socket, callbacks::on_readable);
}

auto http_client::on_input(call_state& call) -> void
{
    auto** input = &call.socket->input;
    call.in_callback = true;
    auto used = call.parser->feed({(*input)->bytes, (*input)->size});
    call.in_callback = false;
    if (call.canceled) {
        release(call, false);
        finish(call, success());
        return;
    }
    if (used.has_error()) {
        const auto& cause = used.error();
        fail(call, cause.code, cause.step, cause.message);
        return;
    }
    h2o_buffer_consume(input, used.value());
    if (call.parser->is_done()) {
        bool is_reusable = call.written && (*input)->size == 0 && call.parser->keeps_alive();
        release(call, is_reusable);
        finish(call, success());
        return;
    }
    if (call.unconsumed > options_.max_unconsumed_bytes) {
        h2o_socket_read_stop(call.socket);
    }
}

auto http_client::release(call_state& call, bool is_reusable) -> void
{
    if (call.connecting != nullptr) {
        h2o_socketpool_cancel_connect(std::exchange(call.connecting, nullptr));
    }
    if (call.socket == nullptr) {
        return;
    }
    auto* socket = std::exchange(call.socket, nullptr);
    h2o_socket_read_stop(socket);
    if (is_reusable) {
        h2o_socketpool_return(&pool_->sockets, socket);
    } else {
        h2o_socket_close(socket);
    }
}

auto http_client::cancel(call_id id) -> void
{
    auto it = calls_.find(id);
    if (it == calls_.end()) {
        return;
    }
    auto& call = *it->second;
    call.handlers = {};
    if (call.in_callback) {
        call.canceled = true;
        return;
    }
    release(call, false);
    finish(call, success());
}

auto http_client::consumed(call_id id, std::size_t n) -> void
{
    auto it = calls_.find(id);
    if (it == calls_.end()) {
        return;
    }
    auto& call = *it->second;
    call.unconsumed -= std::min(n, call.unconsumed);
    bool may_resume = call.sent && call.unconsumed <= options_.max_unconsumed_bytes / 2;
    if (may_resume && call.socket != nullptr && h2o_socket_is_reading(call.socket) == 0) {
        h2o_socket_read_start(call.socket, callbacks::on_readable);
    }
}

auto http_client::finish(call_state& call, call_result outcome) -> void
{
    auto node = calls_.extract(call.id);
    release(call, false);
    loop_.cancel(call.connect_timer);
    if (call.started) {
        --connections_;
    }
    // Deferred, so that a handler neither runs inside `send` nor inside h2o.
    loop_.schedule(duration::zero(), [this, alive = alive_, on_end = call.handlers.on_end,
                                      outcome = std::move(outcome)] {
        if (!*alive) {
            return;
        }
        start_waiting();
        if (*alive && on_end) {
            on_end(outcome);
        }
    });
}

auto http_client::fail(call_state& call, error_code code, std::string_view step,
                       std::string_view message) -> void
{
    auto outcome = call.sent ? request_outcome::unknown : request_outcome::not_run;
    error cause{code, std::string{step}, server_.to_text(), std::string{message}};
    finish(call, call_failure{std::move(cause), outcome});
}

auto http_client::call(http_request request, duration timeout, unary_handler handler) -> void
{
    auto it = std::make_shared<unary>();
    it->handler = std::move(handler);
    response_handlers handlers;
    handlers.on_head = [it](response_head head) { it->response.head = std::move(head); };
    handlers.on_data = [this, it](std::string_view data) {
        it->response.body.append(data);
        consumed(it->call, data.size());
        if (it->response.body.size() > options_.max_unary_body_bytes) {
            cancel(it->call);
            error cause{error_code::too_large, "server-call", server_.to_text(),
                        "response body too large"};
            finish_unary(it, call_failure{cause, request_outcome::unknown});
        }
    };
    handlers.on_end = [this, it](call_result outcome) {
        if (outcome.has_error()) {
            finish_unary(it, outcome.error());
        } else {
            finish_unary(it, std::move(it->response));
        }
    };
    it->timer = loop_.schedule(timeout, [this, it, alive = alive_] {
        if (!*alive) {
            return;
        }
        cancel(it->call);
        error cause{error_code::timeout, "server-call", server_.to_text(), "no response in time"};
        finish_unary(it, call_failure{cause, request_outcome::unknown});
    });
    it->call = send(std::move(request), std::move(handlers));
}

auto http_client::finish_unary(const std::shared_ptr<unary>& call, unary_result outcome) -> void
{
    if (std::exchange(call->done, true)) {
        return;
    }
    loop_.cancel(call->timer);
    auto handler = std::move(call->handler);
    handler(std::move(outcome));
}

} // namespace cornelswitch
