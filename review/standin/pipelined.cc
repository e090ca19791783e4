#include "deployment.hh"

/// Case: callers send two idempotent requests one behind the other; the second answer is broken off
/// by its server while a sound server is at work on the first.
namespace {

using namespace review;

constexpr int clients = 160;
constexpr int lookup_servers = 20;
constexpr int scan_servers = 3;
/// Of the faulty server's answers, one in this many is broken off (0.02).
constexpr int answers_per_cut = 50;
/// Time after the start of the load, and duration of the disruption.
constexpr milliseconds trouble_after{6000};
constexpr milliseconds trouble_time{5500};

auto configuration() -> std::string
{
    return R"({"Version":"r1","Routes":[{"Name":"lookup","Host":"h","PathPrefix":"/l/","RouteKind":"idempotent","Timeout":"3000ms","TargetLatency":"800ms","Priority":1,"Service":"index","MaxAttempts":2},{"Name":"scan","Host":"h","PathPrefix":"/s/","RouteKind":"idempotent","Timeout":"3000ms","TargetLatency":"800ms","Priority":2,"Service":"records","MaxAttempts":2}],"Services":[{"Name":"index","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"Cold":"0ms","ColdPerS":1000.0},{"Name":"records","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"Cold":"0ms","ColdPerS":1000.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";
}

auto get(const std::string& path, const std::string& id) -> std::string
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 4000\r\n\r\n";
}

auto run(const std::string& record_path) -> int
{
    record_file record{record_path};
    temporary_folder folder;
    store platform{"127.0.0.1"};
    platform.put("keyed.op", "config", configuration());
    ownership_audit audit{record};
    std::vector<std::unique_ptr<server>> servers;
    auto add = [&](const std::string& service, int slots, milliseconds work, std::size_t bytes) {
        servers.push_back(
            std::make_unique<server>("127.0.0.1",
                                     server_options{"i-" + std::to_string(servers.size() + 1),
                                                    service, "z1", slots, false, work, 0, bytes},
                                     platform, audit, record));
        return servers.back().get();
    };
    for (int n = 0; n < lookup_servers; ++n) {
        add("index", 8, milliseconds{800}, 1500);
    }
    std::atomic<int> given{0};
    std::atomic<int> cuts{0};
    std::atomic<bool> is_faulty{false};
    for (int n = 0; n < scan_servers; ++n) {
        auto* it = add("records", 2, milliseconds{30}, 90'000);
        if (n == 0 && has_trouble()) {
            it->is_cut_off = [&] {
                bool is_cut = is_faulty && ++given % answers_per_cut == 0;
                cuts += is_cut ? 1 : 0;
                return is_cut;
            };
        }
    }
    auto node = make_gateway(1, platform.at(), folder.path(), record);
    node->start(true);
    if (!wait_until([&] { return node->is_ready(); }, std::chrono::seconds{20})) {
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds{3});
    std::atomic<bool> is_over{false};
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back([&, n] {
            int fd = -1;
            std::string rest;
            for (int k = 0; !is_over; ++k) {
                if (fd < 0) {
                    fd = open_connection(node->front());
                    rest.clear();
                }
                auto name = std::to_string(n) + "-" + std::to_string(k);
                bool is_sent = send_all(fd, get("/l/x", "l" + name) + get("/s/x", "s" + name));
                auto first = is_sent ? read_message(fd, rest, milliseconds{4500}) : std::nullopt;
                auto second = first ? read_message(fd, rest, milliseconds{4500}) : std::nullopt;
                answered += first && first->status() == 200;
                if (!first) {
                    bool was_run = std::ranges::any_of(
                        servers, [&](auto& it) { return it->has_begun("l" + name); });
                    record.line("client " + std::to_string(n) +
                                ": the connection ends without an answer to l" + name +
                                (was_run ? ", at which a sound server is at work" : ""));
                    lost += was_run && !is_over;
                }
                if (!first || !second) {
                    close(fd);
                    fd = -1;
                }
            }
            if (fd >= 0) {
                close(fd);
            }
        });
    }
    std::this_thread::sleep_for(trouble_after);
    is_faulty = true;
    std::this_thread::sleep_for(trouble_time);
    is_faulty = false;
    std::this_thread::sleep_for(milliseconds{1500});
    int found = lost;
    is_over = true;
    for (auto& it : threads) {
        it.join();
    }
    bool is_alive = node->is_running();
    record.line(std::to_string(answered) + " lookups answered with 200, " + std::to_string(found) +
                " lost at a sound server; " + std::to_string(cuts) + " of " +
                std::to_string(given) + " answers of the faulty server broken off");
    node->kill();
    for (auto& it : servers) {
        it->stop();
    }
    if (!is_alive || answered == 0) {
        return 2;
    }
    return found > 3 ? 1 : 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return run(argc > 1 ? argv[1] : "record.txt");
}
