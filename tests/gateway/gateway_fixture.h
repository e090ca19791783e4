#pragma once

#include "gateway/gateway.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/raw_connection.h"
#include "tests/platform/fake_backend.h"
#include "tests/platform/fake_store.h"
#include "tests/platform/platform_text.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cornelswitch::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the first of two consecutive free ports. They lie below the range of ephemeral ports and
/// in a block chosen by process id, so that neither connections nor concurrent tests use them.
inline auto free_port_pair() -> std::uint16_t
{
    constexpr int first_port = 12'000;
    constexpr int block_size = 200;
    constexpr int blocks = 100;
    static int next = 0;
    while (true) {
        next = (next + 2) % block_size;
        auto port = static_cast<std::uint16_t>(first_port + getpid() % blocks * block_size + next);
        auto first = open_listener({"127.0.0.1", port});
        auto second = open_listener({"127.0.0.1", static_cast<std::uint16_t>(port + 1)});
        if (first.has_value()) {
            close(first.value());
        }
        if (second.has_value()) {
            close(second.value());
        }
        if (first.has_value() && second.has_value()) {
            return port;
        }
    }
}

inline auto free_port() -> std::uint16_t
{
    return free_port_pair();
}

/// A gateway instance with a fake store and two fake servers for each of two services.
struct gateway_fixture : loop_fixture {
    gateway_fixture()
        : store{loop}, plain_server_1{loop, "a"}, plain_server_2{loop, "b"}, k1{loop, "k1"},
          k2{loop, "k2"}, events{loop.time(), -1, "i1", "z1"}
    {
        k1.is_keyed = true;
        k2.is_keyed = true;
        settings.node = instance_id{"i1"};
        settings.zone = zone_id{"z1"};
        settings.caller_address = {"127.0.0.1", free_port()};
        settings.readiness_address = {"127.0.0.1", free_port()};
        settings.peer_address = {"127.0.0.1", free_port_pair()};
        settings.store_address = store.address();
        settings.retry_budget_burst = 60;
        settings.shutdown_grace = seconds{6};
    }

    static auto configuration(int version, const std::string& extra_routes = "") -> std::string
    {
        return configuration_text(version, extra_routes);
    }

    /// Configuration with one more route to the unkeyed service, without timeout and latency
    /// target.
    static auto with_route(int version, const std::string& name) -> std::string
    {
        return configuration(version, "," + route_text(name, "plain", "idempotent", ""));
    }

    /// Starts the gateway and waits until it is ready and the keyed servers own their keys.
    auto start() -> void
    {
        store.put("keyed.op", "config", configuration(1));
        store.put("keyed.servers", "a", plain_server_1.entry("plain"));
        store.put("keyed.servers", "b", plain_server_2.entry("plain"));
        store.put("keyed.servers", "k1", k1.entry("index"));
        store.put("keyed.servers", "k2", k2.entry("index"));
        start_empty();
        run_until([&] { return ready() && k1.holds_key(0) && k2.holds_key(65'535); });
    }

    /// Starts the gateway with `server` as the only unkeyed server, and waits until it is ready. A
    /// route of the given name has no time-out, so that a slow machine does not end its requests.
    auto start_with(const std::string& route, const endpoint& server) -> void
    {
        auto entry = plain_server_1.entry("plain");
        auto own = plain_server_1.address().to_text();
        entry.replace(entry.find(own), own.size(), server.to_text());
        store.put("keyed.op", "config",
                  configuration(1, "," + route_text(route, "plain", "non_idempotent", "")));
        store.put("keyed.servers", "a", entry);
        start_empty();
        run_until([&] { return ready(); });
    }

    /// Starts the gateway with an empty store.
    auto start_empty() -> void
    {
        instance = std::make_unique<gateway>(loop, settings, events, boot_id{7});
        auto started = instance->start();
        if (started.has_error()) {
            BOOST_FAIL(started.error().message);
        }
    }

    auto connect() -> std::unique_ptr<raw_connection>
    {
        return std::make_unique<raw_connection>(settings.caller_address);
    }

    static auto request(const std::string& path, const std::string& id,
                        const std::string& more = "") -> std::string
    {
        return caller_request(path, id, more);
    }

    /// Makes the unkeyed servers put their requests into `waiting` without a response.
    auto hold_plain_requests() -> void
    {
        for (auto* backend : {&plain_server_1, &plain_server_2}) {
            backend->handle_request = [this](fake_backend&, received_request& request) {
                waiting.push_back(request);
            };
        }
    }

    /// Sends one request on a new connection and returns the whole response.
    auto call(const std::string& bytes) -> std::string
    {
        auto connection = connect();
        connection->send(bytes);
        run_until([&] {
            connection->receive();
            return is_whole(connection->received);
        });
        return connection->received;
    }

    static auto is_whole(const std::string& response) -> bool
    {
        auto head = response.find("\r\n\r\n");
        auto length = response.find("content-length: ");
        return head != std::string::npos && length != std::string::npos &&
               response.size() >= head + 4 + std::stoul(response.substr(length + 16));
    }

    auto ready() -> bool
    {
        raw_connection probe{settings.readiness_address};
        probe.send("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until([&] {
            probe.receive();
            return is_whole(probe.received);
        });
        return probe.received.starts_with("HTTP/1.1 200");
    }

    static auto status(const std::string& response) -> std::string { return response.substr(9, 3); }

    fake_store store;
    fake_backend plain_server_1;
    fake_backend plain_server_2;
    fake_backend k1;
    fake_backend k2;
    std::vector<received_request> waiting;
    event_log events;
    node_settings settings;
    std::unique_ptr<gateway> instance;
};

} // namespace cornelswitch::test
