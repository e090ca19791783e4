/// Clients on kept connections pause while they read an answer. Checks that each of them still gets
/// its whole answer within its deadline.

#include "harness.hh"

using namespace standin;

namespace {

constexpr int clients = 8;
/// More connections than this may not end without a whole answer.
constexpr int allowed_losses = 3;
constexpr int deadline_ms = 6'000;
/// Shorter than the deadline.
constexpr double pause_s = 5.7;
constexpr std::size_t answer_bytes = 30'000;
constexpr int receive_buffer = 4 * 1024;

auto configuration() -> std::string
{
    json route{{"Name", "pay"},         {"Host", "shop.example"},
               {"PathPrefix", "/pay/"}, {"RouteKind", "non_idempotent"},
               {"Timeout", "6000ms"},   {"TargetLatency", "1000ms"},
               {"Priority", 0},         {"Service", "ledger"},
               {"MaxAttempts", 2}};
    json service{{"Name", "ledger"}, {"HealthPath", "/health"},
                 {"MaxConns", 130},  {"Protocol", "h1"},
                 {"Tls", false},     {"Cold", "3s"},
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
    return "PUT /pay/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nContent-Length: 0\r\n\r\n";
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

/// Sends two requests on one connection and returns whether both got their whole answers.
auto run_client(int number, const std::string& ip, recorder& record) -> bool
{
    int fd = connect_with_small_buffer(ip);
    if (fd < 0) {
        return false;
    }
    message_reader in{fd};
    for (int n = 1; n <= 2; ++n) {
        auto id = "c" + std::to_string(number) + "-" + std::to_string(n);
        auto start = now();
        message answer;
        record.line("sent " + id);
        bool is_whole = write_all(fd, request(id)) && in.read_head(answer);
        if (n == 2 && has_trouble()) {
            sleep_s(pause_s);
        }
        is_whole = is_whole && in.read_body(answer);
        std::array<char, 200> line{};
        std::snprintf(line.data(), line.size(),
                      "%s: status %d, %zu bytes, %s, after %.2f s of %d ms", id.c_str(),
                      answer.status, answer.body.size(), is_whole ? "whole" : "NOT WHOLE",
                      now() - start, deadline_ms);
        record.line(line.data());
        if (!is_whole) {
            close(fd);
            return false;
        }
    }
    close(fd);
    return true;
}

auto run(const std::string& folder, const std::string& temporary) -> int
{
    recorder record{folder};
    auto net = find_network();
    metadata_store store{net + "200", 8384};
    std::vector<std::unique_ptr<backend>> servers;
    for (int n = 1; n <= 4; ++n) {
        servers.push_back(
            std::make_unique<backend>(backend_options{.id = "i-server" + std::to_string(n),
                                                      .service = "ledger",
                                                      .ip = net + std::to_string(100 + n),
                                                      .slots = 6,
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
        node_options{.name = "edge-1", .ip = net + "1", .store = net + "200:8384"}, temporary};
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
    std::atomic<int> losses{0};
    std::vector<std::thread> crowd;
    for (int n = 0; n < clients; ++n) {
        crowd.emplace_back([&, n] { losses += run_client(n, net + "1", record) ? 0 : 1; });
    }
    for (auto& it : crowd) {
        it.join();
    }
    bool is_broken = losses > allowed_losses;
    record.line(std::to_string(losses) + " of " + std::to_string(clients) +
                " connections ended without a whole answer");
    record.line(is_broken ? "LOST broken" : "LOST held");
    return finish(is_broken ? exit_broken : exit_held);
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
