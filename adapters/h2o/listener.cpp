#include "adapters/h2o/listener.h"

#include "adapters/h2o/socket_address.h"

#include <h2o.h>

#include <sys/socket.h>

#include <utility>

namespace cornelswitch {

namespace {

/// Maximum number of connections accepted per read event, so that a burst cannot starve open
/// connections.
constexpr int accept_batch = 64;

} // namespace

auto listener::open(event_loop& loop, const endpoint& address, accept_handler handler,
                    int receive_buffer) -> result<std::unique_ptr<listener>>
{
    BOOST_OUTCOME_TRY(fd, open_listener(address));
    if (receive_buffer > 0) {
        // Accepted connections inherit it. TCP_WINDOW_CLAMP would not do: the kernel raises the
        // clamp when it enlarges the buffer. An error is ignored: connections work without it.
        (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    endpoint bound{address.address, bound_port(fd)};
    return std::unique_ptr<listener>{new listener{loop, std::move(bound), fd, std::move(handler)}};
}

listener::listener(event_loop& loop, endpoint address, int fd, accept_handler handler)
    : address_{std::move(address)}, handler_{std::move(handler)}, socket_{h2o_evloop_socket_create(
                                                                      loop.native(), fd,
                                                                      H2O_SOCKET_FLAG_DONT_READ)}
{
    socket_->data = this;
    h2o_socket_read_start(socket_, on_readable);
}

listener::~listener()
{
    h2o_socket_close(socket_);
}

auto listener::accept_pending() -> void
{
    while (auto* accepted = h2o_evloop_socket_accept(socket_)) {
        disable_send_delay(h2o_socket_get_fd(accepted));
        handler_(accepted);
    }
}

auto listener::on_readable(st_h2o_socket_t* socket, const char* err) -> void
{
    if (err != nullptr) {
        return;
    }
    auto* self = static_cast<listener*>(socket->data);
    for (int n = 0; n < accept_batch; ++n) {
        auto* accepted = h2o_evloop_socket_accept(socket);
        if (accepted == nullptr) {
            return;
        }
        disable_send_delay(h2o_socket_get_fd(accepted));
        self->handler_(accepted);
    }
}

} // namespace cornelswitch
