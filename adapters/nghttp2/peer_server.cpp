#include "adapters/nghttp2/peer_server.h"

#include "adapters/h2o/socket_address.h"

#include <utility>

namespace cornelswitch {

auto peer_server::open(event_loop& loop, peer_server_options options, logger& log,
                       exchange_handler handler) -> result<std::unique_ptr<peer_server>>
{
    std::unique_ptr<peer_server> server{
        new peer_server{loop, std::move(options), log, std::move(handler)}};
    auto* self = server.get();
    BOOST_OUTCOME_TRY(opened, listener::open(loop, self->options_.address,
                                             [self](st_h2o_socket_t* it) { self->accept(it); }));
    server->address_ = opened->address();
    server->listener_ = std::move(opened);
    return server;
}

peer_server::peer_server(event_loop& loop, peer_server_options options, logger& log,
                         exchange_handler handler)
    : loop_{loop}, options_{std::move(options)}, log_{log}, handler_{std::move(handler)}
{
}

peer_server::~peer_server()
{
    closing_ = true;
    listener_.reset();
    auto sessions = std::exchange(sessions_, {});
    for (const auto& it : sessions) {
        it->close({error_code::canceled, "peer-server", it->peer(), "server closed"});
    }
}

auto peer_server::shut_down() -> void
{
    listener_.reset();
    auto sessions = sessions_;
    for (const auto& it : sessions) {
        it->shut_down();
    }
}

auto peer_server::open_streams() const -> std::size_t
{
    std::size_t n = 0;
    for (const auto& it : sessions_) {
        n += it->open_streams();
    }
    return n;
}

auto peer_server::accept(st_h2o_socket_t* socket) -> void
{
    if (sessions_.size() >= options_.max_connections) {
        close_socket(socket);
        return;
    }
    server_session::hooks hooks;
    hooks.on_request = handler_;
    hooks.on_closed = [this](server_session& it, const error& cause) {
        if (cause.code == error_code::invalid_message) {
            log_.log(log_level::warning, cause.step, cause.peer, cause.message);
        }
        if (!closing_) {
            sessions_.erase(std::static_pointer_cast<server_session>(it.shared_from_this()));
        }
    };
    auto session = std::make_shared<server_session>(loop_, options_.limits, peer_address(socket),
                                                    std::move(hooks));
    sessions_.insert(session);
    session->attach(socket);
}

} // namespace cornelswitch
