#pragma once

#include "adapters/h2o/socket_address.h"

#include <boost/test/unit_test.hpp>

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace cornelswitch::test {

/// A TCP connection on which a test sends arbitrary bytes.
class raw_connection {
public:
    /// Whether a connection that cannot be opened ends the test.
    enum failure_rule : std::uint8_t { must_connect, may_fail };

    /// A `receive_buffer` over zero fixes the size of the kernel's receive buffer, in bytes.
    explicit raw_connection(const endpoint& peer, int receive_buffer = 0,
                            failure_rule rule = must_connect)
        : fd_{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        if (receive_buffer > 0) {
            BOOST_REQUIRE(setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                                     sizeof(receive_buffer)) == 0);
        }
        auto address = to_socket_address(peer).value();
        bool is_connected = connect(fd_, address.get(), address.size) == 0;
        BOOST_REQUIRE((is_connected || rule == may_fail));
    }
    explicit raw_connection(int fd) : fd_{fd} {}
    raw_connection(const raw_connection&) = delete;
    auto operator=(const raw_connection&) -> raw_connection& = delete;
    ~raw_connection()
    {
        if (fd_ >= 0) {
            close(fd_);
        }
    }

    auto send(std::string_view bytes) -> void
    {
        (void)!::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Sends as many bytes as the kernel takes without waiting and returns their number.
    auto try_send(std::string_view bytes) -> std::size_t
    {
        auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    /// Ends the sending direction in order.
    auto finish_sending() -> void { (void)shutdown(fd_, SHUT_WR); }

    /// Resets the connection. Nothing else may be called afterwards.
    auto reset() -> void
    {
        linger immediate{1, 0};
        (void)setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
        close(std::exchange(fd_, -1));
    }

    /// Drops every segment that arrives from now on, so that nothing is acknowledged any more, as
    /// if the machine were cut off.
    auto fall_silent() -> void
    {
        sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
        sock_fprog program{1, &drop_all};
        BOOST_REQUIRE(setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) ==
                      0);
    }

    /// Appends the bytes that have arrived to `received`. Returns false when the peer has closed or
    /// reset the connection.
    auto receive() -> bool
    {
        std::array<char, 65536> buf{};
        auto n = recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0) {
            received.append(buf.data(), static_cast<std::size_t>(n));
        }
        is_reset = is_reset || (n < 0 && errno == ECONNRESET);
        return n > 0 || (n < 0 && errno == EAGAIN);
    }

    std::string received;
    /// The peer has reset the connection.
    bool is_reset{false};

private:
    int fd_;
};

/// Accepts connections on which a test sends arbitrary bytes.
class raw_listener {
public:
    /// A `receive_buffer` over zero fixes the size of the kernel's receive buffers of accepted
    /// connections, in bytes.
    explicit raw_listener(int receive_buffer = 0) : fd_{open_listener({"127.0.0.1", 0}).value()}
    {
        if (receive_buffer > 0) {
            limit_receive_buffer(fd_, receive_buffer);
        }
    }
    raw_listener(const raw_listener&) = delete;
    auto operator=(const raw_listener&) -> raw_listener& = delete;
    ~raw_listener() { close(fd_); }

    auto address() const -> endpoint { return {"127.0.0.1", bound_port(fd_)}; }
    /// Returns null when no connection is pending.
    auto accept() -> std::unique_ptr<raw_connection>
    {
        int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        return fd >= 0 ? std::make_unique<raw_connection>(fd) : nullptr;
    }

private:
    int fd_;
};

} // namespace cornelswitch::test
