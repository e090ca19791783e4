#pragma once

#include "tests/gateway/gateway_fixture.h"
#include "tests/processes/gateway_process.h"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch::test {

/// A gateway process with a server for ordinary requests and one for a crowd of callers. The store
/// and the servers run in the test process.
struct process_fixture : loop_fixture {
    static constexpr std::size_t kib = 1024;
    static constexpr std::size_t mib = 1024 * kib;
    /// Longest time that a crowd sends. It ends a crowd that the gateway does not read from.
    static constexpr duration max_crowd_time = seconds{5};

    process_fixture() : store{loop}, ordinary{loop, "ordinary"}, bulk{loop, "bulk"} {}

    /// Starts the process with the limits of the test and waits until it is ready.
    auto start() -> void
    {
        store.put("keyed.op", "config", configuration());
        store.put("keyed.servers", "ordinary", ordinary.entry("plain"));
        store.put("keyed.servers", "bulk", bulk_entry(bulk.address()));
        launch();
        run_until([&] { return answers(callers_address, "GET /bulk/probe", request_headers); });
    }

    /// Starts the process with a server for the crowd that accepts connections and reads nothing.
    auto start_with_silent_server() -> void
    {
        store.put("keyed.op", "config", configuration());
        store.put("keyed.servers", "ordinary", ordinary.entry("plain"));
        store.put("keyed.servers", "bulk", bulk_entry(silent_server.address()));
        launch();
    }

    auto launch() -> void
    {
        auto ready_port = free_port();
        callers_address = {"127.0.0.1", free_port()};
        auto peer_port = std::to_string(free_port_pair());
        process = std::make_unique<gateway_process>(
            "Node=i1\nZone=z1\nIp=127.0.0.1\nListen.Front=" + callers_address.to_text() +
            "\nListen.Ready=127.0.0.1:" + std::to_string(ready_port) + "\nPortRange=" + peer_port +
            "," + peer_port + "\nPlatform.Addr=" + store.address().to_text() +
            "\nLimits.MemoryMb=" + std::to_string(memory_mb) +
            "\nLimits.MaxFds=" + std::to_string(max_descriptors) + "\n");
        run_until([&] { return answers({"127.0.0.1", ready_port}, "GET /-/ready", ""); });
        // The first request can come before the entries of the servers.
        run_until([&] { return answers(callers_address, "GET /read/1", request_headers); });
    }

    /// Sends one request on a new connection. Returns whether its response has status 200.
    auto answers(const endpoint& address, const std::string& request, const std::string& headers)
        -> bool
    {
        raw_connection caller{address, 0, raw_connection::may_fail};
        caller.send(request + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n");
        auto deadline = loop.now() + seconds{10};
        while (loop.now() < deadline && !gateway_fixture::is_whole(caller.received) &&
               caller.receive()) {
            loop.run_once(milliseconds{1});
        }
        return caller.received.starts_with("HTTP/1.1 200");
    }

    /// One connection of the crowd and the bytes that it sends.
    struct member {
        std::unique_ptr<raw_connection> connection;
        std::string head;
        std::string_view body;
        /// Most bytes that are sent at once.
        std::size_t piece{64 * kib};
        /// Whether the member reads what the gateway sends.
        bool is_reading{true};
        std::size_t sent{0};
        bool is_closed{false};

        auto is_done() const -> bool { return is_closed || sent == head.size() + body.size(); }
        auto send_piece() -> void
        {
            auto rest = sent < head.size() ? std::string_view{head}.substr(sent)
                                           : body.substr(sent - head.size());
            sent += connection->try_send(rest.substr(0, piece));
            is_closed = is_closed || (is_reading && !connection->receive());
        }
    };

    auto add_member(std::string head, std::string_view body) -> member&
    {
        crowd.push_back({std::make_unique<raw_connection>(callers_address), std::move(head), body});
        return crowd.back();
    }

    /// Head of a request with a body to the crowd's server. `framing` is a header line.
    static auto post_head(const std::string& framing) -> std::string
    {
        return "POST /bulk/1 HTTP/1.1\r\nHost: h\r\n" + request_headers + framing + "\r\n\r\n";
    }
    static auto post_head(std::size_t length) -> std::string
    {
        return post_head("Content-Length: " + std::to_string(length));
    }

    /// Lets all members send in turn, until each has sent everything or its connection is closed.
    auto run_crowd() -> void
    {
        auto deadline = loop.now() + max_crowd_time;
        while (loop.now() < deadline && !std::ranges::all_of(crowd, &member::is_done)) {
            for (auto& it : crowd) {
                if (!it.is_done()) {
                    it.send_piece();
                }
            }
            most_descriptors = std::max(most_descriptors, process->open_descriptors());
            loop.run_once(milliseconds{0});
        }
        // Time for the process to handle what it has received.
        run_for(milliseconds{500});
        most_descriptors = std::max(most_descriptors, process->open_descriptors());
    }

    /// The checks that hold on a machine of any speed. The crowd's connections are still open.
    auto check_process() -> void
    {
        BOOST_TEST(process->is_alive());
        BOOST_TEST_MESSAGE("peak memory " << process->peak_memory() / 1000 << " kB, descriptors "
                                          << most_descriptors);
        BOOST_TEST(process->peak_memory() < std::uint64_t{memory_mb} * 1'000'000);
        BOOST_TEST(most_descriptors < max_descriptors);
        BOOST_TEST(answers(callers_address, "GET /read/2", request_headers));
        BOOST_TEST(process->is_alive());
    }

    static auto bulk_entry(const endpoint& address) -> std::string
    {
        return R"({"Addr":")" + address.to_text() +
               R"(","Info":{"Service":"bulk","Version":"v1","Zone":"z1","Slots":400},)"
               R"("Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"},"born":1700000000000})";
    }

    auto configuration() const -> std::string
    {
        return R"({"Version":"r1","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":)" +
               std::to_string(max_body) +
               R"(,"HeaderTimeout":"3s","IdleTimeout":"15s"},"Routes":[)" +
               route_text("read", "plain", "idempotent", "") + "," +
               route_text("bulk", "bulk", "non_idempotent", "") +
               R"(],"Services":[{"Name":"plain","MaxConns":100},{"Name":"bulk","MaxConns":400}]})";
    }

    inline static const std::string request_headers = "X-Request-Id: r\r\nX-Deadline-Ms: 15000\r\n";

    std::uint32_t memory_mb{64};
    std::size_t max_descriptors{1000};
    std::size_t max_body{4 * mib};

    fake_store store;
    fake_backend ordinary;
    fake_backend bulk;
    raw_listener silent_server;
    endpoint callers_address;
    std::unique_ptr<gateway_process> process;
    std::vector<member> crowd;
    std::size_t most_descriptors{0};
};

} // namespace cornelswitch::test
