#include "adapters/h2o/socket_address.h"

#include <h2o.h>

#include <arpa/inet.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace cornelswitch {

auto to_socket_address(const endpoint& it) -> result<socket_address>
{
    socket_address address;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (inet_pton(AF_INET, it.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(it.port);
        address.size = sizeof(sockaddr_in);
        return address;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (inet_pton(AF_INET6, it.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(it.port);
        address.size = sizeof(sockaddr_in6);
        return address;
    }
    return error{error_code::invalid_argument, "address", it.to_text(), "not an IP address"};
}

auto bound_port(int fd) -> std::uint16_t
{
    socket_address address;
    address.size = sizeof(address.storage);
    if (getsockname(fd, address.get(), &address.size) != 0) {
        return 0;
    }
    const auto& storage = address.storage;
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

auto open_listener(const endpoint& it) -> result<int>
{
    BOOST_OUTCOME_TRY(address, to_socket_address(it));
    int fd = socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 || bind(fd, address.get(), address.size) != 0 || listen(fd, SOMAXCONN) != 0) {
        error cause{error_code::unavailable, "listen", it.to_text(), std::strerror(errno)};
        close(fd);
        return cause;
    }
    return fd;
}

auto peer_address(st_h2o_socket_t* socket) -> std::string
{
    socket_address address;
    address.size = h2o_socket_getpeername(socket, address.get());
    std::array<char, NI_MAXHOST> text{};
    auto size = h2o_socket_getnumerichost(address.get(), address.size, text.data());
    if (address.size == 0 || size > text.size()) {
        return {};
    }
    auto port = h2o_socket_getport(address.get());
    return std::string{text.data(), size} + ":" + std::to_string(port);
}

auto close_socket(st_h2o_socket_t* socket) -> void
{
    h2o_socket_close(socket);
}

auto limit_receive_buffer(int fd, int bytes) -> void
{
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

auto disable_send_delay(int fd) -> void
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

auto set_unacknowledged_timeout(int fd, std::chrono::milliseconds timeout) -> void
{
    auto ms = static_cast<int>(timeout.count());
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

} // namespace cornelswitch
