// Requests that arrive more than 3 s after SIGTERM, on connections on which a download was still under
// way, are passed on to their servers and then cut off at the end of the grace time.

#include "case.hh"

using namespace review;

namespace {

constexpr int client_count = 4;
constexpr std::size_t part = 64 * 1024;
constexpr milliseconds download_time{3600};
constexpr milliseconds work_time{2500};
constexpr std::chrono::duration<double> excused_time{3.0};

/// What the servers see of the bookings.
struct observer {
    record& lines;
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, bool> at_work;

    auto begin(const std::string& id) -> void
    {
        std::lock_guard lock{mutex};
        ++runs[id];
        at_work[id] = true;
    }
    auto end(const std::string& id) -> void
    {
        std::lock_guard lock{mutex};
        at_work[id] = false;
    }
    auto is_at_work(const std::string& id) -> bool
    {
        std::lock_guard lock{mutex};
        return at_work[id];
    }
};

auto serve(observer& seen, const backend& self, const http_message& request, const tcp_socket& to)
    -> void
{
    auto id = request.header("x-request-id");
    if (id.starts_with("probe")) {
        to.send(self.answer(request, 200, "ok"));
        return;
    }
    seen.lines.line(self.id() + " runs " + id + " " + request.start);
    if (request.method() == "GET") {
        auto whole = self.answer(request, 200, std::string(2 * part, 'd'));
        to.send(std::string_view{whole}.substr(0, part));
        std::this_thread::sleep_for(download_time);
        to.send(std::string_view{whole}.substr(part));
        return;
    }
    seen.begin(id);
    auto until = steady::now() + work_time;
    bool was_cut = false;
    while (steady::now() < until) {
        std::this_thread::sleep_for(milliseconds{10});
        if (!was_cut && to.is_closed_by_peer()) {
            was_cut = true;
            seen.lines.line(self.id() + " is at work on " + id +
                            " when the gateway ends its connection");
        }
    }
    seen.end(id);
    to.send(self.answer(request, 200, "booked"));
    seen.lines.line(self.id() + " ends " + id + (was_cut ? ", nobody waits for it" : ""));
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return run_case(argc, argv, [](record& lines, const std::filesystem::path& folder) {
        // Not destroyed: their threads wait for bytes until the process ends.
        auto& platform = *new store;
        auto& seen = *new observer{lines, {}, {}, {}};
        auto handle = [&](const backend& self, const http_message& request, const tcp_socket& to) {
            serve(seen, self, request, to);
        };
        std::vector<backend*> servers;
        for (int n = 0; n < 4; ++n) {
            servers.push_back(new backend{"i-" + std::to_string(n), "desk", handle});
        }
        auto beat = [&] {
            for (auto* it : servers) {
                platform.put("keyed.servers", it->id(), it->entry(6));
            }
        };
        platform.put("keyed.op", "config",
                     configuration(7,
                                   route("read", "desk", "download", "10s") + "," +
                                       route("book", "desk", "non_idempotent", "5s"),
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
        // The store and the process are without disruption for StableWindow.
        std::this_thread::sleep_for(milliseconds{3500});

        auto begin = steady::now();
        auto terminated = begin + milliseconds{400};
        std::atomic<int> broken{0};
        std::atomic<int> without_download{0};
        std::vector<std::thread> clients;
        for (int n = 0; n < client_count; ++n) {
            clients.emplace_back([&, n] {
                auto name = "c" + std::to_string(n);
                auto client = connect_to(under_test.front());
                std::string input;
                if (!client || !client->send(client_request("GET", "/read/1", name + "-1", 9000))) {
                    ++without_download;
                    return;
                }
                lines.line(name + " sends " + name + "-1 GET, X-Deadline-Ms 9000");
                auto first = read_message(*client, input, milliseconds{9000});
                if (!first || first->status() != 200 || first->body.size() != 2 * part) {
                    ++without_download;
                    return;
                }
                auto id = name + "-2";
                auto sent = steady::now();
                std::chrono::duration<double> after = sent - terminated;
                lines.line(name + " has the whole download and sends " + id +
                           " POST, X-Deadline-Ms 9000, on the same connection, " +
                           std::to_string(after.count()) + " s after SIGTERM");
                client->send(client_request("POST", "/book/1", id, 9000, "lot 17"));
                auto second = read_message(*client, input, milliseconds{9000});
                bool is_at_work = seen.is_at_work(id);
                std::chrono::duration<double> answered = steady::now() - terminated;
                bool is_servers = second && !second->header("x-response-seal").empty();
                lines.line(name + " gets " +
                           (second ? second->start + " " + second->body : std::string{"no answer"}) +
                           (is_servers ? " from the server" : ", not from the server") + " to " + id +
                           ", " + std::to_string(answered.count()) + " s after SIGTERM");
                bool is_promise = second && second->status() == 503;
                if (is_at_work && !is_servers && !is_promise && after > excused_time) {
                    lines.line("BROKEN: " + id + " was sent later than 3 s after SIGTERM, was passed on, "
                                                 "and is broken off while its server is at work");
                    ++broken;
                }
            });
        }
        sleep_until(terminated);
        if (trouble()) {
            lines.line("SIGTERM to the gateway");
            under_test.signal(SIGTERM);
        }
        for (auto& it : clients) {
            it.join();
        }
        std::this_thread::sleep_for(milliseconds{700});
        if (without_download > 0) {
            throw cannot_run{"a download didn't end"};
        }
        return broken > 0;
    });
}
