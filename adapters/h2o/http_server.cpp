#include "adapters/h2o/http_server.h"

#include "adapters/h2o/h2o_exchange.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>

#include <poll.h>
#include <sys/socket.h>

#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cornelswitch {

namespace {

/// Maximum number of event loop iterations that a closing server waits for its connections to
/// close.
constexpr int max_closing_iterations = 1000;

} // namespace

class http_server::state {
public:
    state(event_loop& loop, http_server_options options, exchange_handler handler)
        : loop_{loop}, options_{std::move(options)}, handler_{std::move(handler)}
    {
        h2o_config_init(&config_);
        config_.server_name = h2o_iovec_init(H2O_STRLIT("cornelswitch"));
        config_.max_request_entity_size = options_.max_body_bytes;
        config_.http2.max_concurrent_requests_per_connection = options_.max_streams;
        auto* host =
            h2o_config_register_host(&config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
        auto* path = h2o_config_register_path(host, "/", 0);
        auto* entry =
            reinterpret_cast<request_handler*>(h2o_create_handler(path, sizeof(request_handler)));
        entry->super.on_req = on_request;
        entry->owner = this;
        h2o_create_filter(path, sizeof(h2o_filter_t))->on_setup_ostream = add_outcome_header;
        h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))->on_setup_ostream =
            add_outcome_header;
        h2o_context_init(&context_, loop_.native(), &config_);
        accept_.ctx = &context_;
        accept_.hosts = config_.hosts;
    }
    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;

    ~state()
    {
        loop_.cancel(disconnect_check_timer_);
        listener_.reset();
        close_connections();
        if (!connections_.empty()) {
            return; // Leaked on purpose: h2o would use the context after its destruction.
        }
        // This timer is linked after a shutdown request until h2o has sent its second GOAWAY.
        auto* goaway = &context_.http2._graceful_shutdown_timeout;
        if (goaway->cb != nullptr && h2o_timeout_is_linked(goaway) != 0) {
            h2o_timeout_unlink(goaway);
        }
        h2o_context_dispose(&context_);
        h2o_config_dispose(&config_);
    }

    auto listen() -> result<void>
    {
        BOOST_OUTCOME_TRY(opened, listener::open(loop_, options_.address,
                                                 [this](h2o_socket_t* it) { accept(it); }));
        address_ = opened->address();
        listener_ = std::move(opened);
        schedule_disconnect_check();
        return success();
    }

    auto shut_down() -> void
    {
        listener_.reset();
        h2o_context_request_shutdown(&context_);
    }

    auto open_requests() const -> std::size_t { return requests_.size(); }
    auto open_connections() const -> std::size_t { return connections_.size(); }
    auto address() const -> const endpoint& { return address_; }

private:
    struct request_handler {
        h2o_handler_t super;
        state* owner;
    };
    struct disposal {
        state* owner;
        h2o_exchange* request;
    };

    static auto on_request(h2o_handler_t* self, h2o_req_t* req) -> int
    {
        auto* owner = reinterpret_cast<request_handler*>(self)->owner;
        auto request = std::make_shared<h2o_exchange>(req);
        auto* entry =
            static_cast<disposal*>(h2o_mem_alloc_shared(&req->pool, sizeof(disposal), on_disposed));
        *entry = {owner, request.get()};
        owner->requests_.emplace(request.get(), request);
        owner->handler_(request);
        return 0;
    }

    static auto on_disposed(void* self) -> void
    {
        auto it = *static_cast<disposal*>(self);
        auto node = it.owner->requests_.extract(it.request);
        if (!node.empty()) {
            node.mapped()->detach();
        }
    }

    /// h2o responds to malformed and oversized requests itself; none of them was executed.
    static auto add_outcome_header(h2o_filter_t*, h2o_req_t* req, h2o_ostream_t** slot) -> void
    {
        if (!h2o_exchange::owns_response(req)) {
            h2o_add_header_by_str(&req->pool, &req->res.headers, H2O_STRLIT("cornelswitch-outcome"),
                                  0, nullptr, H2O_STRLIT("not-run"));
        }
        h2o_setup_next_ostream(req, slot);
    }

    auto accept(h2o_socket_t* socket) -> void
    {
        if (connections_.size() >= options_.max_connections) {
            h2o_socket_close(socket);
            return;
        }
        auto* added = new connection{this, socket};
        connections_.insert(added);
        socket->on_close.cb = [](void* data) {
            std::unique_ptr<connection> it{static_cast<connection*>(data)};
            it->owner->connections_.erase(it.get());
        };
        socket->on_close.data = added;
        h2o_accept(&accept_, socket);
    }

    auto schedule_disconnect_check() -> void
    {
        disconnect_check_timer_ = loop_.schedule(options_.disconnect_check_interval, [this] {
            schedule_disconnect_check();
            detect_disconnects();
        });
    }

    auto detect_disconnects() -> void
    {
        std::vector<pollfd> polled;
        std::vector<std::shared_ptr<h2o_exchange>> checked;
        for (const auto& [key, it] : requests_) {
            if (it->is_http1() && it->on_closed) {
                polled.push_back({it->descriptor(), POLLRDHUP, 0});
                checked.push_back(it);
            }
        }
        if (polled.empty() || poll(polled.data(), polled.size(), 0) <= 0) {
            return;
        }
        for (std::size_t n = 0; n < polled.size(); ++n) {
            if ((polled[n].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                checked[n]->handle_disconnect();
            }
        }
    }

    auto close_connections() -> void
    {
        std::vector<std::shared_ptr<h2o_exchange>> open;
        for (const auto& [key, it] : requests_) {
            open.push_back(it);
        }
        for (const auto& it : open) {
            it->on_closed = nullptr;
            it->on_sent = nullptr;
            it->abort();
        }
        // Sockets that are already closed must be removed from h2o's list of pending callbacks
        // first.
        h2o_timeout__do_post_callback(loop_.native());
        for (int n = 0; n < max_closing_iterations && !connections_.empty(); ++n) {
            for (const auto* it : connections_) {
                shutdown(h2o_socket_get_fd(it->socket), SHUT_RDWR);
            }
            h2o_evloop_run(loop_.native(), 0);
        }
    }

    struct connection {
        state* owner;
        h2o_socket_t* socket;
    };

    event_loop& loop_;
    http_server_options options_;
    exchange_handler handler_;
    endpoint address_;
    h2o_globalconf_t config_{};
    h2o_context_t context_{};
    h2o_accept_ctx_t accept_{};
    std::unique_ptr<listener> listener_;
    std::unordered_set<connection*> connections_;
    std::unordered_map<h2o_exchange*, std::shared_ptr<h2o_exchange>> requests_;
    event_loop::timer_id disconnect_check_timer_{0};
};

auto http_server::open(event_loop& loop, http_server_options options, exchange_handler handler)
    -> result<std::unique_ptr<http_server>>
{
    auto it = std::make_unique<state>(loop, std::move(options), std::move(handler));
    BOOST_OUTCOME_TRYV(it->listen());
    return std::unique_ptr<http_server>{new http_server{std::move(it)}};
}

http_server::http_server(std::unique_ptr<state> it) : state_{std::move(it)} {}

http_server::~http_server() = default;

auto http_server::shut_down() -> void
{
    state_->shut_down();
}

auto http_server::open_requests() const -> std::size_t
{
    return state_->open_requests();
}

auto http_server::open_connections() const -> std::size_t
{
    return state_->open_connections();
}

auto http_server::address() const -> endpoint
{
    return state_->address();
}

} // namespace cornelswitch
