#pragma once

/// Stand-ins for the tests of the second review: the platform's metadata store, backend servers and
/// a launcher of gateway processes. Everything listens on loopback addresses.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using nlohmann::json;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// Seconds since the start of the test.
inline auto now() -> double
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline auto sleep_s(double seconds) -> void
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Writes `record.txt`.
class recorder {
public:
    explicit recorder(const std::string& folder) : out_{folder + "/record.txt"} {}
    auto line(const std::string& text) -> void
    {
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%9.3f ", now());
        std::lock_guard lock{mutex_};
        out_ << time.data() << text << '\n';
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct message {
    std::string method;
    std::string path;
    int status{0};
    std::map<std::string, std::string> headers;
    std::string body;
    /// The message ended as its framing says.
    bool is_complete{false};

    auto header(const std::string& name) const -> std::string
    {
        auto it = headers.find(name);
        return it == headers.end() ? std::string{} : it->second;
    }
};

inline auto lower(std::string text) -> std::string
{
    std::ranges::transform(text, text.begin(), [](unsigned char it) { return std::tolower(it); });
    return text;
}

inline auto write_all(int fd, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        auto n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// Reads messages with a content length, chunked bodies or none from a connection.
class message_reader {
public:
    explicit message_reader(int fd) : fd_{fd} {}

    auto read_head(message& out) -> bool
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        std::istringstream in{buffer_.substr(0, end)};
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(in, line);
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        std::istringstream first{line};
        std::string a;
        std::string b;
        first >> a >> b;
        if (a.starts_with("HTTP/")) {
            out.status = std::atoi(b.c_str());
        } else {
            out.method = a;
            out.path = b;
        }
        while (std::getline(in, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            out.headers[lower(line.substr(0, colon))] = value;
        }
        return true;
    }

    auto read(message& out) -> bool { return read_head(out) && read_body(out); }

    auto read_body(message& out) -> bool
    {
        if (lower(out.header("transfer-encoding")) == "chunked") {
            return read_chunks(out);
        }
        auto length = std::strtoull(out.header("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!fill()) {
                out.body = buffer_;
                return false;
            }
        }
        out.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        out.is_complete = true;
        return true;
    }

private:
    auto fill() -> bool
    {
        std::array<char, 16384> bytes{};
        auto n = recv(fd_, bytes.data(), bytes.size(), 0);
        if (n <= 0) {
            return false;
        }
        buffer_.append(bytes.data(), static_cast<std::size_t>(n));
        return true;
    }

    auto read_chunks(message& out) -> bool
    {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return false;
                }
            }
            auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            while (buffer_.size() < size + 2) {
                if (!fill()) {
                    return false;
                }
            }
            out.body.append(buffer_, 0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) {
                out.is_complete = true;
                return true;
            }
        }
    }

    int fd_;
    std::string buffer_;
};

inline auto make_address(const std::string& ip, int port) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

inline auto listen_on(const std::string& ip, int port) -> int
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = make_address(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline auto connect_to(const std::string& ip, int port) -> int
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = make_address(ip, port);
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline auto set_receive_timeout(int fd, double seconds) -> void
{
    timeval it{};
    it.tv_sec = static_cast<time_t>(seconds);
    it.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(it.tv_sec)) * 1e6);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof(it));
}

struct reply {
    int status{200};
    std::string headers;
    std::string body;
};

inline auto encode(const reply& it) -> std::string
{
    return "HTTP/1.1 " + std::to_string(it.status) + " Status\r\n" + it.headers +
           "content-length: " + std::to_string(it.body.size()) + "\r\n\r\n" + it.body;
}

/// HTTP/1.1 server with one thread for each connection.
class http_server {
public:
    using handler = std::function<reply(const message&)>;

    http_server(const std::string& ip, int port, handler respond) : respond_{std::move(respond)}
    {
        fd_ = listen_on(ip, port);
        if (fd_ >= 0) {
            std::thread([this] { accept_all(); }).detach();
        }
    }
    auto is_open() const -> bool { return fd_ >= 0; }

private:
    auto accept_all() -> void
    {
        while (true) {
            int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] {
                message_reader in{fd};
                while (true) {
                    message request;
                    if (!in.read(request) || !write_all(fd, encode(respond_(request)))) {
                        break;
                    }
                }
                close(fd);
            }).detach();
        }
    }

    handler respond_;
    int fd_{-1};
};

inline auto base64(std::string_view bytes) -> std::string
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U |
                    (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(k <= bytes.size() - n ? digits[group >> (18 - 6 * k) & 63U] : '=');
        }
    }
    return out;
}

inline auto big_endian(std::uint64_t value, int bytes) -> std::string
{
    std::string out;
    for (int n = bytes - 1; n >= 0; --n) {
        out.push_back(static_cast<char>(value >> (8 * n) & 0xffU));
    }
    return out;
}

inline auto duration_s(const std::string& text) -> double
{
    auto value = std::strtod(text.c_str(), nullptr);
    return text.ends_with("ms") ? value / 1000 : value;
}

/// The platform's metadata store: topics with one log each, newest records of keyed topics, and
/// groups.
class metadata_store {
public:
    metadata_store(const std::string& ip, int port)
        : server_{ip, port, [this](const message& it) { return respond(it); }}
    {
    }
    auto is_open() const -> bool { return server_.is_open(); }

    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void
    {
        std::lock_guard lock{mutex_};
        append(topic, static_cast<char>(key.size()) + key + value);
        changed_.notify_all();
    }

private:
    struct group {
        struct member {
            double until{0};
            std::uint64_t seen{0};
        };
        std::map<std::string, member> members;
        std::array<std::string, 8> owners;
        std::uint64_t generation{1};
    };

    static auto query(const std::string& path) -> std::map<std::string, std::string>
    {
        std::map<std::string, std::string> out;
        auto mark = path.find('?');
        std::istringstream in{mark == std::string::npos ? "" : path.substr(mark + 1)};
        std::string part;
        while (std::getline(in, part, '&')) {
            auto equals = part.find('=');
            out[part.substr(0, equals)] =
                equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return out;
    }

    auto append(const std::string& topic, const std::string& record) -> void
    {
        topics_[topic].push_back(record);
    }

    auto respond(const message& request) -> reply
    {
        auto call = request.path.substr(0, request.path.find('?'));
        auto fields = query(request.path);
        if (call == "/-/log-read") {
            return read(fields);
        }
        std::lock_guard lock{mutex_};
        if (call == "/-/log-append") {
            return append_records(fields, request.body);
        }
        if (call == "/-/log-newest") {
            return newest(fields);
        }
        if (call == "/-/log-join" || call == "/-/log-leave") {
            return join(json::parse(request.body, nullptr, false), call == "/-/log-join");
        }
        return {call == "/-/log-trim" ? 200 : 404, "", "{}"};
    }

    auto read(std::map<std::string, std::string>& fields) -> reply
    {
        std::unique_lock lock{mutex_};
        auto& log = topics_[fields["Topic"]];
        auto from = std::strtoull(fields["FromRev"].c_str(), nullptr, 10);
        auto wait = std::strtod(fields["WaitMs"].c_str(), nullptr) / 1000;
        changed_.wait_for(lock, std::chrono::duration<double>(wait),
                          [&] { return log.size() > from; });
        reply out;
        out.body = big_endian(log.size(), 8) + big_endian(0, 8);
        for (auto n = from; n < log.size(); ++n) {
            out.body += big_endian(log[n].size(), 4) + log[n];
        }
        return out;
    }

    auto append_records(std::map<std::string, std::string>& fields, std::string_view body) -> reply
    {
        auto& log = topics_[fields["Topic"]];
        auto condition = fields.find("AsOf");
        if (condition != fields.end() &&
            std::strtoull(condition->second.c_str(), nullptr, 10) != log.size()) {
            return {412, "", json{{"EndOffset", log.size()}}.dump()};
        }
        auto first = log.size();
        while (body.size() >= 4) {
            std::size_t size = 0;
            for (int n = 0; n < 4; ++n) {
                size = size << 8U | static_cast<unsigned char>(body[static_cast<std::size_t>(n)]);
            }
            log.emplace_back(body.substr(4, size));
            body.remove_prefix(std::min(body.size(), 4 + size));
        }
        changed_.notify_all();
        return {200, "", json{{"Offset", first}, {"EndOffset", log.size()}}.dump()};
    }

    auto newest(std::map<std::string, std::string>& fields) -> reply
    {
        const auto& log = topics_[fields["Topic"]];
        std::map<std::string, std::pair<std::string, std::size_t>> records;
        for (std::size_t n = 0; n < log.size(); ++n) {
            auto size = static_cast<unsigned char>(log[n][0]);
            auto key = log[n].substr(1, size);
            auto value = log[n].substr(1U + size);
            if (value.empty()) {
                records.erase(key);
            } else {
                records[key] = {value, n};
            }
        }
        json items = json::array();
        for (const auto& [key, it] : records) {
            items.push_back({{"Key", key}, {"Value", base64(it.first)}, {"Offset", it.second}});
        }
        return {200, "",
                json{{"items", items}, {"HasMore", false}, {"EndOffset", log.size()}}.dump()};
    }

    auto join(const json& body, bool is_join) -> reply
    {
        auto& it = groups_[body.value("group", "")];
        auto name = body.value("Member", "");
        auto before = it.members.size();
        bool is_new = is_join && !it.members.contains(name);
        std::erase_if(it.members, [&](const auto& other) { return other.second.until < now(); });
        if (is_join) {
            it.members[name] = {now() + duration_s(body.value("Ttl_time", "3s")),
                                body.value("Generation", std::uint64_t{0})};
        } else {
            it.members.erase(name);
        }
        it.generation += is_new || it.members.size() != before ? 1 : 0;
        std::vector<std::string> names;
        for (const auto& [other, state] : it.members) {
            names.push_back(other);
        }
        json parts = json::array();
        for (std::size_t n = 0; n < it.owners.size(); ++n) {
            auto wanted = names.empty() ? std::string{} : names[n % names.size()];
            auto holder = it.members.find(it.owners[n]);
            bool is_released = holder == it.members.end() || holder->second.seen >= it.generation;
            if (it.owners[n] != wanted && is_released) {
                it.owners[n] = wanted;
            }
            // A member that is to give up a partition does not see it any more.
            if (it.owners[n] == name && wanted == name) {
                parts.push_back({"cornelswitch-duties", n, 0});
            }
        }
        return {200, "", json{{"Generation", it.generation}, {"parts", parts}}.dump()};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::string>> topics_;
    std::map<std::string, group> groups_;
    http_server server_;
};

struct backend_options {
    std::string id;
    std::string service;
    std::string ip;
    std::string zone{"zone-a"};
    int port{8080};
    int slots{2};
    int queue{8};
    double work_s{0.05};
    bool is_sharded{false};
    /// Size of the body of an answer; 0 for a short one.
    std::size_t answer_bytes{0};
    /// Every n-th request that runs fails with this status; 0 for none.
    int failing_request{0};
    int failure_status{500};
};

constexpr std::size_t key_count = 65536;

/// Backend server that holds keys as the platform's protocol says.
class backend {
public:
    backend(backend_options options, metadata_store& store, recorder& record)
        : options_{std::move(options)}, store_{store}, record_{record}, born_{unix_ms()},
          server_{options_.ip, options_.port, [this](const message& it) { return respond(it); }}
    {
    }
    auto is_open() const -> bool { return server_.is_open(); }
    auto id() const -> const std::string& { return options_.id; }
    auto address() const -> std::string
    {
        return options_.ip + ":" + std::to_string(options_.port);
    }

    /// Writes the entry of the server into the store, as each beat does.
    auto beat() -> void
    {
        store_.put("keyed.servers", options_.id,
                   json{{"Addr", address()},
                        {"Info",
                         {{"Service", options_.service},
                          {"Version", "v1"},
                          {"Zone", options_.zone},
                          {"Slots", options_.slots}}},
                        {"Status", {{"State", "ready"}, {"Seq", ++sequence_}, {"ColdLeft", "0ms"}}},
                        {"born", born_}}
                       .dump());
    }

    /// The time until which the server holds each key.
    auto holds() const -> std::vector<double>
    {
        std::lock_guard lock{mutex_};
        return {held_until_.begin(), held_until_.end()};
    }

    auto has_run(const std::string& id) const -> bool
    {
        std::lock_guard lock{mutex_};
        return run_ids_.contains(id);
    }

private:
    auto respond(const message& request) -> reply
    {
        auto expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != options_.id) {
            return {421, "X-Instance-Id: " + options_.id + "\r\nX-Not-Executed: 1\r\n", ""};
        }
        if (request.path == "/-/grant") {
            return grant(json::parse(request.body, nullptr, false));
        }
        if (request.path == "/-/release") {
            return release(json::parse(request.body, nullptr, false));
        }
        if (request.path == "/health") {
            return {200, "X-Instance-Id: " + options_.id + "\r\n", ""};
        }
        return run(request);
    }

    auto grant(const json& body) -> reply
    {
        auto first = body.value("FromRev", std::size_t{0});
        auto last = body.value("To", std::size_t{0});
        auto fence = body.value("fence", std::uint64_t{0});
        auto until = now() + duration_s(body.value("Hold", "0ms"));
        std::lock_guard lock{mutex_};
        for (auto key = first; key <= last; ++key) {
            if (fence_[key] > fence) {
                return {409, "", ""};
            }
        }
        bool is_new = held_until_[first] < now();
        std::fill(fence_.begin() + first, fence_.begin() + last + 1, fence);
        std::fill(held_until_.begin() + first, held_until_.begin() + last + 1, until);
        if (is_new) {
            record_.line(options_.id + " takes keys " + std::to_string(first) + ".." +
                         std::to_string(last) + " fence " + std::to_string(fence));
        }
        return {};
    }

    auto release(const json& body) -> reply
    {
        auto first = body.value("FromRev", std::size_t{0});
        auto last = body.value("To", std::size_t{0});
        auto fence = body.value("fence", std::uint64_t{0});
        std::unique_lock lock{mutex_};
        for (auto key = first; key <= last; ++key) {
            fence_[key] = std::max(fence_[key], fence);
            held_until_[key] = 0;
        }
        ended_.wait(lock, [&] {
            return std::ranges::none_of(
                running_keys_, [&](std::size_t key) { return key >= first && key <= last; });
        });
        record_.line(options_.id + " released keys " + std::to_string(first) + ".." +
                     std::to_string(last));
        return {200, "X-Handover: 5c0e7a21d94b36f8\r\n", ""};
    }

    auto run(const message& request) -> reply
    {
        auto id = request.header("x-request-id");
        auto echo = "X-Request-Id: " + id + "\r\n";
        auto key = static_cast<std::size_t>(std::atoi(request.header("x-shard-key").c_str()));
        {
            std::unique_lock lock{mutex_};
            if (options_.is_sharded && held_until_[key] <= now()) {
                return {421, echo + "X-Instance-Id: " + options_.id + "\r\nX-Not-Executed: 1\r\n",
                        ""};
            }
            if (running_ >= options_.slots + options_.queue) {
                return {503, echo + "X-Not-Executed: 1\r\n", ""};
            }
            ++running_;
            slot_free_.wait(lock, [&] { return working_ < options_.slots; });
            ++working_;
            running_keys_.insert(key);
            run_ids_.insert(id);
        }
        record_.line(options_.id + " runs " + id + " key " + std::to_string(key));
        sleep_s(options_.work_s);
        std::lock_guard lock{mutex_};
        --running_;
        --working_;
        running_keys_.erase(running_keys_.find(key));
        slot_free_.notify_one();
        ended_.notify_all();
        bool is_failure =
            options_.failing_request > 0 && ++requests_run_ % options_.failing_request == 0;
        auto body = (is_failure ? "failed " : "ok ") + id;
        body.append(std::max(body.size(), options_.answer_bytes) - body.size(), '.');
        return {is_failure ? options_.failure_status : 200,
                echo + "X-Response-Seal: " + options_.id + "." + id + "\r\n", body};
    }

    backend_options options_;
    metadata_store& store_;
    recorder& record_;
    std::int64_t born_;
    std::uint64_t sequence_{0};
    mutable std::mutex mutex_;
    std::condition_variable slot_free_;
    std::condition_variable ended_;
    std::vector<std::uint64_t> fence_ = std::vector<std::uint64_t>(key_count);
    std::vector<double> held_until_ = std::vector<double>(key_count);
    std::multiset<std::size_t> running_keys_;
    std::set<std::string> run_ids_;
    int running_{0};
    int working_{0};
    int requests_run_{0};
    http_server server_;
};

struct node_options {
    std::string name;
    std::string ip;
    std::string zone{"zone-a"};
    std::string store;
    int memory_mb{260};
    std::string grace{"6s"};
};

/// One gateway process, started as the deploy file says.
class gateway_process {
public:
    gateway_process(const node_options& options, const std::string& folder)
    {
        auto path = folder + "/" + options.name + ".conf";
        std::ofstream out{path};
        auto line = [&](const std::string& name, const std::string& value) {
            out << name << '=' << value << '\n';
        };
        line("Node", options.name);
        line("Role", "gateway");
        line("MachineClass", "edge");
        line("Serves", "edge");
        line("Ip", options.ip);
        line("Zone", options.zone);
        line("Region", "region-a");
        line("Zones." + options.zone, "region-a");
        line("Listen.Front", options.ip + ":8381");
        line("Listen.Ready", options.ip + ":8388");
        line("PortRange", "7200,7215");
        line("Bootstrap", "true");
        line("Limits.CpuShare", "0.5");
        line("Limits.Cores", "1");
        line("Limits.MemoryMb", std::to_string(options.memory_mb));
        line("Limits.MaxFds", "4100");
        line("BeatInterval", "870ms");
        line("Contracts", "base,drain,config,cost,retry,recover,own,places,platform");
        line("Bounds.Drain", "2000ms");
        line("Bounds.Grace", options.grace);
        line("Bounds.RetryBudgetRatio", "0.2");
        line("Bounds.BudgetWindow", "10s");
        line("Bounds.RetryBudgetBurst", "62");
        line("Bounds.ColdTolerance", "1.5");
        line("Bounds.ColdBurst", "5");
        line("Bounds.MaxHold", "10000ms");
        line("Platform.Addr", options.store);
        line("Platform.form", "log");
        line("Platform.parts", "8");
        line("Platform.MinTtl", "1000ms");
        out.close();
        auto log = folder + "/" + options.name + ".log";
        pid_ = fork();
        if (pid_ == 0) {
            // Ends together with the test, also when the test is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            setenv("CORNELSWITCH_BOOT", path.c_str(), 1);
            execl("target/cornelswitch-gateway", "target/cornelswitch-gateway", nullptr);
            _exit(127);
        }
    }
    ~gateway_process() { stop(); }
    gateway_process(const gateway_process&) = delete;
    auto operator=(const gateway_process&) -> gateway_process& = delete;

    auto pid() const -> pid_t { return pid_; }
    auto is_running() -> bool
    {
        if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = 0;
        }
        return pid_ > 0;
    }
    auto stop() -> void
    {
        if (is_running()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

private:
    pid_t pid_{0};
    int status_{0};
};

/// Sends one request on a new connection and returns the answer.
inline auto call(const std::string& ip, int port, const std::string& request, double timeout)
    -> message
{
    message out;
    int fd = connect_to(ip, port);
    if (fd < 0) {
        return out;
    }
    set_receive_timeout(fd, timeout);
    message_reader in{fd};
    if (write_all(fd, request)) {
        in.read(out);
    }
    close(fd);
    return out;
}

inline auto is_ready(const std::string& ip) -> bool
{
    return call(ip, 8388, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1).status == 200;
}

/// A network 127.77.N.0/24 on which the gateway's port is free.
inline auto find_network() -> std::string
{
    for (int n = 1; n < 250; ++n) {
        auto base = "127.77." + std::to_string((getpid() + n) % 250 + 1) + ".";
        int fd = listen_on(base + "1", 8381);
        if (fd >= 0) {
            close(fd);
            return base;
        }
    }
    return {};
}

inline auto make_temporary_folder() -> std::string
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(path.data()) != nullptr ? path : std::string{};
}

inline auto has_trouble() -> bool
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

} // namespace standin
