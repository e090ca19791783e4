// Clients send further requests before the first one is answered, each with a head of legal size,
// while the servers are slow. The gateway keeps the heads of all of them outside of its account of
// memory, also of those that it has already refused, and exceeds the memory of its machine.

#include "case.h"

using namespace review;

namespace {

constexpr int memory_mb = 120;
constexpr int server_count = 20;
constexpr int slow_count = 8;
constexpr int slots = 40;
constexpr int client_count = 500;
constexpr int requests_behind = 31;
constexpr std::size_t pad = 15'700;
constexpr milliseconds usual_work{420};
constexpr milliseconds slow_work = 12 * usual_work;
/// Time over which the clients send the requests behind their first one.
constexpr milliseconds sending_time{2900};

auto peak_memory(pid_t pid) -> std::size_t
{
    std::ifstream in{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return run_case(argc, argv, [](record& lines, const std::filesystem::path& folder) {
        // Not destroyed: their threads wait for bytes until the process ends.
        auto& platform = *new store;
        std::atomic<bool> is_slow{false};
        std::atomic<int> runs{0};
        auto handle = [&](const backend& self, const http_message& request, const tcp_socket& to) {
            ++runs;
            bool takes_long = is_slow && std::stoi(self.id().substr(2)) < slow_count;
            std::this_thread::sleep_for(takes_long ? slow_work : usual_work);
            to.send(self.answer(request, 200, "ok"));
        };
        std::vector<backend*> servers;
        platform.put("keyed.op", "config",
                     configuration(7, route("read", "desk", "idempotent", "8s"), service("desk")));
        for (int n = 0; n < server_count; ++n) {
            servers.push_back(new backend{"i-" + std::to_string(n), "desk", handle});
        }
        auto beat = [&] {
            for (auto* it : servers) {
                platform.put("keyed.servers", it->id(), it->entry(slots));
            }
        };
        beat();
        gateway under_test{folder, platform.address(), memory_mb};
        std::thread{[&] {
            while (true) {
                std::this_thread::sleep_for(milliseconds{870});
                beat();
            }
        }}.detach();
        wait_until_served(under_test, "/read/probe");
        std::this_thread::sleep_for(milliseconds{1000});
        lines.line("the gateway is ready; peak memory " +
                   std::to_string(peak_memory(under_test.pid()) / 1'000'000) + " MB of " +
                   std::to_string(memory_mb));
        is_slow = trouble();
        std::vector<std::shared_ptr<tcp_socket>> clients;
        const std::string header = "X-Note: " + std::string(pad, 'n') + "\r\n";
        for (int n = 0; n < client_count; ++n) {
            auto it = connect_to(under_test.front());
            if (!it) {
                throw cannot_run{"the gateway takes no connection"};
            }
            it->send(client_request("GET", "/read/1", "c" + std::to_string(n) + "-0", 8000));
            clients.push_back(it);
        }
        lines.line(std::to_string(client_count) + " clients have sent one request each; servers need " +
                   std::to_string(usual_work.count()) + " ms for it" +
                   (is_slow ? ", but " + std::to_string(slow_count) + " of " +
                                  std::to_string(server_count) + " twelve times as long"
                            : ""));
        auto first = steady::now();
        for (int n = 0; n < client_count; ++n) {
            sleep_until(first + n * sending_time / client_count);
            std::string more;
            for (int k = 1; k <= requests_behind; ++k) {
                auto one = client_request("GET", "/read/2",
                                          "c" + std::to_string(n) + "-" + std::to_string(k), 8000);
                one.insert(one.size() - 2, header);
                more += one;
            }
            if (!clients[n]->send(more)) {
                lines.line("client " + std::to_string(n) + ": connection closed by the gateway");
            }
            if (n % 50 == 49) {
                lines.line(std::to_string(n + 1) + " clients have sent " +
                           std::to_string(requests_behind) +
                           " more requests with heads of 16 KB; peak memory " +
                           std::to_string(peak_memory(under_test.pid()) / 1'000'000) + " MB");
            }
        }
        std::this_thread::sleep_for(milliseconds{300});
        auto peak = peak_memory(under_test.pid());
        std::map<int, int> answers;
        int closed = 0;
        for (auto& it : clients) {
            std::string input;
            for (int k = 0; k <= requests_behind; ++k) {
                auto answer = read_message(*it, input, milliseconds{k == 0 ? 7000 : 3000});
                if (!answer) {
                    ++closed;
                    break;
                }
                ++answers[answer->status()];
            }
        }
        for (auto [status, count] : answers) {
            lines.line("answers with " + std::to_string(status) + ": " + std::to_string(count));
        }
        lines.line("connections that ended or gave no answer: " + std::to_string(closed) +
                   "; requests run by servers: " + std::to_string(runs));
        lines.line("peak memory " + std::to_string(peak / 1'000'000) + " MB, Limits.MemoryMb " +
                   std::to_string(memory_mb));
        return peak > std::size_t{memory_mb} * 1'000'000;
    });
}
