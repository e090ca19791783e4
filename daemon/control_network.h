#pragma once

#include "adapters/h2o/event_loop.h"
#include "adapters/nghttp2/peer_client.h"
#include "adapters/nghttp2/peer_server.h"
#include "core/logger.h"
#include "ownership/records.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cornelswitch {

/// A control message or the answer to one, with the identity of its sender.
struct control_message {
    cell_member sender;
    /// Cell that the message concerns; 0 for none.
    cell_id cell;
    std::string path;
    std::string body;
};

/// Control messages between instances: the control port and one connection to each peer.
class control_network {
public:
    /// Returns the body of the answer. Errors: `invalid_message` is answered with status 400, any
    /// other error with 503.
    using request_handler = std::function<result<std::string>(const control_message&)>;
    using answer_handler = std::function<void(result<control_message>)>;

    control_network(event_loop& loop, cell_member self, logger& log);

    /// Opens the control port. Errors: those of `peer_server::open`.
    auto open(const endpoint& address, request_handler handler) -> result<endpoint>;
    /// Sets the control address of another instance. Addresses are never removed, because the
    /// instance list may lose entries temporarily.
    auto set_address(const instance_id& peer, const endpoint& control) -> void;

    /// Sends a message. Errors: `not_found` when the address of `peer` is unknown; those of
    /// `peer_client::call`; `invalid_message` when the status of the answer is not 200 or it does
    /// not identify its sender.
    auto call(const instance_id& peer, cell_id cell, std::string path, std::string body,
              duration timeout, answer_handler handler) -> void;

    /// Sends GOAWAY to all peers; requests in progress are answered.
    auto shut_down() -> void;

private:
    auto serve(const std::shared_ptr<exchange>& it) -> void;

    event_loop& loop_;
    cell_member self_;
    logger& log_;
    request_handler handler_;
    std::unique_ptr<peer_server> server_;
    std::map<instance_id, std::unique_ptr<peer_client>> peers_;
};

} // namespace cornelswitch
