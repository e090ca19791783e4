#pragma once

#include "config/configuration.h"
#include "core/error.h"

#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <string>

struct st_h2o_socket_t;

namespace cornelswitch {

/// An IPv4 or IPv6 address and port as socket functions take them.
struct socket_address {
    sockaddr_storage storage{};
    socklen_t size{0};

    auto get() -> sockaddr* { return reinterpret_cast<sockaddr*>(&storage); }
    auto get() const -> const sockaddr* { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Errors: `invalid_argument` when the address is not numeric.
auto to_socket_address(const endpoint& it) -> result<socket_address>;

/// Local port of a bound socket; 0 on failure.
auto bound_port(int fd) -> std::uint16_t;

/// Opens a listening socket and returns its file descriptor; port 0 selects a free port. Errors:
/// `invalid_argument`, `unavailable`.
auto open_listener(const endpoint& it) -> result<int>;

/// Address and port of the peer of a connection; empty when it is no longer connected.
auto peer_address(st_h2o_socket_t* socket) -> std::string;

/// Closes a socket that no stream or session has taken over.
auto close_socket(st_h2o_socket_t* socket) -> void;

/// Sets the size of the kernel's receive buffer. h2o reads all buffered bytes at once, so without
/// this limit one read can take several megabytes into memory.
auto limit_receive_buffer(int fd, int bytes) -> void;

/// Sets TCP_NODELAY: messages are written as a whole, so Nagle's algorithm would only add latency.
auto disable_send_delay(int fd) -> void;

/// Sets TCP_USER_TIMEOUT; zero restores the default of the system.
auto set_unacknowledged_timeout(int fd, std::chrono::milliseconds timeout) -> void;

} // namespace cornelswitch
