#include "deployment.h"

/// Case: a few clients send bodies of the size that the configuration allows, while others have
/// requests in progress on kept connections.
namespace {

using namespace review;

constexpr int small_clients = 8;
constexpr int uploads = 3;
/// Below the configuration's MaxBodyBytes of 67108864.
constexpr std::size_t large_body = 60'000'000;
constexpr std::size_t small_body = 1'200;
/// Limits.MemoryMb of the process; the platform ends a process that exceeds it.
constexpr double memory_limit_mb = 260;

auto configuration() -> std::string
{
    return R"({"Version":"r1","Routes":[{"Name":"reserve","Host":"h","PathPrefix":"/w/","RouteKind":"non_idempotent","Timeout":"8000ms","TargetLatency":"600ms","Priority":1,"Service":"desk","MaxAttempts":2}],"Services":[{"Name":"desk","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"Cold":"0ms","ColdPerS":1000.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";
}

auto resident_mb(pid_t pid) -> double
{
    std::ifstream in{"/proc/" + std::to_string(pid) + "/statm"};
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

auto post(const std::string& id, std::size_t size) -> std::string
{
    return "POST /w/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 9000\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
           std::string(size, 'b');
}

auto run(const std::string& record_path) -> int
{
    record_file record{record_path};
    temporary_folder folder;
    store platform{"127.0.0.1", record};
    platform.put("keyed.op", "config", configuration());
    ownership_audit audit{record};
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= 4; ++n) {
        servers.push_back(std::make_unique<server>(
            "127.0.0.1", server_options{"i-" + std::to_string(n), "desk", "z1", 8, false, milliseconds{400}, 0},
            platform, audit, record));
    }
    auto node = make_gateway(1, platform.at(), folder.path(), record);
    node->start(true);
    if (!wait_until([&] { return node->is_ready(); }, std::chrono::seconds{20})) {
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds{5});
    std::atomic<bool> is_over{false};
    std::atomic<bool> is_killed{false};
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int n = 0; n < small_clients; ++n) {
        threads.emplace_back([&, n] {
            int fd = open_connection(node->front());
            std::string rest;
            for (int k = 0; !is_over && fd >= 0; ++k) {
                auto id = "r" + std::to_string(n) + "-" + std::to_string(k);
                bool is_sent = send_all(fd, post(id, small_body));
                auto answer = is_sent ? read_message(fd, rest, milliseconds{9500}) : std::nullopt;
                if (!answer) {
                    // Counts only what a server had begun; the first request proves that the
                    // connection was kept.
                    bool was_run = std::ranges::any_of(servers, [&](auto& it) { return it->has_begun(id); });
                    record.line("client gets no answer to " + id + (was_run ? ", which a server had begun" : ""));
                    lost += was_run && k > 0;
                    break;
                }
                answered += answer->status() == 200;
            }
            if (fd >= 0) {
                close(fd);
            }
        });
    }
    std::thread platform_watch{[&] {
        double peak = 0;
        while (!is_over && node->is_running()) {
            double used = resident_mb(node->pid());
            peak = std::max(peak, used);
            if (used > memory_limit_mb) {
                record.line("platform: " + node->node() + " uses " + std::to_string(used) + " MB, limit " +
                            std::to_string(memory_limit_mb));
                node->kill();
                is_killed = true;
                break;
            }
            std::this_thread::sleep_for(milliseconds{5});
        }
        record.line("most memory: " + std::to_string(peak) + " MB");
    }};
    std::this_thread::sleep_for(std::chrono::seconds{3});
    auto size = has_trouble() ? large_body : small_body;
    for (int n = 0; n < uploads; ++n) {
        threads.emplace_back([&, n, size] {
            auto id = "u" + std::to_string(n);
            record.line("client sends " + id + " with a body of " + std::to_string(size) + " bytes");
            auto answer = call(node->front(), post(id, size), milliseconds{10'000});
            record.line("client gets " + std::to_string(answer ? answer->status() : 0) + " for " + id);
        });
    }
    wait_until([&] { return is_killed.load(); }, std::chrono::seconds{12});
    std::this_thread::sleep_for(milliseconds{500});
    is_over = true;
    for (auto& it : threads) {
        it.join();
    }
    platform_watch.join();
    record.line(std::to_string(answered) + " small requests answered with 200, " + std::to_string(lost) +
                " lost that a server had begun, process ended for its memory: " + (is_killed ? "yes" : "no"));
    node->kill();
    for (auto& it : servers) {
        it->stop();
    }
    return is_killed && lost > 3 ? 1 : 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return run(argc > 1 ? argv[1] : "record.txt");
}
