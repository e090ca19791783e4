#include "adapters/nghttp2/peer_client.h"

#include "adapters/h2o/connector.h"
#include "adapters/h2o/socket_address.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

constexpr duration check_interval = std::chrono::milliseconds{50};
/// Time between two checks above which the thread counts as stalled.
constexpr duration max_check_gap = std::chrono::milliseconds{150};

} // namespace

struct peer_client::unary {
    unary_handler handler;
    http_response response;
    event_loop::timer_id timer{0};
    call_id call{0};
    bool done{false};
};

peer_client::peer_client(event_loop& loop, endpoint peer, peer_client_options options)
    : loop_{loop}, peer_{std::move(peer)}, options_{options}
{
    check_timer_ = loop_.schedule(check_interval, [this] { check_sessions(); });
}

peer_client::~peer_client()
{
    close();
}

auto peer_client::close() -> void
{
    *alive_ = false;
    loop_.cancel(check_timer_);
    auto sessions = std::exchange(draining_, {});
    if (current_) {
        sessions.push_back(std::exchange(current_, nullptr));
    }
    for (auto& it : sessions) {
        it->close_without_callbacks();
    }
}

auto peer_client::send(http_request request, response_handlers handlers) -> call_id
{
    auto call = ++last_call_;
    auto session = ready_session();
    call_sessions_.emplace(call, session);
    last_used_[session.get()] = loop_.now();
    session->send(call, std::move(request), std::move(handlers));
    return call;
}

auto peer_client::cancel(call_id call) -> void
{
    auto node = call_sessions_.extract(call);
    if (node.empty()) {
        return;
    }
    if (auto session = node.mapped().lock()) {
        session->cancel(call);
    }
}

auto peer_client::consumed(call_id call, std::size_t n) -> void
{
    auto it = call_sessions_.find(call);
    if (it == call_sessions_.end()) {
        return;
    }
    if (auto session = it->second.lock()) {
        session->consumed(call, n);
    }
}

auto peer_client::call(std::string path, std::string body, duration timeout, unary_handler handler)
    -> void
{
    call({"POST", std::move(path), {}, std::move(body)}, timeout, std::move(handler));
}

auto peer_client::call(http_request request, duration timeout, unary_handler handler) -> void
{
    auto it = std::make_shared<unary>();
    it->handler = std::move(handler);
    response_handlers handlers;
    handlers.on_head = [it](response_head head) { it->response.head = std::move(head); };
    handlers.on_data = [this, it](std::string_view data) {
        it->response.body.append(data);
        if (it->response.body.size() > options_.limits.max_body_bytes) {
            cancel(it->call);
            error cause{error_code::too_large, "peer-call", peer_.to_text(),
                        "response body too large"};
            finish_unary(it, call_failure{cause, request_outcome::unknown});
            return;
        }
        consumed(it->call, data.size());
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
        error cause{error_code::timeout, "peer-call", peer_.to_text(), "no response in time"};
        finish_unary(it, call_failure{cause, request_outcome::unknown});
    });
    auto call = send(std::move(request), std::move(handlers));
    it->call = call;
}

auto peer_client::finish_unary(const std::shared_ptr<unary>& call, unary_result outcome) -> void
{
    if (std::exchange(call->done, true)) {
        return;
    }
    loop_.cancel(call->timer);
    auto handler = std::move(call->handler);
    handler(std::move(outcome));
}

auto peer_client::ready_session() -> std::shared_ptr<client_session>
{
    if (current_ && current_->accepts_calls()) {
        return current_;
    }
    client_session::hooks hooks;
    hooks.on_call_ended = [this](call_id call) { call_sessions_.erase(call); };
    hooks.on_draining = [this](client_session& it) { drain(it); };
    current_ = std::make_shared<client_session>(loop_, options_.limits, peer_.to_text(), hooks);
    ++connections_opened_;
    connect(current_);
    return current_;
}

auto peer_client::connect(const std::shared_ptr<client_session>& session) -> void
{
    std::weak_ptr<client_session> weak = session;
    auto handler = [weak](result<st_h2o_socket_t*> socket) {
        auto it = weak.lock();
        bool is_wanted = it != nullptr && !it->is_closed();
        if (socket.has_error() && is_wanted) {
            it->close(socket.error());
        } else if (socket.has_value()) {
            is_wanted ? it->attach(socket.value()) : close_socket(socket.value());
        }
    };
    connect_socket(loop_, peer_, options_.connect_timeout, handler);
}

auto peer_client::drain(client_session& session) -> void
{
    if (current_.get() != &session) {
        return;
    }
    // Kept until its calls have ended; `check_sessions` removes it.
    draining_.push_back(std::exchange(current_, nullptr));
}

auto peer_client::check_sessions() -> void
{
    auto now = loop_.now();
    if (now - last_check_at_ > max_check_gap) {
        pinged_at_.clear(); // The thread was stalled and cannot have processed an acknowledgement.
    }
    last_check_at_ = now;
    check_timer_ = loop_.schedule(check_interval, [this] { check_sessions(); });
    auto alive = alive_;
    auto sessions = draining_;
    if (current_) {
        sessions.push_back(current_);
    }
    for (auto& it : sessions) {
        check_session(*it);
        if (!*alive) {
            return;
        }
    }
    auto unused = [this](const std::shared_ptr<client_session>& it) {
        bool is_unused = it->calls() == 0;
        if (is_unused) {
            last_used_.erase(it.get());
            pinged_at_.erase(it.get());
            it->close_without_callbacks();
        }
        return is_unused;
    };
    draining_.remove_if(unused);
}

auto peer_client::check_session(client_session& session) -> void
{
    auto now = loop_.now();
    if (session.calls() == 0) {
        pinged_at_.erase(&session);
        bool is_idle = now - last_used_[&session] > options_.idle_timeout;
        if (is_idle && current_.get() == &session) {
            drain(session);
        }
        return;
    }
    auto pinged = pinged_at_.find(&session);
    if (pinged != pinged_at_.end() && session.last_received() > pinged->second) {
        pinged_at_.erase(pinged);
        pinged = pinged_at_.end();
    }
    if (pinged != pinged_at_.end()) {
        if (now - pinged->second > options_.ping_timeout) {
            session.close({error_code::timeout, "peer-ping", peer_.to_text(),
                           "silent connection replaced: ping was not acknowledged"});
        }
        return;
    }
    if (now - session.last_received() > options_.ping_after) {
        pinged_at_.emplace(&session, now);
        session.ping();
    }
}

} // namespace cornelswitch
