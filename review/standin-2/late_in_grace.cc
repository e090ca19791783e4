/// A planned stop in calm: SIGTERM, and SIGKILL after the grace. Clients on kept connections send
/// bookings piece by piece, the last one over three seconds after the SIGTERM. Checks that none of
/// them is passed on to a server and then broken off.

#include "harness.hh"

using namespace standin;

namespace {

constexpr int clients = 4;
constexpr double grace_s = 6;
/// When the pieces of the bookings are sent, in seconds after the SIGTERM.
constexpr std::array<double, 4> pieces_at{2.5, 3.1, 3.25, 3.4};
constexpr std::size_t body_bytes = 9'000;
/// The servers end this work before the end of the grace.
constexpr double work_s = 2.3;
constexpr int deadline_ms = 10'000;

auto configuration() -> std::string
{
    json route{{"Name", "book"},         {"Host", "shop.example"},
               {"PathPrefix", "/book/"}, {"RouteKind", "non_idempotent"},
               {"Timeout", "10000ms"},   {"TargetLatency", "2500ms"},
               {"Priority", 1},          {"Service", "ledger"},
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

auto head(const std::string& id, std::size_t body) -> std::string
{
    return "POST /book/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n";
}

auto sleep_until(double at) -> void
{
    sleep_s(std::max(0.0, at - now()));
}

/// One connection with a booking before the stop and one after it.
class client {
public:
    client(int number, const std::string& ip, recorder& record)
        : name_{"c" + std::to_string(number)}, record_{record}, fd_{connect_to(ip, 8381)}, in_{fd_}
    {
        set_receive_timeout(fd_, 10);
    }

    auto book_early() -> bool
    {
        message answer;
        record_.line("sent " + name_ + "-early");
        bool is_served = fd_ >= 0 && write_all(fd_, head(name_ + "-early", 0)) &&
                         in_.read(answer) && answer.status == 200;
        record_.line("answered " + name_ + "-early " + std::to_string(answer.status));
        return is_served;
    }
    auto book_late(double stop) -> void
    {
        auto piece = body_bytes / (pieces_at.size() - 1);
        sleep_until(stop + pieces_at.front());
        bool is_sent = write_all(fd_, head(late_id(), body_bytes));
        for (std::size_t n = 1; n < pieces_at.size(); ++n) {
            sleep_until(stop + pieces_at[n]);
            is_sent = is_sent && write_all(fd_, std::string(piece, 'b'));
        }
        record_.line("sent the last byte of " + late_id() +
                     (is_sent ? "" : ": the connection is closed"));
        message answer;
        is_whole_ = in_.read(answer);
        status_ = answer.status;
        record_.line("answered " + late_id() + " " + std::to_string(status_) + " " + answer.body +
                     (is_whole_ ? "" : " NOT WHOLE"));
    }
    auto late_id() const -> std::string { return name_ + "-late"; }
    auto is_served() const -> bool { return is_whole_ && status_ == 200; }

private:
    std::string name_;
    recorder& record_;
    int fd_;
    message_reader in_;
    int status_{0};
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
                                                      .service = "ledger",
                                                      .ip = net + std::to_string(100 + n),
                                                      .slots = 6,
                                                      .work_s = work_s},
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
    std::vector<std::unique_ptr<client>> crowd;
    std::atomic<int> served_early{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n) {
        crowd.push_back(std::make_unique<client>(n, net + "1", record));
        threads.emplace_back(
            [&, it = crowd.back().get()] { served_early += it->book_early() ? 1 : 0; });
    }
    for (auto& it : threads) {
        it.join();
    }
    threads.clear();
    if (served_early < clients) {
        return finish(exit_not_run);
    }
    auto stop = now();
    if (has_trouble()) {
        record.line("SIGTERM");
        kill(gateway.pid(), SIGTERM);
    }
    for (auto& it : crowd) {
        threads.emplace_back([&it, stop] { it->book_late(stop); });
    }
    if (has_trouble()) {
        sleep_until(stop + grace_s);
        record.line(gateway.is_running() ? "SIGKILL" : "the process has ended");
        gateway.stop();
    }
    for (auto& it : threads) {
        it.join();
    }
    int broken_off = 0;
    for (const auto& it : crowd) {
        bool has_run = std::ranges::any_of(
            servers, [&](const auto& server) { return server->has_run(it->late_id()); });
        broken_off += has_run && !it->is_served() ? 1 : 0;
    }
    record.line(std::to_string(broken_off) + " of " + std::to_string(clients) +
                " late bookings ran and were broken off");
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
