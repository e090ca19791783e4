// A request that arrives more than 3 s after SIGTERM, on a connection on which a download was still
// under way, is passed on to its server and then cut off at the end of the grace time.

#include "case.h"

using namespace review;

namespace {

constexpr std::size_t part = 64 * 1024;
constexpr milliseconds download_time{3600};
constexpr milliseconds work_time{2500};

} // namespace

auto main(int argc, char** argv) -> int
{
    return run_case(argc, argv, [](record& lines, const std::filesystem::path& folder) {
        // Not destroyed: their threads wait for bytes until the process ends.
        auto& platform = *new store;
        std::atomic<bool> is_at_work{false};
        std::atomic<bool> was_cut{false};
        std::atomic<int> runs{0};
        auto handle = [&](const backend& self, const http_message& request, const tcp_socket& to) {
            auto id = request.header("x-request-id");
            if (id.starts_with("probe")) {
                to.send(self.answer(request, 200, "ok"));
                return;
            }
            lines.line(self.id() + " runs " + id + " " + request.start);
            if (request.method() == "GET") {
                auto whole = self.answer(request, 200, std::string(2 * part, 'd'));
                to.send(std::string_view{whole}.substr(0, part));
                std::this_thread::sleep_for(download_time);
                to.send(std::string_view{whole}.substr(part));
                lines.line(self.id() + " has sent all of " + id);
                return;
            }
            ++runs;
            is_at_work = true;
            auto until = steady::now() + work_time;
            while (steady::now() < until) {
                std::this_thread::sleep_for(milliseconds{10});
                if (to.is_closed_by_peer() && !was_cut.exchange(true)) {
                    lines.line(self.id() + " is at work on " + id +
                               " when the gateway closes its connection");
                }
            }
            is_at_work = false;
            to.send(self.answer(request, 200, "booked"));
            lines.line(self.id() + " ends " + id + " and answers 200");
        };
        auto& s1 = *new backend{"i-1", "desk", handle};
        auto& s2 = *new backend{"i-2", "desk", handle};
        platform.put("keyed.op", "config",
                     configuration(7,
                                   route("read", "desk", "download", "10s") + "," +
                                       route("book", "desk", "non_idempotent", "5s"),
                                   service("desk")));
        platform.put("keyed.servers", "i-1", s1.entry());
        platform.put("keyed.servers", "i-2", s2.entry());
        gateway under_test{folder, platform.address()};
        std::atomic<bool> is_over{false};
        std::thread{[&] {
            while (!is_over) {
                std::this_thread::sleep_for(milliseconds{870});
                platform.put("keyed.servers", "i-1", s1.entry());
                platform.put("keyed.servers", "i-2", s2.entry());
            }
        }}.detach();
        wait_until_served(under_test, "/read/probe");
        // The store and the process are without disruption for StableWindow.
        std::this_thread::sleep_for(milliseconds{3500});

        auto client = connect_to(under_test.front());
        std::string input;
        lines.line("client sends r-1 GET /read/1, X-Deadline-Ms 9000");
        client->send(client_request("GET", "/read/1", "r-1", 9000));
        std::this_thread::sleep_for(milliseconds{400});
        auto terminated = steady::now();
        if (trouble()) {
            lines.line("SIGTERM to the gateway");
            under_test.signal(SIGTERM);
        }
        auto first = read_message(*client, input, milliseconds{9000});
        if (!first || first->status() != 200 || first->body.size() != 2 * part) {
            throw cannot_run{"the download didn't end"};
        }
        lines.line("client has the whole answer to r-1, Connection: " +
                   (first->header("connection").empty() ? "(not named)"
                                                        : first->header("connection")));
        auto sent = steady::now();
        std::chrono::duration<double> after = sent - terminated;
        lines.line("client sends r-2 POST /book/2, X-Deadline-Ms 9000, on the same connection, " +
                   std::to_string(after.count()) + " s after SIGTERM");
        client->send(client_request("POST", "/book/2", "r-2", 9000, "lot 17"));
        auto second = read_message(*client, input, milliseconds{9000});
        std::chrono::duration<double> answered = steady::now() - sent;
        bool is_at_server = is_at_work;
        lines.line(second ? "client gets " + second->start + " " + second->body + " to r-2 after " +
                                std::to_string(answered.count()) + " s, seal: " +
                                (second->header("x-response-seal").empty()
                                     ? "none"
                                     : second->header("x-response-seal"))
                          : std::string{"the connection ends without an answer to r-2"});
        std::this_thread::sleep_for(milliseconds{700});
        is_over = true;
        // Broken: the server was at work on a request that was sent later than 3 s after SIGTERM,
        // and the client got no answer or one of the gateway's own in its place.
        bool is_own = !second || second->header("x-response-seal").empty();
        return runs == 1 && is_at_server && is_own && (!trouble() || after.count() > 3.0);
    });
}
