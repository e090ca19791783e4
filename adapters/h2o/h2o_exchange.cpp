#include "adapters/h2o/h2o_exchange.h"

#include <sys/socket.h>

#include <utility>

namespace cornelswitch {

namespace {

auto to_text(h2o_iovec_t it) -> std::string
{
    return {it.base, it.len};
}

auto reason_of(int status) -> const char*
{
    switch (status / 100) {
    case 2:
        return "OK";
    case 3:
        return "Redirect";
    case 4:
        return "Request Error";
    default:
        return status == 503 ? "Service Unavailable" : "Server Error";
    }
}

} // namespace

h2o_exchange::h2o_exchange(h2o_req_t* req) : req_{req}, generator_{{on_proceed, on_stop}, this}
{
    auto& request = mutable_request();
    request.method = to_text(req->method);
    request.path = to_text(req->path);
    request.body = to_text(req->entity);
    request.headers.reserve(req->headers.size + 1);
    request.headers.push_back({"host", to_text(req->authority)});
    for (std::size_t n = 0; n < req->headers.size; ++n) {
        const auto& it = req->headers.entries[n];
        request.headers.push_back({to_text(*it.name), to_text(it.value)});
    }
}

auto h2o_exchange::start(const response_head& head) -> void
{
    if (req_ == nullptr || std::exchange(has_head_, true)) {
        return;
    }
    req_->res.status = head.status;
    req_->res.reason = reason_of(head.status);
    if (head.content_length) {
        req_->res.content_length = *head.content_length;
    }
    for (const auto& it : head.headers) {
        // h2o writes its own date and server headers.
        if (!is_hop_by_hop(it.name) && it.name != "date" && it.name != "server") {
            add_header(it.name, it.value);
        }
    }
}

auto h2o_exchange::write(std::string_view data) -> void
{
    if (req_ == nullptr || finished_) {
        return;
    }
    pending_.append(data);
    send_next();
}

auto h2o_exchange::finish() -> void
{
    finished_ = true;
    on_closed = nullptr;
    send_next();
}

auto h2o_exchange::abort() -> void
{
    if (req_ == nullptr || final_sent_) {
        return;
    }
    on_closed = nullptr;
    finished_ = true;
    final_sent_ = true;
    if (is_http1()) {
        // A TCP reset lets the caller distinguish this from a body that ends with the connection.
        linger reset{1, 0};
        setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    if (sending_) {
        // h2o accepts no further send while one is in progress, so on_proceed reports the failure.
        // An HTTP/1.1 connection is shut down at once, because the caller may never read the rest.
        if (is_http1()) {
            shutdown(descriptor(), SHUT_RDWR);
        }
        return;
    }
    begin_response();
    h2o_send(req_, nullptr, 0, H2O_SEND_STATE_ERROR);
}

auto h2o_exchange::detach() -> void
{
    req_ = nullptr;
    on_sent = nullptr;
    auto handler = std::exchange(on_closed, nullptr);
    if (handler) {
        handler();
    }
}

auto h2o_exchange::handle_disconnect() -> void
{
    if (auto handler = std::exchange(on_closed, nullptr)) {
        handler();
    }
}

auto h2o_exchange::descriptor() const -> int
{
    return h2o_socket_get_fd(req_->conn->callbacks->get_socket(req_->conn));
}

auto h2o_exchange::owns_response(const h2o_req_t* req) -> bool
{
    return req->_generator != nullptr && req->_generator->proceed == on_proceed;
}

auto h2o_exchange::on_proceed(h2o_generator_t* self, h2o_req_t* req) -> void
{
    auto& it = *reinterpret_cast<generator*>(self)->owner;
    it.sending_ = false;
    auto n = it.in_flight_.size();
    it.in_flight_.clear();
    if (it.final_sent_) {
        h2o_send(req, nullptr, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (auto handler = it.on_sent; handler && n > 0) {
        handler(n);
    }
    it.send_next();
}

auto h2o_exchange::on_stop(h2o_generator_t* self, h2o_req_t*) -> void
{
    reinterpret_cast<generator*>(self)->owner->detach();
}

auto h2o_exchange::add_header(std::string_view name, std::string_view value) -> void
{
    auto name_copy = h2o_strdup(&req_->pool, name.data(), name.size());
    auto value_copy = h2o_strdup(&req_->pool, value.data(), value.size());
    h2o_add_header_by_str(&req_->pool, &req_->res.headers, name_copy.base, name_copy.len, 1,
                          nullptr, value_copy.base, value_copy.len);
}

auto h2o_exchange::begin_response() -> void
{
    if (!std::exchange(response_begun_, true)) {
        h2o_start_response(req_, &generator_.super);
    }
}

auto h2o_exchange::send_next() -> void
{
    // The headers are sent together with the first bytes of the body, as h2o expects.
    if (req_ == nullptr || sending_ || final_sent_ || (pending_.empty() && !finished_)) {
        return;
    }
    begin_response();
    in_flight_.swap(pending_);
    auto buf = h2o_iovec_init(in_flight_.data(), in_flight_.size());
    sending_ = true;
    final_sent_ = finished_;
    h2o_send(req_, &buf, in_flight_.empty() ? 0 : 1,
             finished_ ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

} // namespace cornelswitch
