#pragma once

#include "adapters/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace cornelswitch {

/// A request that a server adapter received, and the interface to send its response. Used only on
/// the event loop's thread. Calls after the client has disconnected have no effect.
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    auto operator=(const exchange&) -> exchange& = delete;
    virtual ~exchange() = default;

    auto request() const -> const http_request& { return request_; }
    /// Moves the body out of the request to avoid a copy.
    auto take_body() -> std::string { return std::move(request_.body); }

    /// Sets the status and headers of the response. Only the first call has an effect.
    virtual auto start(const response_head& head) -> void = 0;
    /// Appends `data` to the body. It is buffered until the connection can send it.
    virtual auto write(std::string_view data) -> void = 0;
    /// Ends the response. The size of the body must match `content_length` if that was set.
    virtual auto finish() -> void = 0;
    /// Aborts the response with a reset, so that the client cannot take it for a complete one.
    virtual auto abort() -> void = 0;

    /// Sends a complete response. Sets `content_length` to the size of `body`.
    auto respond(response_head head, std::string_view body) -> void
    {
        head.content_length = body.size();
        start(head);
        if (!body.empty()) {
            write(body);
        }
        finish();
    }

    /// Called at most once, when the client cancels the request or disconnects before the response
    /// is complete.
    std::function<void()> on_closed;
    /// Called with the number of body bytes that have left the send buffer; used for back-pressure.
    std::function<void(std::size_t)> on_sent;

protected:
    auto mutable_request() -> http_request& { return request_; }

private:
    http_request request_;
};

using exchange_handler = std::function<void(std::shared_ptr<exchange>)>;

} // namespace cornelswitch
