#include "adapters/h2o/connector.h"

#include "adapters/h2o/socket_address.h"

#include <h2o.h>

#include <memory>
#include <utility>

namespace cornelswitch {

namespace {

struct pending_connect {
    pending_connect(event_loop& loop, endpoint peer, connect_handler handler)
        : loop{loop}, peer{std::move(peer)}, handler{std::move(handler)}
    {
    }

    event_loop& loop;
    endpoint peer;
    connect_handler handler;
    event_loop::timer_id timer{0};
    h2o_socket_t* socket{nullptr};

    auto fail(error_code code, std::string_view message) -> void
    {
        handler(error{code, "connect", peer.to_text(), std::string{message}});
    }
};

auto on_connected(h2o_socket_t* socket, const char* err) -> void
{
    std::unique_ptr<pending_connect> it{static_cast<pending_connect*>(socket->data)};
    it->loop.cancel(it->timer);
    if (err != nullptr) {
        h2o_socket_close(socket);
        it->fail(error_code::connection_refused, err);
        return;
    }
    disable_send_delay(h2o_socket_get_fd(socket));
    it->handler(socket);
}

auto on_timeout(pending_connect* pending) -> void
{
    std::unique_ptr<pending_connect> it{pending};
    h2o_socket_close(it->socket);
    it->fail(error_code::timeout, "connection timed out");
}

} // namespace

auto connect_socket(event_loop& loop, const endpoint& peer, duration timeout,
                    connect_handler handler) -> void
{
    auto it = std::make_unique<pending_connect>(loop, peer, std::move(handler));
    auto address = to_socket_address(peer);
    if (address.has_error()) {
        loop.post([held = std::make_shared<decltype(it)>(std::move(it)), cause = address.error()] {
            (*held)->handler(cause);
        });
        return;
    }
    it->socket = h2o_socket_connect(loop.native(), address.value().get(), address.value().size,
                                    on_connected);
    if (it->socket == nullptr) {
        loop.post([held = std::make_shared<decltype(it)>(std::move(it))] {
            (*held)->fail(error_code::connection_refused, "connection failed");
        });
        return;
    }
    it->socket->data = it.get();
    it->timer = loop.schedule(timeout, [pending = it.get()] { on_timeout(pending); });
    it.release();
}

} // namespace cornelswitch
