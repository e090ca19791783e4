/// A planned stop in calm. Clients slowly read the answer to a lookup that they sent before the
/// SIGTERM, and send a further lookup on the connection before they have read it. Checks that each
/// answer arrives whole.

#include "harness.hh"

using namespace standin;

namespace {

constexpr int clients = 4;
constexpr double grace_s = 10;
/// When the further requests are sent, and when the clients read on, in seconds after the SIGTERM.
constexpr double further_at = 2.95;
constexpr double rest_at = 3.05;
constexpr std::size_t answer_bytes = 9'000;
/// The kernel raises this to the smallest buffer that it allows.
constexpr int receive_buffer = 512;
constexpr double work_s = 0.1;
constexpr int deadline_ms = 4'000;

auto configuration() -> std::string
{
    json route{{"Name", "lookup"},
               {"Host", "shop.example"},
               {"PathPrefix", "/lookup/"},
               {"RouteKind", "idempotent"},
               {"Timeout", "4000ms"},
               {"TargetLatency", "1000ms"},
               {"Priority", 1},
               {"Service", "catalog"},
               {"MaxAttempts", 2}};
    json service{{"Name", "catalog"}, {"HealthPath", "/health"},
                 {"MaxConns", 130},   {"Protocol", "h1"},
                 {"Tls", false},      {"Cold", "3s"},
                 {"ColdPerS", 4.0}};
    return json{{"Version", "r7"},
                {"Routes", {route}},
                {"Services", {service}},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 67108864},
                  {"HeaderTimeout", "3000ms"},
                  {"IdleTimeout", "15000ms"}}}}
        .dump();
}

auto request(const std::string& id) -> std::string
{
    return "GET /lookup/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n";
}

auto connect_with_small_buffer(const std::string& ip) -> int
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int bytes = receive_buffer;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    auto address = make_address(ip, 8381);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    set_receive_timeout(fd, 10);
    return fd;
}

auto sleep_until(double at) -> void
{
    sleep_s(std::max(0.0, at - now()));
}

/// One connection whose first answer is read slowly.
class client {
public:
    client(int number, const std::string& ip, recorder& record)
        : name_{"c" + std::to_string(number)}, record_{record}, fd_{connect_with_small_buffer(ip)},
          in_{fd_}
    {
    }

    /// Sends the first request and reads the head of its answer.
    auto begin() -> bool
    {
        record_.line("sent " + name_ + "-first");
        begun_at_ = now();
        return fd_ >= 0 && write_all(fd_, request(name_ + "-first")) && in_.read_head(answer_) &&
               answer_.status == 200;
    }
    auto end(double stop) -> void
    {
        sleep_until(stop + further_at);
        bool is_sent = write_all(fd_, request(name_ + "-further"));
        record_.line("sent " + name_ + "-further" + (is_sent ? "" : ": the connection is closed"));
        sleep_until(stop + rest_at);
        is_whole_ = in_.read_body(answer_) && answer_.body.size() == answer_bytes;
        record_.line("answered " + name_ + "-first 200, " + std::to_string(answer_.body.size()) +
                     " bytes" + (is_whole_ ? "" : ", NOT WHOLE") + ", after " +
                     std::to_string(now() - begun_at_) + " s of " + std::to_string(deadline_ms) +
                     " ms");
    }
    auto is_whole() const -> bool { return is_whole_; }

private:
    std::string name_;
    recorder& record_;
    int fd_;
    message_reader in_;
    message answer_;
    double begun_at_{0};
    bool is_whole_{false};
};

auto run(const std::string& folder, const std::string& temporary) -> int
{
    recorder record{folder};
    auto net = find_network();
    metadata_store store{net + "200", 8384};
    std::vector<std::unique_ptr<backend>> servers;
    for (int n = 1; n <= 4; ++n) {
        servers.push_back(
            std::make_unique<backend>(backend_options{.id = "i-server" + std::to_string(n),
                                                      .service = "catalog",
                                                      .ip = net + std::to_string(100 + n),
                                                      .slots = 6,
                                                      .work_s = work_s,
                                                      .answer_bytes = answer_bytes},
                                      store, record));
        if (!servers.back()->is_open()) {
            std::_Exit(exit_not_run);
        }
    }
    if (!store.is_open()) {
        std::_Exit(exit_not_run);
    }
    store.put("keyed.op", "config", configuration());
    std::atomic<bool> is_over{false};
    std::thread beats{[&] {
        while (!is_over) {
            for (auto& it : servers) {
                it->beat();
            }
            sleep_s(0.87);
        }
    }};
    gateway_process gateway{
        node_options{.name = "edge-1", .ip = net + "1", .store = net + "200:8384", .grace = "10s"},
        temporary};
    bool is_up = false;
    for (int n = 0; n < 400 && !is_up; ++n) {
        sleep_s(0.05);
        is_up = is_ready(net + "1");
    }
    auto finish = [&](int code) {
        is_over = true;
        beats.join();
        gateway.stop();
        std::filesystem::remove_all(temporary);
        // Threads of the stand-ins still run, so nothing is destroyed.
        std::_Exit(code);
        return code;
    };
    if (!is_up) {
        return finish(exit_not_run);
    }
    sleep_s(2);
    std::vector<std::unique_ptr<client>> crowd;
    std::vector<std::thread> threads;
    std::atomic<int> begun{0};
    for (int n = 0; n < clients; ++n) {
        crowd.push_back(std::make_unique<client>(n, net + "1", record));
        threads.emplace_back([&begun, it = crowd.back().get()] { begun += it->begin() ? 1 : 0; });
    }
    for (auto& it : threads) {
        it.join();
    }
    threads.clear();
    if (begun < clients) {
        return finish(exit_not_run);
    }
    sleep_s(0.3);
    auto stop = now();
    if (has_trouble()) {
        record.line("SIGTERM");
        kill(gateway.pid(), SIGTERM);
    }
    for (auto& it : crowd) {
        threads.emplace_back([&it, stop] { it->end(stop); });
    }
    if (has_trouble()) {
        sleep_until(stop + grace_s);
        record.line(gateway.is_running() ? "SIGKILL" : "the process has ended");
        gateway.stop();
    }
    for (auto& it : threads) {
        it.join();
    }
    auto broken_off = std::ranges::count_if(crowd, [](const auto& it) { return !it->is_whole(); });
    record.line(std::to_string(broken_off) + " of " + std::to_string(clients) +
                " first answers ended early");
    record.line(broken_off > 0 ? "LOST broken" : "LOST held");
    return finish(broken_off > 0 ? exit_broken : exit_held);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto temporary = make_temporary_folder();
    if (argc < 2 || temporary.empty()) {
        std::_Exit(exit_not_run);
    }
    return run(argv[1], temporary);
}
