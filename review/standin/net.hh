#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Blocking sockets and HTTP/1.1 for the stand-ins of the review. One thread serves one connection.
namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Lines of what was sent, answered and run, with the time since the start of the program.
class record_file {
public:
    explicit record_file(const std::string& path) : out_{std::fopen(path.c_str(), "w")} {}
    record_file(const record_file&) = delete;
    auto operator=(const record_file&) -> record_file& = delete;
    ~record_file()
    {
        if (out_ != nullptr) {
            std::fclose(out_);
        }
    }

    auto line(const std::string& text) -> void
    {
        std::lock_guard lock{mutex_};
        if (out_ != nullptr) {
            std::fprintf(out_, "%9.3f %s\n", seconds(), text.c_str());
            std::fflush(out_);
        }
    }
    /// Seconds since the start of the program.
    auto seconds() const -> double
    {
        return std::chrono::duration<double>(clock_type::now() - start_).count();
    }

private:
    std::mutex mutex_;
    std::FILE* out_;
    clock_type::time_point start_{clock_type::now()};
};

struct address {
    std::string ip;
    std::uint16_t port{0};

    auto text() const -> std::string { return ip + ":" + std::to_string(port); }
};

inline auto to_native(const address& from) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(from.port);
    inet_pton(AF_INET, from.ip.c_str(), &out.sin_addr);
    return out;
}

/// Opens a listener; port 0 chooses a free port, which is stored in `at`. Returns -1 on failure.
inline auto open_listener(address& at) -> int
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto native = to_native(at);
    if (bind(fd, reinterpret_cast<sockaddr*>(&native), sizeof(native)) != 0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof(native);
    getsockname(fd, reinterpret_cast<sockaddr*>(&native), &size);
    at.port = ntohs(native.sin_port);
    return fd;
}

inline auto open_connection(const address& to) -> int
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto native = to_native(to);
    if (connect(fd, reinterpret_cast<sockaddr*>(&native), sizeof(native)) != 0) {
        close(fd);
        return -1;
    }
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline auto send_all(int fd, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// An HTTP/1.1 message with a body that has a length.
struct message {
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;

    auto header(const std::string& name) const -> std::string
    {
        auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
    auto method() const -> std::string { return start_line.substr(0, start_line.find(' ')); }
    auto target() const -> std::string
    {
        auto first = start_line.find(' ') + 1;
        return start_line.substr(first, start_line.find(' ', first) - first);
    }
    auto status() const -> int { return std::atoi(start_line.c_str() + start_line.find(' ') + 1); }
};

/// Reads one message from `fd`; `rest` keeps bytes that follow it. Returns nothing when the
/// connection ends or `timeout` passes first.
inline auto read_message(int fd, std::string& rest, milliseconds timeout) -> std::optional<message>
{
    auto end = clock_type::now() + timeout;
    std::size_t head_end = 0;
    std::size_t length = 0;
    message out;
    bool has_head = false;
    while (true) {
        if (!has_head && (head_end = rest.find("\r\n\r\n")) != std::string::npos) {
            has_head = true;
            std::size_t at = rest.find("\r\n");
            out.start_line = rest.substr(0, at);
            while (at < head_end) {
                auto next = rest.find("\r\n", at + 2);
                auto line = rest.substr(at + 2, next - at - 2);
                auto colon = line.find(':');
                if (colon != std::string::npos) {
                    auto name = line.substr(0, colon);
                    for (auto& it : name) {
                        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
                    }
                    auto value = line.find_first_not_of(' ', colon + 1);
                    out.headers[name] = value == std::string::npos ? "" : line.substr(value);
                }
                at = next;
            }
            length = static_cast<std::size_t>(std::atoll(out.header("content-length").c_str()));
        }
        if (has_head && rest.size() >= head_end + 4 + length) {
            out.body = rest.substr(head_end + 4, length);
            rest.erase(0, head_end + 4 + length);
            return out;
        }
        auto left = std::chrono::duration_cast<milliseconds>(end - clock_type::now()).count();
        pollfd waiting{fd, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return std::nullopt;
        }
        char buf[65536];
        auto n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0) {
            return std::nullopt;
        }
        rest.append(buf, static_cast<std::size_t>(n));
    }
}

inline auto make_response(int status, const std::string& headers, const std::string& body)
    -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and calls a handler for each request. The handler gets the request and the
/// connection's file descriptor and number, sends the answer itself, and returns whether the
/// connection stays open.
class http_service {
public:
    using handler = std::function<bool(const message&, int fd, std::uint64_t connection)>;

    http_service(address at, handler on_request)
        : address_{std::move(at)}, handler_{std::move(on_request)}, listener_{
                                                                        open_listener(address_)}
    {
        if (listener_ >= 0) {
            acceptor_ = std::thread{[this] { accept_connections(); }};
        }
    }
    http_service(const http_service&) = delete;
    auto operator=(const http_service&) -> http_service& = delete;
    ~http_service() { stop(); }

    /// Closes the listener and resets all connections, as the end of a process does.
    auto stop() -> void
    {
        if (is_stopped_.exchange(true) || listener_ < 0) {
            return;
        }
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        close(listener_);
        {
            std::lock_guard lock{mutex_};
            for (int fd : open_) {
                linger immediate{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
                shutdown(fd, SHUT_RDWR);
            }
        }
        for (auto& it : workers_) {
            it.join();
        }
    }

    auto is_open() const -> bool { return listener_ >= 0; }
    auto is_stopped() const -> bool { return is_stopped_; }
    auto at() const -> const address& { return address_; }

private:
    auto accept_connections() -> void
    {
        while (!is_stopped_) {
            int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (is_stopped_) {
                    return;
                }
                std::this_thread::sleep_for(milliseconds{5});
                continue;
            }
            int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::lock_guard lock{mutex_};
            open_.insert(fd);
            auto number = ++connections_;
            workers_.emplace_back([this, fd, number] { serve(fd, number); });
        }
    }

    auto serve(int fd, std::uint64_t number) -> void
    {
        std::string rest;
        while (!is_stopped_) {
            auto request = read_message(fd, rest, milliseconds{600'000});
            if (!request || is_stopped_ || !handler_(*request, fd, number)) {
                break;
            }
        }
        std::lock_guard lock{mutex_};
        open_.erase(fd);
        close(fd);
    }

    address address_;
    handler handler_;
    int listener_;
    std::atomic<bool> is_stopped_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> workers_;
    std::uint64_t connections_{0};
};

/// Sends one request on a new connection and returns the answer, or nothing.
inline auto call(const address& to, const std::string& bytes, milliseconds timeout)
    -> std::optional<message>
{
    int fd = open_connection(to);
    if (fd < 0) {
        return std::nullopt;
    }
    std::string rest;
    auto out = send_all(fd, bytes) ? read_message(fd, rest, timeout) : std::nullopt;
    close(fd);
    return out;
}

/// Value of a query parameter or of a JSON member with a plain string or number; empty if missing.
inline auto query_value(const std::string& target, const std::string& name) -> std::string
{
    for (auto prefix : {"?", "&"}) {
        auto at = target.find(prefix + name + "=");
        if (at != std::string::npos) {
            at += name.size() + 2;
            return target.substr(at, target.find('&', at) - at);
        }
    }
    return {};
}

inline auto json_value(const std::string& text, const std::string& name) -> std::string
{
    auto at = text.find("\"" + name + "\":");
    if (at == std::string::npos) {
        return {};
    }
    at += name.size() + 3;
    if (text[at] == '"') {
        return text.substr(at + 1, text.find('"', at + 1) - at - 1);
    }
    return text.substr(at, text.find_first_of(",}]", at) - at);
}

/// Milliseconds of a time such as `4000ms` or `2.5s`.
inline auto parse_time(const std::string& text) -> double
{
    double value = std::atof(text.c_str());
    return text.ends_with("ms") ? value : value * 1000;
}

} // namespace review
