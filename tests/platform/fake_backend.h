#pragma once

#include "tests/gateway/fake_http_server.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch::test {

/// A backend server with key leases. A test sets how it responds to requests by `handle_request`.
class fake_backend {
public:
    using request_handler = std::function<void(fake_backend&, received_request&)>;

    fake_backend(event_loop& loop, std::string id)
        : id_{std::move(id)}, server_{loop, [this](received_request request) {
                                          handle(std::move(request));
                                      }}
    {
    }

    auto id() const -> const std::string& { return id_; }
    auto address() const -> endpoint { return server_.address(); }
    auto connections() const -> std::size_t { return server_.connections(); }

    /// Service discovery entry of this server.
    auto entry(const std::string& service, const std::string& state = "ready", int sequence = 1,
               const std::string& remaining_cold_time = "0ms") const -> std::string
    {
        nlohmann::json out{
            {"Addr", address().to_text()},
            {"Info", {{"Service", service}, {"Version", "v1"}, {"Zone", "z1"}, {"Slots", 2}}},
            {"Status", {{"State", state}, {"Seq", sequence}, {"ColdLeft", remaining_cold_time}}},
            {"born", 1'700'000'000'000}};
        return out.dump();
    }

    static auto header(const received_request& request, const std::string& name) -> std::string
    {
        const auto* it = find_header(request.head.headers, name);
        return it != nullptr ? *it : "";
    }

    /// A complete, sealed response with status 200.
    auto valid_response(const received_request& request, const std::string& body = "hello") const
        -> std::string
    {
        return fake_http_server::response(200,
                                          "x-request-id: " + header(request, "x-request-id") +
                                              "\r\nx-response-seal: s." + id_ + "\r\n",
                                          body);
    }

    auto holds_key(std::uint32_t key) const -> bool
    {
        for (const auto& [range, token] : lease_tokens) {
            if (range.first <= key && key <= range.second) {
                return true;
            }
        }
        return false;
    }

    /// Handles the requests that the server executes.
    request_handler handle_request{[](fake_backend& self, received_request& request) {
        request.send(self.valid_response(request));
    }};
    bool is_keyed{false};
    /// Ids of the executed requests, in order of arrival.
    std::vector<std::string> executed_request_ids;
    /// Fencing tokens of the leased key ranges, by first and last key.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> lease_tokens;
    /// Requests that a test's `handle_request` keeps, to respond to them later.
    std::vector<received_request> pending_requests;

private:
    auto handle(received_request request) -> void
    {
        auto expected = header(request, "x-expect-instance");
        if (!expected.empty() && expected != id_) {
            request.send(fake_http_server::response(421, "x-instance-id: " + id_ + "\r\n", ""));
            return;
        }
        if (request.head.target == "/-/grant" || request.head.target == "/-/release") {
            handle_lease_call(request);
            return;
        }
        auto key = header(request, "x-shard-key");
        if (is_keyed && !key.empty() && !holds_key(static_cast<std::uint32_t>(std::stoul(key)))) {
            request.send(fake_http_server::response(
                421, "x-not-executed: 1\r\nx-instance-id: " + id_ + "\r\n", ""));
            return;
        }
        executed_request_ids.push_back(header(request, "x-request-id"));
        handle_request(*this, request);
    }

    auto handle_lease_call(const received_request& request) -> void
    {
        auto body = nlohmann::json::parse(request.body);
        std::pair range{body.at("FromRev").get<std::uint32_t>(),
                        body.at("To").get<std::uint32_t>()};
        if (request.head.target == "/-/grant") {
            lease_tokens[range] = body.at("fence").get<std::uint64_t>();
            request.send(fake_http_server::response(200, "", ""));
            return;
        }
        lease_tokens.erase(range);
        request.send(fake_http_server::response(200, "x-handover: token\r\n", ""));
    }

    std::string id_;
    fake_http_server server_;
};

} // namespace cornelswitch::test
