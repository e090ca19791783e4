#include "adapters/h2o/tcp_stream.h"

#include "adapters/h2o/connector.h"
#include "adapters/h2o/delivery_monitor.h"
#include "adapters/h2o/socket_address.h"

#include <h2o.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <utility>

namespace cornelswitch {

namespace {

/// Unacknowledged keep-alive probes after which the kernel closes a connection.
constexpr int keepalive_probes = 1;
/// The same where TCP_USER_TIMEOUT is set, which ends the connection earlier.
constexpr int keepalive_probes_beside_timeout = 2;
constexpr int keepalive_interval_s = 1;
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

auto set_option(int fd, int level, int name, int value) -> void
{
    // Errors are ignored: the connection also works without an option that the kernel lacks.
    (void)setsockopt(fd, level, name, &value, sizeof(value));
}

auto apply(int fd, const stream_options& options, bool has_kernel_timeout) -> void
{
    disable_send_delay(fd);
    if (options.receive_buffer > 0) {
        set_option(fd, SOL_SOCKET, SO_RCVBUF, options.receive_buffer);
    }
    if (options.keepalive_idle.count() > 0) {
        set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(options.keepalive_idle.count()));
        set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
        set_option(fd, IPPROTO_TCP, TCP_KEEPCNT,
                   has_kernel_timeout ? keepalive_probes_beside_timeout : keepalive_probes);
    }
}

} // namespace

struct tcp_stream::state : std::enable_shared_from_this<tcp_stream::state> {
    state(event_loop& loop, h2o_socket_t* taken, const stream_options& options) : socket{taken}
    {
        int fd = h2o_socket_get_fd(socket);
        if (options.unacknowledged_timeout.count() > 0) {
            monitor.emplace(loop, fd,
                            delivery_monitor::timeouts{options.unacknowledged_timeout,
                                                       options.closed_window_timeout},
                            [this] { on_peer_lost(); });
        }
        apply(fd, options, monitor && !monitor->replaces_kernel_timeout());
    }

    h2o_socket_t* socket;
    std::optional<delivery_monitor> monitor;
    handlers receivers;
    std::string in_flight;
    /// Number of bytes at the start of `in_flight` that have been handed to the kernel.
    std::size_t sent{0};
    std::string pending;
    bool is_write_active{false};
    /// A write got the report that the connection was reset or timed out. The kernel makes this
    /// report once; afterwards reads see an orderly end.
    bool has_failed{false};
    bool closes_after_write{false};
    bool shuts_down_after_write{false};

    auto shut_down_sending() -> void
    {
        if (socket != nullptr) {
            (void)shutdown(h2o_socket_get_fd(socket), SHUT_WR);
        }
    }

    auto flush() -> void
    {
        if (socket == nullptr || is_write_active || pending.empty()) {
            return;
        }
        in_flight.swap(pending);
        pending.clear();
        sent = 0;
        is_write_active = true;
        send_in_flight();
    }

    /// Used instead of h2o's write, which does not tell which error occurred. A write of no buffers
    /// makes h2o call `on_written` or `on_write_failed` in this iteration of the event loop.
    auto send_in_flight() -> void
    {
        if (monitor) {
            monitor->on_write();
        }
        ssize_t n = -1;
        do {
            n = ::send(h2o_socket_get_fd(socket), in_flight.data() + sent, in_flight.size() - sent,
                       MSG_NOSIGNAL | MSG_DONTWAIT);
        } while (n < 0 && errno == EINTR);
        if (n < 0 && errno != EAGAIN) {
            // EPIPE: the peer had ended its direction in order before it reset the connection.
            has_failed = errno != EPIPE;
            h2o_socket_write(socket, nullptr, 0, on_write_failed);
            return;
        }
        sent += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
        if (sent < in_flight.size()) {
            h2o_socket_notify_write(socket, on_writable);
        } else {
            h2o_socket_write(socket, nullptr, 0, on_written);
        }
    }

    /// Makes the kernel discard its send queue when the socket is closed.
    auto reset_on_close() const -> void
    {
        linger immediate{1, 0};
        (void)setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &immediate,
                         sizeof(immediate));
    }

    auto on_peer_lost() -> void
    {
        if (socket != nullptr) {
            auto self = shared_from_this();
            has_failed = true;
            reset_on_close();
            end_after_write_failure();
        }
    }

    /// Delivers the bytes that arrived before a write failed, such as an early response, and ends.
    auto end_after_write_failure() -> void
    {
        std::array<char, read_buffer_bytes> buf{};
        ssize_t n = -1;
        while (socket != nullptr && h2o_socket_is_reading(socket) != 0) {
            n = recv(h2o_socket_get_fd(socket), buf.data(), buf.size(), MSG_DONTWAIT);
            if (n <= 0) {
                break;
            }
            deliver({buf.data(), static_cast<std::size_t>(n)});
        }
        if (socket != nullptr) {
            end(n == 0 ? stream_end::closed : stream_end::failed);
        }
    }

    auto deliver(std::string_view bytes) const -> void
    {
        if (receivers.on_data) {
            // Copied, because closing the stream in the handler destroys the receivers.
            auto handler = receivers.on_data;
            handler(bytes);
        }
    }

    auto close_socket() -> void
    {
        if (auto* it = std::exchange(socket, nullptr)) {
            if (monitor) {
                monitor->on_close();
            }
            it->data = nullptr;
            h2o_socket_read_stop(it);
            h2o_socket_close(it);
        }
    }

    auto end(stream_end reason) -> void
    {
        close_socket();
        // Moved out, so that the handler may destroy the stream and no second end is reported.
        auto handler = std::move(receivers.on_end);
        receivers = {};
        if (handler) {
            handler(has_failed ? stream_end::failed : reason);
        }
    }

    static auto on_writable(h2o_socket_t* socket, const char*) -> void
    {
        if (socket->data != nullptr) {
            static_cast<state*>(socket->data)->shared_from_this()->send_in_flight();
        }
    }

    static auto on_write_failed(h2o_socket_t* socket, const char*) -> void
    {
        if (socket->data != nullptr) {
            static_cast<state*>(socket->data)->shared_from_this()->end_after_write_failure();
        }
    }

    static auto on_written(h2o_socket_t* socket, const char*) -> void
    {
        if (socket->data == nullptr) {
            return;
        }
        auto self = static_cast<state*>(socket->data)->shared_from_this();
        self->is_write_active = false;
        self->in_flight.clear();
        self->sent = 0;
        if (!self->pending.empty()) {
            self->flush();
            return;
        }
        self->in_flight.shrink_to_fit();
        if (self->closes_after_write) {
            self->close_socket();
            self->receivers = {};
            return;
        }
        if (self->shuts_down_after_write) {
            self->shut_down_sending();
        }
        if (self->receivers.on_drained) {
            auto handler = self->receivers.on_drained;
            handler();
        }
    }

    static auto on_readable(h2o_socket_t* socket, const char* err) -> void
    {
        if (socket->data == nullptr) {
            return;
        }
        auto self = static_cast<state*>(socket->data)->shared_from_this();
        if (socket->input->size != 0) {
            // The buffer is detached from the socket, because the handler may close the socket
            // while it uses the bytes, and so that idle connections hold no buffer.
            auto* input = socket->input;
            h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
            self->deliver({input->bytes, input->size});
            h2o_buffer_dispose(&input);
        }
        if (err != nullptr && self->socket != nullptr) {
            bool is_orderly = err == h2o_socket_error_closed;
            self->end(is_orderly ? stream_end::closed : stream_end::failed);
        }
    }
};

tcp_stream::tcp_stream(event_loop& loop, st_h2o_socket_t* socket, const stream_options& options)
    : state_{std::make_shared<state>(loop, socket, options)}
{
    socket->data = state_.get();
}

tcp_stream::~tcp_stream()
{
    state_->receivers = {};
    if (!state_->closes_after_write) {
        state_->close_socket();
        return;
    }
    if (state_->socket == nullptr) {
        return;
    }
    // Keeps the state alive until the last bytes have been handed to the kernel.
    state_->receivers.on_end = [held = state_](stream_end) {};
}

auto tcp_stream::connect(event_loop& loop, const endpoint& peer, const stream_options& options,
                         duration timeout, connect_handler handler) -> void
{
    connect_socket(loop, peer, timeout,
                   [&loop, options, handler = std::move(handler)](result<st_h2o_socket_t*> socket) {
                       if (socket.has_error()) {
                           handler(nullptr);
                           return;
                       }
                       handler(std::make_unique<tcp_stream>(loop, socket.value(), options));
                   });
}

auto tcp_stream::start(handlers receivers) -> void
{
    state_->receivers = std::move(receivers);
    set_reading(true);
}

auto tcp_stream::set_on_drained(std::function<void()> handler) -> void
{
    state_->receivers.on_drained = std::move(handler);
}

auto tcp_stream::write(std::string bytes) -> void
{
    if (state_->socket == nullptr || bytes.empty()) {
        return;
    }
    if (state_->pending.empty()) {
        state_->pending = std::move(bytes);
    } else {
        state_->pending.append(bytes);
    }
    state_->flush();
}

auto tcp_stream::set_reading(bool enabled) -> void
{
    if (state_->socket == nullptr || (h2o_socket_is_reading(state_->socket) != 0) == enabled) {
        return;
    }
    if (enabled) {
        h2o_socket_read_start(state_->socket, state::on_readable);
    } else {
        h2o_socket_read_stop(state_->socket);
    }
}

auto tcp_stream::unsent_bytes() const -> std::size_t
{
    return state_->in_flight.size() + state_->pending.size();
}

auto tcp_stream::is_open() const -> bool
{
    return state_->socket != nullptr;
}

auto tcp_stream::shut_down_sending() -> void
{
    state_->shuts_down_after_write = true;
    if (!state_->is_write_active && state_->pending.empty()) {
        state_->shut_down_sending();
    }
}

auto tcp_stream::has_unread_bytes() const -> bool
{
    int n = 0;
    return state_->socket != nullptr &&
           ioctl(h2o_socket_get_fd(state_->socket), FIONREAD, &n) == 0 && n > 0;
}

auto tcp_stream::close_after_write() -> void
{
    state_->receivers = {};
    if (!state_->is_write_active && state_->pending.empty()) {
        state_->close_socket();
        return;
    }
    state_->closes_after_write = true;
}

auto tcp_stream::close() -> void
{
    state_->receivers = {};
    state_->close_socket();
}

auto tcp_stream::abort() -> void
{
    if (state_->socket != nullptr) {
        state_->reset_on_close();
    }
    close();
}

} // namespace cornelswitch
