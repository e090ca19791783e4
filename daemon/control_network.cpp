#include "daemon/control_network.h"

#include <utility>

namespace cornelswitch {

namespace {

constexpr std::string_view instance_header = "cornelswitch-instance";
constexpr std::string_view boot_header = "cornelswitch-boot";
constexpr std::string_view cell_header = "cornelswitch-cell";

// HPACK encodes a header that is repeated on a connection in about one byte.
auto identity_headers(const cell_member& self, cell_id cell) -> header_list
{
    return {{std::string{instance_header}, self.instance.value()},
            {std::string{boot_header}, std::to_string(self.boot.value())},
            {std::string{cell_header}, std::to_string(cell.value())}};
}

auto read_number(const header_list& headers, std::string_view name) -> std::optional<std::uint64_t>
{
    const auto* text = find_header(headers, name);
    return text == nullptr ? std::nullopt : parse_decimal(*text);
}

auto read_identity(const header_list& headers, control_message& out) -> bool
{
    const auto* instance = find_header(headers, instance_header);
    auto boot = read_number(headers, boot_header);
    auto cell = read_number(headers, cell_header);
    if (instance == nullptr || instance->empty() || !boot || !cell || *cell > UINT32_MAX) {
        return false;
    }
    out.sender = {instance_id{*instance}, boot_id{*boot}};
    out.cell = cell_id{static_cast<std::uint32_t>(*cell)};
    return true;
}

auto status_of(const error& err) -> int
{
    return err.code == error_code::invalid_message ? 400 : 503;
}

} // namespace

control_network::control_network(event_loop& loop, cell_member self, logger& log)
    : loop_{loop}, self_{std::move(self)}, log_{log}
{
}

auto control_network::open(const endpoint& address, request_handler handler) -> result<endpoint>
{
    handler_ = std::move(handler);
    peer_server_options options;
    options.address = address;
    auto server = peer_server::open(loop_, options, log_,
                                    [this](std::shared_ptr<exchange> it) { serve(it); });
    if (server.has_error()) {
        return server.error();
    }
    server_ = std::move(server.value());
    return server_->address();
}

auto control_network::set_address(const instance_id& peer, const endpoint& control) -> void
{
    if (peer == self_.instance) {
        return;
    }
    auto& client = peers_[peer];
    if (!client || client->address() != control) {
        client = std::make_unique<peer_client>(loop_, control, peer_client_options{});
    }
}

auto control_network::call(const instance_id& peer, cell_id cell, std::string path,
                           std::string body, duration timeout, answer_handler handler) -> void
{
    auto it = peers_.find(peer);
    if (it == peers_.end()) {
        handler(error{error_code::not_found, "control-call", peer.value(),
                      "control address is unknown"});
        return;
    }
    http_request request{"POST", path, identity_headers(self_, cell), std::move(body)};
    auto on_answer = [path, peer, handler = std::move(handler)](unary_result answer) {
        if (answer.has_error()) {
            handler(answer.error().cause);
            return;
        }
        control_message out;
        const auto& head = answer.value().head;
        if (head.status != 200 || !read_identity(head.headers, out)) {
            handler(error{error_code::invalid_message, "control-call", peer.value(),
                          "status " + std::to_string(head.status)});
            return;
        }
        out.path = path;
        out.body = std::move(answer.value().body);
        handler(std::move(out));
    };
    it->second->call(std::move(request), timeout, std::move(on_answer));
}

auto control_network::shut_down() -> void
{
    if (server_) {
        server_->shut_down();
    }
}

auto control_network::serve(const std::shared_ptr<exchange>& it) -> void
{
    control_message message;
    message.path = it->request().path;
    if (!read_identity(it->request().headers, message)) {
        it->respond({400, {}, {}}, "sender headers are missing or malformed");
        return;
    }
    message.body = it->take_body();
    auto cell = message.cell;
    auto answer = handler_(message);
    if (answer.has_error()) {
        log_.log(log_level::debug, "control-request", message.sender.instance.value(),
                 answer.error().message);
        it->respond({status_of(answer.error()), identity_headers(self_, cell), {}},
                    answer.error().message);
        return;
    }
    it->respond({200, identity_headers(self_, cell), {}}, answer.value());
}

} // namespace cornelswitch
