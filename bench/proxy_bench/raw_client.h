#pragma once

#include "config/configuration.h"
#include "core/clock.h"

#include <string_view>
#include <vector>

namespace cornelswitch::bench {

/// Caller with one or more connections over plain sockets. All requests are the same. Throws
/// std::runtime_error if a connection fails or an answer is not a 200 with the expected body.
class raw_client {
public:
    raw_client(const endpoint& server, std::size_t connections);
    raw_client(const raw_client&) = delete;
    auto operator=(const raw_client&) -> raw_client& = delete;
    ~raw_client();

    auto send(std::size_t connection) -> void;
    auto receive(std::size_t connection) -> void;
    /// Latencies of `count` requests, sent one after the other on the first connection.
    auto measure_latency(std::size_t count) -> std::vector<duration>;
    /// Keeps one request in progress on every connection until `count` are answered. Returns the
    /// elapsed time.
    auto run_closed_loop(std::size_t count) -> duration;

private:
    std::vector<int> fds_;
};

} // namespace cornelswitch::bench
