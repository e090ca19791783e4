/// An entry that another writer left in `servers/` names a service that no configuration knows, at
/// the address of a server that is up. Checks that no two servers hold the same keys.

#include "harness.hh"

#include <random>

using namespace standin;

namespace {

constexpr double trouble_at = 3;
constexpr double observed_s = 12;
/// The rule breaks when two servers hold the same keys for longer than this.
constexpr double max_common_hold = 0.5;

auto configuration() -> std::string
{
    json route{{"Name", "lookup"},
               {"Host", "shop.example"},
               {"PathPrefix", "/lookup/"},
               {"RouteKind", "idempotent"},
               {"Timeout", "2000ms"},
               {"TargetLatency", "500ms"},
               {"Priority", 1},
               {"Service", "catalog"},
               {"MaxAttempts", 2}};
    json service{{"Name", "catalog"}, {"HealthPath", "/health"},
                 {"MaxConns", 130},   {"Protocol", "h1"},
                 {"Tls", false},      {"Cold", "3s"},
                 {"ColdPerS", 4.0},   {"Sharded", true},
                 {"Warmup", "3s"},    {"Grants", "direct"}};
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

/// Keys that two servers hold at the same time.
class hold_checker {
public:
    explicit hold_checker(std::vector<backend*> servers) : servers_{std::move(servers)} {}

    auto check() -> void
    {
        auto at = now();
        std::vector<std::vector<double>> holds;
        for (const auto* it : servers_) {
            holds.push_back(it->holds());
        }
        for (std::size_t key = 0; key < key_count; ++key) {
            std::string names;
            int holders = 0;
            for (std::size_t n = 0; n < holds.size(); ++n) {
                if (holds[n][key] > at) {
                    ++holders;
                    names += " " + servers_[n]->id();
                }
            }
            if (holders < 2) {
                since_[key] = 0;
                continue;
            }
            since_[key] = since_[key] == 0 ? at : since_[key];
            if (at - since_[key] > longest_) {
                longest_ = at - since_[key];
                longest_key_ = key;
                longest_names_ = names;
            }
        }
    }
    auto longest() const -> double { return longest_; }
    auto describe() const -> std::string
    {
        return "longest common hold " + std::to_string(longest_) + " s, key " +
               std::to_string(longest_key_) + " at" + longest_names_;
    }

private:
    std::vector<backend*> servers_;
    std::vector<double> since_ = std::vector<double>(key_count);
    double longest_{0};
    std::size_t longest_key_{0};
    std::string longest_names_;
};

auto held_keys(const std::vector<backend*>& servers) -> std::size_t
{
    std::size_t out = 0;
    std::vector<std::vector<double>> holds;
    for (const auto* it : servers) {
        holds.push_back(it->holds());
    }
    for (std::size_t key = 0; key < key_count; ++key) {
        out += std::ranges::any_of(holds, [&](const auto& it) { return it[key] > now(); }) ? 1 : 0;
    }
    return out;
}

/// Adds an entry of a service that no configuration names, at the address of `server`.
auto add_entry(const backend& server, metadata_store& store, recorder& record) -> void
{
    json entry{
        {"Addr", server.address()},
        {"Info",
         {{"Service", "catalog-metrics"}, {"Version", "v1"}, {"Zone", "zone-a"}, {"Slots", 2}}},
        {"Status", {{"State", "ready"}, {"Seq", 1}, {"ColdLeft", "0ms"}}},
        {"born", unix_ms()}};
    record.line("another writer adds servers/i-other: " + entry.dump());
    store.put("keyed.servers", "i-other", entry.dump());
}

auto run(const std::string& folder, const std::string& temporary) -> int
{
    recorder record{folder};
    auto net = find_network();
    metadata_store store{net + "200", 8384};
    std::vector<std::unique_ptr<backend>> owned;
    std::vector<backend*> servers;
    for (int n = 1; n <= 4; ++n) {
        owned.push_back(
            std::make_unique<backend>(backend_options{.id = "i-server" + std::to_string(n),
                                                      .service = "catalog",
                                                      .ip = net + std::to_string(100 + n),
                                                      .is_sharded = true},
                                      store, record));
        servers.push_back(owned.back().get());
        if (!owned.back()->is_open()) {
            std::_Exit(exit_not_run);
        }
    }
    if (!store.is_open()) {
        std::_Exit(exit_not_run);
    }
    store.put("keyed.op", "config", configuration());
    std::atomic<bool> is_over{false};
    std::atomic<bool> is_entry_due{false};
    std::thread beats{[&] {
        while (!is_over) {
            for (auto* it : servers) {
                it->beat();
            }
            // Right after the beats, so that no beat is read together with the entry.
            if (is_entry_due.exchange(false)) {
                add_entry(*servers[0], store, record);
            }
            sleep_s(0.87);
        }
    }};
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::vector<std::string> fronts;
    for (int n = 1; n <= 3; ++n) {
        fronts.push_back(net + std::to_string(n));
        gateways.push_back(
            std::make_unique<gateway_process>(node_options{.name = "edge-" + std::to_string(n),
                                                           .ip = fronts.back(),
                                                           .store = net + "200:8384"},
                                              temporary));
    }
    bool is_up = false;
    for (int n = 0; n < 400 && !is_up; ++n) {
        sleep_s(0.05);
        is_up = held_keys(servers) == key_count && std::ranges::all_of(fronts, is_ready);
    }
    auto finish = [&](int code) {
        is_over = true;
        beats.join();
        gateways.clear();
        std::filesystem::remove_all(temporary);
        // Threads of the stand-ins still run, so nothing is destroyed.
        std::_Exit(code);
        return code;
    };
    if (!is_up) {
        record.line("not all keys were granted");
        return finish(exit_not_run);
    }
    record.line("all keys are held");

    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int n = 0; n < 8; ++n) {
        clients.emplace_back([&, n] {
            std::mt19937 random{static_cast<unsigned>(n + 1)};
            while (!is_over) {
                auto id = "q" + std::to_string(n) + "-" + std::to_string(++sent);
                auto key = std::to_string(random() % key_count);
                auto front = fronts[random() % fronts.size()];
                record.line("sent " + id + " key " + key + " to " + front);
                auto answer =
                    call(front, 8381,
                         "GET /lookup/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                             "\r\nX-Deadline-Ms: 2000\r\nX-Shard-Key: " + key + "\r\n\r\n",
                         3);
                record.line("answered " + id + " " + std::to_string(answer.status));
                served += answer.status == 200 ? 1 : 0;
                sleep_s(0.05);
            }
        });
    }
    hold_checker checker{servers};
    auto start = now();
    bool is_written = !has_trouble();
    while (now() < start + trouble_at + observed_s) {
        if (!is_written && now() >= start + trouble_at) {
            is_written = true;
            is_entry_due = true;
        }
        checker.check();
        sleep_s(0.02);
    }
    is_over = true;
    for (auto& it : clients) {
        it.join();
    }
    record.line("sent " + std::to_string(sent) + ", served " + std::to_string(served));
    record.line(checker.describe());
    bool is_broken = checker.longest() > max_common_hold;
    record.line(is_broken ? "OWNER broken" : "OWNER held");
    return finish(served == 0 ? exit_not_run : is_broken ? exit_broken : exit_held);
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
