#pragma once

// Blocking sockets on loopback addresses, and the HTTP/1.1 messages of clients, servers and the store.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The case could not run; `run.sh` exits with 2.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline auto sleep_until(steady::time_point at) -> void
{
    std::this_thread::sleep_until(at);
}

inline auto loopback(std::uint16_t port, const char* ip = "127.0.0.1") -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, ip, &out.sin_addr);
    return out;
}

/// A socket that is closed with this object. Shared by the threads that use it.
class tcp_socket {
public:
    explicit tcp_socket(int fd) : fd_{fd}
    {
        int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    tcp_socket(const tcp_socket&) = delete;
    auto operator=(const tcp_socket&) -> tcp_socket& = delete;
    ~tcp_socket() { ::close(fd_); }

    auto send(std::string_view bytes) const -> bool
    {
        while (!bytes.empty()) {
            auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    /// Appends what arrives within `wait`. Returns false at the end of the connection.
    auto receive(std::string& out, milliseconds wait, std::size_t most = 65536) const -> bool
    {
        pollfd it{fd_, POLLIN, 0};
        if (::poll(&it, 1, static_cast<int>(wait.count())) <= 0) {
            return true;
        }
        char buf[65536];
        auto n = ::recv(fd_, buf, std::min(most, sizeof(buf)), 0);
        if (n <= 0) {
            return n < 0 && errno == EINTR;
        }
        out.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    /// Whether the peer has closed or reset the connection.
    auto is_closed_by_peer() const -> bool
    {
        pollfd it{fd_, POLLIN | POLLRDHUP, 0};
        return ::poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    /// Sends a reset: a connection without an address is aborted.
    auto reset() const -> void
    {
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        ::connect(fd_, &none, sizeof(none));
    }
    auto end() const -> void { ::shutdown(fd_, SHUT_RDWR); }

private:
    int fd_;
};

/// `receive_buffer` bounds what the kernel takes for a client that reads slowly. Its segments are then as
/// small as on Ethernet: those of the loopback device would let the sender's kernel take megabytes.
inline auto connect_to(std::uint16_t port, int receive_buffer = 0) -> std::shared_ptr<tcp_socket>
{
    constexpr int ethernet_segment = 1460;
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto to = loopback(port);
    if (receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &ethernet_segment, sizeof(ethernet_segment));
    }
    if (fd < 0 || ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<tcp_socket>(fd);
}

/// Accepts connections on a free port and serves each in a thread of its own.
class tcp_server {
public:
    using handler = std::function<void(std::shared_ptr<tcp_socket>)>;

    explicit tcp_server(handler on_connection) : on_connection_{std::move(on_connection)}
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(0);
        socklen_t size = sizeof(address);
        if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(fd_, 512) != 0) {
            throw cannot_run{"a stand-in cannot listen"};
        }
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread{[this] {
            while (true) {
                int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    if (errno == EINTR) {
                        continue;
                    }
                    return;
                }
                std::thread{[this, it = std::make_shared<tcp_socket>(fd)] {
                    on_connection_(it);
                }}.detach();
            }
        }}.detach();
    }
    tcp_server(const tcp_server&) = delete;
    auto operator=(const tcp_server&) -> tcp_server& = delete;

    auto port() const -> std::uint16_t { return port_; }
    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(port_); }

private:
    handler on_connection_;
    int fd_{-1};
    std::uint16_t port_{0};
};

/// A port that nobody listens on, below the range from which the kernel takes ports of clients.
inline auto free_port() -> std::uint16_t
{
    static std::mt19937 random{std::random_device{}()};
    for (int n = 0; n < 1000; ++n) {
        auto port = static_cast<std::uint16_t>(20'000 + random() % 6000 * 2);
        bool is_free = true;
        // The gateway also uses the port after its first peer port.
        for (std::uint16_t it : {port, static_cast<std::uint16_t>(port + 1)}) {
            int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            auto address = loopback(it);
            is_free = is_free &&
                      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
            ::close(fd);
        }
        if (is_free) {
            return port;
        }
    }
    throw cannot_run{"no free port"};
}

struct http_message {
    /// Request line or status line.
    std::string start;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    auto header(const std::string& name) const -> std::string
    {
        auto it = headers.find(name);
        return it == headers.end() ? std::string{} : it->second;
    }
    auto target() const -> std::string
    {
        auto first = start.find(' ');
        return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
    }
    auto method() const -> std::string { return start.substr(0, start.find(' ')); }
    auto status() const -> int { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};

/// Takes a whole message with a content length from the front of `input`, if there is one.
inline auto take_message(std::string& input) -> std::optional<http_message>
{
    auto head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return std::nullopt;
    }
    http_message out;
    std::size_t at = input.find("\r\n");
    out.start = input.substr(0, at);
    while (at < head_end) {
        auto from = at + 2;
        at = input.find("\r\n", from);
        auto line = input.substr(from, at - from);
        auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        for (auto& c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers[name] = value;
    }
    auto length = out.header("content-length");
    std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (input.size() < head_end + 4 + size) {
        return std::nullopt;
    }
    out.body = input.substr(head_end + 4, size);
    input.erase(0, head_end + 4 + size);
    return out;
}

inline auto make_response(int status, const std::string& headers, const std::string& body)
    -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Waits for a whole message on a connection. None when the connection ends or time is up.
inline auto read_message(const tcp_socket& from, std::string& input, milliseconds wait)
    -> std::optional<http_message>
{
    auto until = steady::now() + wait;
    while (true) {
        if (auto out = take_message(input)) {
            return out;
        }
        auto left = std::chrono::duration_cast<milliseconds>(until - steady::now());
        if (left.count() <= 0 || !from.receive(input, left)) {
            return take_message(input);
        }
    }
}

} // namespace review
