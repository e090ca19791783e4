// One server of eight fails part of the requests that it runs: it answers 503 without
// X-Not-Executed. The gateway turns a short answer of this kind into 502, but passes on one that is
// longer than what it keeps back: 32 KiB, or 4 KiB while large bodies fill its memory.

#include "case.hh"

using namespace review;

namespace {

constexpr int server_count = 8;
constexpr std::size_t upload_size = 60'000'000;

struct traffic {
    record& lines;
    std::uint16_t port;
    std::mutex mutex;
    /// By request id.
    std::map<std::string, int> runs;
    /// By the lot that is to be reserved.
    std::map<std::string, int> reservations;
    std::map<std::string, std::pair<int, std::size_t>> answers;

    /// Sends one reservation and returns the status of its answer, 0 for none.
    auto reserve(const std::string& id, const std::string& lot, int size) -> int
    {
        auto it = connect_to(port);
        std::string input;
        if (!it ||
            !it->send(client_request("POST", "/book/" + std::to_string(size), id, 2500, lot))) {
            return 0;
        }
        auto answer = read_message(*it, input, milliseconds{3500});
        if (!answer) {
            return 0;
        }
        std::lock_guard lock{mutex};
        answers[id] = {answer->status(), answer->body.size()};
        return answer->status();
    }

    /// Sends reservations of 4 clients at a time. After a promise that a request has not run, the client
    /// sends it once more, as a request of its own.
    auto run(const std::string& name, const std::vector<int>& sizes, int rounds) -> void
    {
        std::vector<std::thread> clients;
        for (int client = 0; client < 4; ++client) {
            clients.emplace_back([&, client] {
                for (int n = 0; n < rounds; ++n) {
                    auto id = name + std::to_string(client) + "-" + std::to_string(n);
                    auto size = sizes[static_cast<std::size_t>(n) % sizes.size()];
                    if (reserve(id, "lot " + id, size) == 503) {
                        reserve(id + "-again", "lot " + id, size);
                    }
                }
            });
        }
        for (auto& it : clients) {
            it.join();
        }
    }

    /// Whether a request has run and its answer promises that it has not.
    auto check() -> bool
    {
        std::lock_guard lock{mutex};
        std::map<std::string, int> sums;
        bool is_broken = false;
        for (const auto& [id, answer] : answers) {
            auto status = answer.first;
            bool is_promise = status == 429 || status == 503 || status == 408 || status == 421;
            if (is_promise && runs[id] > 0) {
                lines.line("BROKEN: " + id + " has run and its client got " +
                           std::to_string(status) + " with " + std::to_string(answer.second) +
                           " bytes");
                is_broken = true;
            }
            ++sums[std::string(1, id[0]) + ": answered " + std::to_string(status) +
                   (runs[id] > 0 ? ", has run" : ", has not run")];
        }
        for (const auto& [text, count] : sums) {
            lines.line(text + ": " + std::to_string(count));
        }
        auto twice = std::count_if(reservations.begin(), reservations.end(),
                                   [](const auto& it) { return it.second > 1; });
        lines.line("lots that were reserved twice, as their clients believed the answer: " +
                   std::to_string(twice));
        return is_broken;
    }
};

} // namespace

auto main(int argc, char** argv) -> int
{
    return run_case(argc, argv, [](record& lines, const std::filesystem::path& folder) {
        // Not destroyed: their threads wait for bytes until the process ends.
        auto& platform = *new store;
        auto& sent = *new traffic{lines, 0, {}, {}, {}, {}};
        std::atomic<int> count{0};
        std::atomic<bool> is_grey{false};
        auto handle = [&](const backend& self, const http_message& request, const tcp_socket& to) {
            auto id = request.header("x-request-id");
            if (!request.target().starts_with("/book/") || id == "upload") {
                to.send(self.answer(request, 200, "ok"));
                return;
            }
            {
                std::lock_guard lock{sent.mutex};
                ++sent.runs[id];
                ++sent.reservations[request.body];
            }
            std::this_thread::sleep_for(milliseconds{30});
            auto size = std::stoul(request.target().substr(request.target().rfind('/') + 1));
            bool fails = is_grey && self.id() == "i-0" && ++count % 2 == 0;
            lines.line(self.id() + " has run " + id + " and answers " + (fails ? "503" : "200") +
                       " with " + std::to_string(size) + " bytes, no X-Not-Executed");
            to.send(self.answer(request, fails ? 503 : 200, std::string(size, 'e')));
        };
        std::vector<backend*> servers;
        for (int n = 0; n < server_count; ++n) {
            servers.push_back(new backend{"i-" + std::to_string(n), "desk", handle});
        }
        auto beat = [&] {
            for (auto* it : servers) {
                platform.put("keyed.servers", it->id(), it->entry(2));
            }
        };
        platform.put("keyed.op", "config",
                     configuration(7,
                                   route("read", "desk", "idempotent", "10s") + "," +
                                       route("upload", "desk", "non_idempotent", "20s") + "," +
                                       route("book", "desk", "non_idempotent", "2500ms"),
                                   service("desk")));
        beat();
        gateway under_test{folder, platform.address()};
        std::thread{[&] {
            while (true) {
                std::this_thread::sleep_for(milliseconds{870});
                beat();
            }
        }}.detach();
        wait_until_served(under_test, "/read/probe");
        sent.port = under_test.front();
        is_grey = trouble();

        lines.line("a: answers of 34,000 to 60,000 bytes");
        sent.run("a", {34'000, 60'000}, 20);

        lines.line("b: answers of 2,000 bytes, which are turned into 502");
        sent.run("b", {2000}, 20);

        lines.line("c: answers of 5,000 to 30,000 bytes, while two clients send bodies of 60 MB");
        std::vector<std::shared_ptr<tcp_socket>> uploads;
        for (int n = 0; n < 2; ++n) {
            auto it = connect_to(under_test.front());
            auto head = "POST /upload/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: upload\r\n"
                        "X-Deadline-Ms: 20000\r\nContent-Length: " +
                        std::to_string(upload_size) + "\r\n\r\n";
            if (!it || !it->send(head + std::string(1'000'000, 'u'))) {
                throw cannot_run{"the gateway takes no upload"};
            }
            uploads.push_back(it);
        }
        std::this_thread::sleep_for(milliseconds{200});
        sent.run("c", {5000, 18'000, 30'000}, 21);
        for (auto& it : uploads) {
            std::string input;
            it->send(std::string(upload_size - 1'000'000, 'u'));
            auto answer = read_message(*it, input, milliseconds{15'000});
            lines.line("an upload gets " + (answer ? answer->start : std::string{"no answer"}));
        }
        return sent.check();
    });
}
