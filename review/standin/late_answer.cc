#include "deployment.hh"

/// Case: one answer of a server to a release arrives a second time, late, where the answer to the
/// next release is expected.
namespace {

using namespace review;

constexpr int gateways = 2;
constexpr int client_threads = 6;
/// Share of the answers of the faulty server that arrive again.
constexpr double extra_share = 0.03;
constexpr auto run_time = std::chrono::seconds{60};

auto run(const std::string& record_path) -> int
{
    record_file record{record_path};
    temporary_folder folder;
    store platform{"127.0.0.1"};
    platform.put("keyed.op", "config", keyed_configuration("4000ms"));
    ownership_audit audit{record};
    std::vector<std::unique_ptr<server>> servers;
    auto add_server = [&] {
        servers.push_back(
            std::make_unique<server>("127.0.0.1",
                                     server_options{"i-" + std::to_string(servers.size() + 1),
                                                    "index", "z1", 4, true, milliseconds{800}, 0},
                                     platform, audit, record));
        return servers.back().get();
    };
    for (int n = 0; n < 3; ++n) {
        add_server();
    }
    auto* busy = servers.front().get();
    // One answer is kept and sent again when the next release comes over the same connection.
    std::mutex mutex;
    std::map<std::uint64_t, std::string> last_answer;
    int extra = 0;
    busy->on_release_answered = [&](const std::string& answer, int, std::uint64_t connection) {
        std::lock_guard lock{mutex};
        last_answer[connection] = answer;
    };
    busy->on_release = [&](const message&, int fd, std::uint64_t connection) {
        std::lock_guard lock{mutex};
        auto it = last_answer.find(connection);
        if (!has_trouble() || it == last_answer.end() ||
            extra + 1 > extra_share * busy->answers()) {
            return;
        }
        ++extra;
        record.line(busy->id() + " sends its previous answer on connection " +
                    std::to_string(connection) + " again: " + std::to_string(extra) + " of " +
                    std::to_string(busy->answers()) + " answers");
        send_all(fd, it->second);
    };
    std::vector<std::unique_ptr<gateway_process>> nodes;
    for (int n = 1; n <= gateways; ++n) {
        nodes.push_back(make_gateway(n, platform.at(), folder.path(), record));
        nodes.back()->start(true);
    }
    auto is_settled = [&] {
        int held = 0;
        for (auto& it : servers) {
            held += it->held_keys();
        }
        return held == server::keys &&
               std::ranges::all_of(nodes, [](auto& it) { return it->is_ready(); });
    };
    if (!wait_until(is_settled, std::chrono::seconds{20})) {
        record.line("the keys were not granted in time");
        return 2;
    }
    // Clients ask for a few keys of one server, so that its keys are moved when a server is added.
    std::vector<int> keys;
    for (int key = 0; key < server::keys && keys.size() < 24; key += 64) {
        if (busy->holds(key)) {
            keys.push_back(key);
        }
    }
    std::atomic<bool> is_over{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    for (int n = 0; n < client_threads; ++n) {
        clients.emplace_back([&, n] {
            for (int k = 0; !is_over; ++k) {
                auto& to = nodes[static_cast<std::size_t>(n % gateways)];
                auto key = keys[static_cast<std::size_t>(n * 4 + k % 4) % keys.size()];
                answered +=
                    send_keyed(to->front(), key, "c" + std::to_string(n) + "-" + std::to_string(k),
                               milliseconds{3000}, record) == 200;
            }
        });
    }
    auto end = clock_type::now() + run_time;
    std::this_thread::sleep_for(std::chrono::seconds{12});
    while (clock_type::now() < end && audit.breaches() == 0) {
        if (servers.size() < 9) {
            add_server();
        }
        wait_until([&] { return audit.breaches() > 0; }, milliseconds{5000});
    }
    is_over = true;
    for (auto& it : clients) {
        it.join();
    }
    for (auto& it : nodes) {
        it->kill();
    }
    record.line(std::to_string(answered) + " requests answered with 200, " + std::to_string(extra) +
                " answers sent twice, OWNER broken " + std::to_string(audit.breaches()) + " times");
    int breaches = audit.breaches();
    for (auto& it : servers) {
        it->stop();
    }
    if (has_trouble() && breaches == 0 && extra == 0) {
        return 2;
    }
    return breaches > 0 ? 1 : 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return run(argc > 1 ? argv[1] : "record.txt");
}
