#pragma once

#include "adapters/exchange.h"

#include <h2o.h>

#include <optional>
#include <string>

namespace cornelswitch {

/// A request received by h2o. It must stay alive until `detach`, because h2o sends from its
/// buffers.
class h2o_exchange final : public exchange {
public:
    explicit h2o_exchange(h2o_req_t* req);

    auto start(const response_head& head) -> void override;
    auto write(std::string_view data) -> void override;
    auto finish() -> void override;
    auto abort() -> void override;

    /// Called when h2o has disposed of the request.
    auto detach() -> void;
    /// Called when the caller has closed its HTTP/1.1 connection.
    auto handle_disconnect() -> void;
    auto is_http1() const -> bool { return req_ != nullptr && req_->version < 0x200; }
    /// File descriptor of the connection. Not to be called after `detach`.
    auto descriptor() const -> int;
    /// Whether the response to `req` was created by an exchange and not by h2o itself.
    static auto owns_response(const h2o_req_t* req) -> bool;

private:
    struct generator {
        h2o_generator_t super;
        h2o_exchange* owner;
    };

    static auto on_proceed(h2o_generator_t* self, h2o_req_t* req) -> void;
    static auto on_stop(h2o_generator_t* self, h2o_req_t* req) -> void;
    auto add_header(std::string_view name, std::string_view value) -> void;
    auto begin_response() -> void;
    auto send_next() -> void;

    h2o_req_t* req_;
    generator generator_;
    std::string pending_;
    std::string in_flight_;
    bool has_head_{false};
    bool response_begun_{false};
    bool sending_{false};
    bool finished_{false};
    bool final_sent_{false};
};

} // namespace cornelswitch
