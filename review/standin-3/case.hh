#pragma once

// What all cases of this review share: the record, a backend server, and the process under test.

#include "store.hh"

#include <sys/prctl.h>
#include <sys/types.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace review {

/// `record.txt`: what was sent, answered and run, in milliseconds since the start.
class record {
public:
    explicit record(const std::filesystem::path& folder) : out_{folder / "record.txt"} {}

    auto line(const std::string& text) -> void
    {
        std::lock_guard lock{mutex_};
        std::chrono::duration<double, std::milli> at = steady::now() - started_;
        char time[32];
        std::snprintf(time, sizeof(time), "%10.1f  ", at.count());
        out_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    steady::time_point started_{steady::now()};
    std::ofstream out_;
};

/// Stand-in of a backend server. `on_request` gets the requests that it runs, each in a thread of
/// its own, and sends the answer.
class backend {
public:
    using handler = std::function<void(const backend&, const http_message&, const tcp_socket&)>;

    backend(std::string id, std::string service, handler on_request)
        : id_{std::move(id)}, service_{std::move(service)}, on_request_{std::move(on_request)},
          server_{[this](const auto& it) { serve(*it); }}
    {
    }

    auto id() const -> const std::string& { return id_; }

    /// Entry in service discovery.
    auto entry(int slots = 4) const -> std::string
    {
        return R"({"Addr":")" + server_.address() + R"(","Info":{"Service":")" + service_ +
               R"(","Version":"v1","Zone":"z1","Slots":)" + std::to_string(slots) +
               R"(},"Status":{"State":"ready","Seq":)" + std::to_string(++sequence_) + R"(,"ColdLeft":"0ms"},"born":1700000000000})";
    }

    auto answer(const http_message& request, int status, const std::string& body,
                const std::string& headers = "") const -> std::string
    {
        return make_response(status,
                             "X-Request-Id: " + request.header("x-request-id") +
                                 "\r\nX-Response-Seal: s." + id_ + "\r\n" + headers,
                             body);
    }

private:
    auto serve(const tcp_socket& it) -> void
    {
        std::string input;
        while (auto request = read_message(it, input, milliseconds{600'000})) {
            auto expected = request->header("x-expect-instance");
            if (!expected.empty() && expected != id_) {
                it.send(make_response(421, "X-Instance-Id: " + id_ + "\r\n", ""));
            } else if (request->target() == "/health") {
                it.send(make_response(200, "X-Instance-Id: " + id_ + "\r\n", ""));
            } else {
                on_request_(*this, *request, it);
            }
        }
    }

    std::string id_;
    std::string service_;
    handler on_request_;
    mutable std::atomic<int> sequence_{0};
    tcp_server server_;
};

/// The program under test, as the deploy file starts it.
class gateway {
public:
    gateway(const std::filesystem::path& folder, const std::string& store_address,
            int memory_mb = 260, int max_descriptors = 4100)
        : folder_{folder}, front_{free_port()}, ready_{free_port()}
    {
        std::uint16_t peer = free_port();
        settings_path_ = (folder / "boot.conf").string();
        std::ofstream{settings_path_}
            << "Node=edge-z1-1\nRole=gateway\nMachineClass=edge\nServes=edge\nIp=127.0.0.1\n"
               "Zone=z1\nRegion=r1\nZones.z1=r1\n"
            << "Listen.Front=127.0.0.1:" << front_ << "\nListen.Ready=127.0.0.1:" << ready_
            << "\nPortRange=" << peer << ',' << peer + 1 << "\nBootstrap=true\n"
            << "Limits.CpuShare=0.2\nLimits.Cores=1\nLimits.MemoryMb=" << memory_mb
            << "\nLimits.MaxFds=" << max_descriptors << "\n"
               "Discovery=platform\nEntry=vip\nBeatInterval=870ms\nBounds.StableWindow=3000ms\n"
               "Bounds.Drain=2000ms\nBounds.Grace=6s\nBounds.LossSlack=200ms\n"
               "Bounds.ConfigApply=2000ms\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindow=10s\n"
               "Bounds.RetryBudgetBurst=62\nBounds.ColdTolerance=1.5\nBounds.ColdBurst=5\n"
               "Bounds.MaxHold=10000ms\n"
            << "Platform.Addr=" << store_address
            << "\nPlatform.form=log\nPlatform.parts=8\nPlatform.MinTtl=1000ms\n";
        start();
    }
    ~gateway() { kill_now(); }

    auto start() -> void
    {
        pid_ = fork();
        if (pid_ < 0) {
            throw cannot_run{"cannot start the gateway"};
        }
        if (pid_ == 0) {
            // The process ends with the case, also when the case is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            auto log = std::freopen((folder_ / "gateway.log").c_str(), "a", stdout);
            if (log == nullptr) {
                _exit(127);
            }
            setenv("CORNELSWITCH_BOOT", settings_path_.c_str(), 1);
            execl("target/cornelswitch-gateway", "target/cornelswitch-gateway", nullptr);
            _exit(127);
        }
        auto until = steady::now() + std::chrono::seconds{20};
        while (!is_ready()) {
            if (steady::now() > until || has_ended()) {
                throw cannot_run{"the gateway doesn't become ready"};
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
    }
    auto signal(int number) const -> void
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    auto kill_now() -> void
    {
        if (pid_ > 0 && !has_ended()) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }
    auto has_ended() -> bool
    {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ < 0;
    }
    auto front() const -> std::uint16_t { return front_; }
    auto pid() const -> pid_t { return pid_; }
    auto wait_status() const -> int { return status_; }

    auto is_ready() const -> bool
    {
        auto it = connect_to(ready_);
        std::string input;
        if (!it || !it->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        auto out = read_message(*it, input, milliseconds{500});
        return out && out->status() == 200;
    }

private:
    std::filesystem::path folder_;
    std::string settings_path_;
    std::uint16_t front_;
    std::uint16_t ready_;
    pid_t pid_{-1};
    int status_{0};
};

/// A route of the operator's configuration, for host `h` and the paths below `/NAME/`.
inline auto route(const std::string& name, const std::string& service, const std::string& kind,
                  const std::string& timeout) -> std::string
{
    return R"({"Name":")" + name + R"(","Host":"h","PathPrefix":"/)" + name +
           R"(/","RouteKind":")" + kind + R"(","Timeout":")" + timeout +
           R"(","TargetLatency":"600ms","Priority":1,"Service":")" + service +
           R"(","MaxAttempts":2})";
}

inline auto service(const std::string& name) -> std::string
{
    return R"({"Name":")" + name +
           R"(","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,)"
           R"("Cold":"3s","ColdPerS":4.0})";
}

inline auto configuration(int version, const std::string& routes, const std::string& services)
    -> std::string
{
    return R"({"Version":"r)" + std::to_string(version) + R"(","Routes":[)" + routes +
           R"(],"Services":[)" + services +
           R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
           R"("HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";
}

inline auto client_request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms, const std::string& body = "")
    -> std::string
{
    auto out = method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method == "POST") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

/// Waits until the gateway serves a route.
inline auto wait_until_served(const gateway& under_test, const std::string& path) -> void
{
    auto until = steady::now() + std::chrono::seconds{15};
    for (int n = 0; steady::now() < until; ++n) {
        auto it = connect_to(under_test.front());
        std::string input;
        if (it &&
            it->send(client_request("GET", path, "probe-" + std::to_string(n), 2000))) {
            auto out = read_message(*it, input, milliseconds{2500});
            if (out && out->status() == 200) {
                return;
            }
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    throw cannot_run{"the gateway doesn't serve the route"};
}

inline auto trouble() -> bool
{
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string_view{it} != "0";
}

/// Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
/// `work` gets the record and a temporary folder, and returns whether the rule was broken.
inline auto run_case(int argc, char** argv,
                     const std::function<bool(record&, const std::filesystem::path&)>& work) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 2) {
        std::cerr << "usage: " << argv[0] << " FOLDER\n";
        return 2;
    }
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        return 2;
    }
    record lines{argv[1]};
    int out = 2;
    try {
        bool is_broken = work(lines, pattern);
        lines.line(is_broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
        out = is_broken ? 1 : 0;
    } catch (const std::exception& failure) {
        lines.line(std::string{"RESULT: could not run: "} + failure.what());
    }
    if (const char* keep = std::getenv("KEEP_LOG")) {
        std::error_code ec;
        std::filesystem::copy(std::filesystem::path{pattern} / "gateway.log", keep,
                              std::filesystem::copy_options::overwrite_existing, ec);
    }
    std::error_code ec;
    std::filesystem::remove_all(pattern, ec);
    std::cout.flush();
    // The threads of the stand-ins are still waiting for bytes.
    std::_Exit(out);
}

} // namespace review
