#include "gateway/server_pool.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

constexpr std::size_t max_header_bytes = 64 * 1024;
/// Part of the idle time announced by a server after which a connection is not reused, because a
/// server may close it a little earlier than announced.
constexpr double keep_alive_factor = 0.85;
/// A connection is not reused after this many requests were rejected on it.
constexpr std::size_t max_rejections = 16;

} // namespace

class server_pool::connection final : public server_attempt,
                                      public std::enable_shared_from_this<connection> {
public:
    connection(server_pool& pool, server_id server)
        : pool_{pool}, alive_{pool.alive_}, server_{std::move(server)}
    {
        http1_parser::handlers handlers;
        handlers.on_head = [this](http1_head head) { on_head(std::move(head)); };
        handlers.on_body = [this](std::string_view bytes) {
            skipped_bytes_ += is_stray_ ? bytes.size() : 0;
            discarded_bytes_ += is_discarding_ ? bytes.size() : 0;
            if (is_active_ && !is_stray_ && handlers_.on_body) {
                auto handler = handlers_.on_body;
                handler(bytes);
            }
        };
        handlers.on_end = [this] { is_message_complete_ = true; };
        parser_ = std::make_unique<http1_parser>(http1_kind::response, max_header_bytes,
                                                 std::move(handlers));
    }

    auto open(const endpoint& address) -> void
    {
        ++pool_.counters_.connects;
        auto self = shared_from_this();
        tcp_stream::connect(pool_.loop_, address, pool_.options_.stream,
                            pool_.options_.connect_timeout,
                            [self](std::unique_ptr<tcp_stream> stream) {
                                if (*self->alive_ && !self->is_closed_) {
                                    self->on_connected(std::move(stream));
                                }
                            });
    }

    auto start_request(server_attempt_request request, attempt_handlers handlers) -> void
    {
        request_ = std::move(request);
        handlers_ = std::move(handlers);
        is_active_ = true;
        has_response_bytes_ = false;
        is_stray_ = false;
        is_discarding_ = false;
        skipped_bytes_ = 0;
        discarded_bytes_ = 0;
        is_message_complete_ = false;
        next_block_ = 0;
        is_reading_ = true;
        parser_->set_skips_body(request_.is_head);
        if (stream_) {
            is_reused_ = true;
            send();
        }
    }

    auto cancel() -> void override
    {
        if (!is_active_) {
            return;
        }
        is_active_ = false;
        handlers_ = {};
        close();
    }

    auto set_reading(bool enabled) -> void override
    {
        is_reading_ = enabled;
        if (stream_) {
            stream_->set_reading(enabled);
        }
    }

    auto discard_response() -> void override
    {
        handlers_ = {};
        is_discarding_ = true;
        set_reading(true);
    }

    auto close() -> void
    {
        is_closed_ = true;
        request_.body.reset();
        stop_timer();
        if (stream_) {
            stream_->abort();
        }
        if (*alive_) {
            pool_.remove(this);
        }
    }

    /// Whether the server rejected request `id` on this connection. A retry of the request must use
    /// another connection: a duplicate of the rejection could be taken for its response.
    auto has_rejected(const std::string& id) const -> bool
    {
        return std::ranges::find(rejected_ids_, id) != rejected_ids_.end();
    }

    /// The server's process has ended. The handlers run later.
    auto abandon() -> void
    {
        pool_.loop_.schedule(duration::zero(), [self = shared_from_this()] {
            if (*self->alive_ && self->is_active_ && !self->is_closed_) {
                self->fail(self->stream_ ? attempt_outcome::broken : attempt_outcome::unreachable,
                           "another server has the address");
            }
        });
    }

    auto server() const -> const server_id& { return server_; }
    auto idle_since() const -> time_point { return idle_since_; }
    auto max_idle() const -> duration { return max_idle_; }
    auto is_open() const -> bool { return stream_ && stream_->is_open(); }

private:
    auto on_connected(std::unique_ptr<tcp_stream> stream) -> void
    {
        if (!stream) {
            fail(attempt_outcome::unreachable, "connect failed");
            return;
        }
        stream_ = std::move(stream);
        std::weak_ptr<connection> weak = weak_from_this();
        tcp_stream::handlers stream_handlers;
        stream_handlers.on_data = [weak](std::string_view bytes) {
            if (auto self = weak.lock(); self && *self->alive_) {
                self->on_data(bytes);
            }
        };
        stream_handlers.on_end = [weak](stream_end reason) {
            if (auto self = weak.lock(); self && *self->alive_) {
                self->on_stream_end(reason);
            }
        };
        stream_->start(std::move(stream_handlers));
        stream_->set_reading(is_reading_);
        send();
    }

    auto send() -> void
    {
        ++pool_.counters_.requests;
        auto handler = handlers_.on_sent;
        stream_->write(std::move(request_.bytes));
        if (request_.body) {
            stream_->set_on_drained([weak = weak_from_this()] {
                if (auto self = weak.lock(); self && self->is_active_) {
                    self->send_next_block();
                }
            });
        }
        if (handler) {
            handler();
        }
    }

    auto has_unsent_body() const -> bool
    {
        return request_.body && next_block_ < request_.body->blocks().size();
    }

    /// Sends one block at a time, so that a server that reads slowly costs one block of memory.
    auto send_next_block() -> void
    {
        if (has_unsent_body()) {
            stream_->write(request_.body->blocks()[next_block_++]);
        }
    }

    auto on_head(http1_head head) -> void
    {
        auto info = decode_server_response(head);
        // A duplicate of a response without a request id could be taken for the response to the
        // next request, so the connection is not reused.
        bool has_request_id = !info.request_id.empty() || request_.request_id.empty();
        keeps_alive_ =
            head.keeps_alive && head.framing != body_framing::until_close && has_request_id;
        if (info.keep_alive) {
            auto seconds = std::chrono::duration<double>{*info.keep_alive} * keep_alive_factor;
            max_idle_ = std::chrono::duration_cast<duration>(seconds);
        }
        is_stray_ = !info.request_id.empty() && info.request_id != request_.request_id;
        if (is_stray_) {
            ++pool_.counters_.stray_responses;
            return;
        }
        if (info.is_not_run) {
            is_discarding_ = true;
            rejected_ids_.push_back(request_.request_id);
            keeps_alive_ = keeps_alive_ && rejected_ids_.size() < max_rejections;
        }
        if (is_active_ && handlers_.on_head) {
            auto handler = handlers_.on_head;
            handler(std::move(head), info);
        }
    }

    auto on_data(std::string_view bytes) -> void
    {
        if (!is_active_) {
            // No request is in progress, so these bytes belong to no response.
            ++pool_.counters_.unexpected_data;
            close();
            return;
        }
        has_response_bytes_ = true;
        while (!bytes.empty() && is_active_ && !is_closed_) {
            auto used = parser_->feed(bytes);
            if (!is_active_ || is_closed_) {
                return;
            }
            if (used.has_error()) {
                fail(attempt_outcome::broken, used.error().message);
                return;
            }
            bytes.remove_prefix(used.value());
            if (!std::exchange(is_message_complete_, false)) {
                if (skipped_bytes_ > pool_.options_.max_skipped_bytes) {
                    fail(attempt_outcome::broken, "too many bytes in responses to other requests");
                } else if (discarded_bytes_ > pool_.options_.max_discarded_bytes) {
                    finish(false);
                }
                continue;
            }
            if (is_stray_) {
                if (!keeps_alive_) {
                    fail(attempt_outcome::broken,
                         "connection closed after a response to another request");
                    return;
                }
                is_stray_ = false;
                continue;
            }
            finish(bytes.empty() && keeps_alive_);
            return;
        }
        if (is_active_ && !is_closed_ && is_discarding_ && timer_ == 0) {
            timer_ =
                pool_.loop_.schedule(pool_.options_.discard_timeout, [weak = weak_from_this()] {
                    if (auto self = weak.lock()) {
                        self->timer_ = 0;
                        self->on_discard_timeout();
                    }
                });
        }
    }

    auto on_discard_timeout() -> void
    {
        if (*alive_ && is_active_ && !is_closed_) {
            finish(false);
        }
    }

    auto stop_timer() -> void
    {
        if (timer_ != 0 && *alive_) {
            pool_.loop_.cancel(std::exchange(timer_, 0));
        }
    }

    auto on_stream_end(stream_end reason) -> void
    {
        if (!is_active_) {
            close();
            return;
        }
        if (reason == stream_end::closed && parser_->is_inside_message() && parser_->finish() &&
            !is_stray_ && is_active_) {
            finish(false);
            return;
        }
        if (is_active_) {
            fail(attempt_outcome::broken,
                 reason == stream_end::closed ? "connection closed" : "connection failed");
        }
    }

    auto finish(bool keeps_connection) -> void
    {
        auto self = shared_from_this();
        auto handlers = std::exchange(handlers_, {});
        is_active_ = false;
        stop_timer();
        // The server responded before it had the whole body, so the connection carries no other
        // request.
        keeps_connection = keeps_connection && !has_unsent_body();
        request_.body.reset();
        if (keeps_connection) {
            idle_since_ = pool_.loop_.now();
            // Reading may have been paused by the part of the response that arrived last.
            stream_->set_reading(true);
            pool_.return_to_idle(self);
        } else {
            close();
        }
        if (handlers.on_end) {
            handlers.on_end();
        }
    }

    auto fail(attempt_outcome outcome, std::string_view cause) -> void
    {
        auto self = shared_from_this();
        auto handlers = std::exchange(handlers_, {});
        is_active_ = false;
        bool was_reused = is_reused_ && !has_response_bytes_;
        close();
        if (handlers.on_failure) {
            handlers.on_failure(outcome, was_reused, cause);
        }
    }

    server_pool& pool_;
    std::shared_ptr<bool> alive_;
    server_id server_;
    std::unique_ptr<tcp_stream> stream_;
    std::unique_ptr<http1_parser> parser_;
    server_attempt_request request_;
    attempt_handlers handlers_;
    /// Next block of the request's body to send.
    std::size_t next_block_{0};
    bool is_reading_{true};
    bool is_active_{false};
    bool is_closed_{false};
    bool is_reused_{false};
    bool has_response_bytes_{false};
    bool is_stray_{false};
    bool is_discarding_{false};
    std::size_t skipped_bytes_{0};
    std::size_t discarded_bytes_{0};
    event_loop::timer_id timer_{0};
    bool is_message_complete_{false};
    bool keeps_alive_{false};
    time_point idle_since_{};
    duration max_idle_{duration::max()};
    /// Ids of the requests that the server rejected on this connection.
    std::vector<std::string> rejected_ids_;
};

server_pool::server_pool(event_loop& loop, options settings) : loop_{loop}, options_{settings} {}

server_pool::~server_pool()
{
    *alive_ = false;
    for (auto& [server, list] : idle_) {
        for (auto& idle : list) {
            idle->close();
        }
    }
    for (auto& [raw, active] : active_) {
        active->close();
    }
}

auto server_pool::take_idle_connection(const server_attempt_request& request)
    -> std::shared_ptr<connection>
{
    auto list = idle_.find(request.server);
    if (list == idle_.end()) {
        return nullptr;
    }
    // The server is least likely to have closed the most recently used connection.
    while (!list->second.empty()) {
        auto candidate = list->second.back();
        auto idle = loop_.now() - candidate->idle_since();
        auto limit = std::min({options_.max_idle, candidate->max_idle(), request.max_idle});
        if (candidate->is_open() && (idle > limit || candidate->has_rejected(request.request_id))) {
            return nullptr;
        }
        list->second.pop_back();
        if (candidate->is_open()) {
            return candidate;
        }
    }
    return nullptr;
}

auto server_pool::send(server_attempt_request request, attempt_handlers handlers)
    -> std::shared_ptr<server_attempt>
{
    auto assigned = take_idle_connection(request);
    bool is_new = !assigned;
    if (is_new) {
        assigned = std::make_shared<connection>(*this, request.server);
    }
    active_.emplace(assigned.get(), assigned);
    auto address = request.address;
    assigned->start_request(std::move(request), std::move(handlers));
    if (is_new) {
        assigned->open(address);
    }
    return assigned;
}

auto server_pool::return_to_idle(const std::shared_ptr<connection>& released) -> void
{
    active_.erase(released.get());
    idle_[released->server()].push_back(released);
}

auto server_pool::remove(const connection* closed) -> void
{
    auto list = idle_.find(closed->server());
    if (list != idle_.end()) {
        std::erase_if(list->second, [&](const auto& other) { return other.get() == closed; });
        if (list->second.empty()) {
            idle_.erase(list);
        }
    }
    active_.erase(closed);
}

auto server_pool::abandon(const server_id& server) -> void
{
    for (auto& [raw, active] : active_) {
        if (active->server() == server) {
            active->abandon();
        }
    }
}

auto server_pool::tick(time_point now, const std::function<bool(const server_id&)>& is_known)
    -> void
{
    std::vector<std::shared_ptr<connection>> expired;
    for (auto& [server, list] : idle_) {
        bool is_gone = !is_known(server);
        for (auto& idle : list) {
            if (is_gone ||
                now - idle->idle_since() > std::min(options_.max_idle, idle->max_idle())) {
                expired.push_back(idle);
            }
        }
    }
    for (auto& idle : expired) {
        idle->close();
    }
}

} // namespace cornelswitch
