#pragma once

#include "server.hh"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// One process of the gateway, started with the command of the deploy file.
class gateway_process {
public:
    struct options {
        std::string node;
        std::string ip;
        std::string zone{"z1"};
        address store;
        /// Ports of the front and of the readiness check, and the first of the process's own ports.
        std::uint16_t front{0};
        std::uint16_t ready{0};
        std::uint16_t own{0};
    };

    gateway_process(options settings, std::string folder, record_file& record)
        : options_{std::move(settings)}, folder_{std::move(folder)}, record_{record}
    {
    }
    gateway_process(const gateway_process&) = delete;
    auto operator=(const gateway_process&) -> gateway_process& = delete;
    ~gateway_process() { kill(); }

    auto start(bool is_first_start) -> void
    {
        auto path = folder_ + "/" + options_.node + ".conf";
        std::ofstream{path} << settings(is_first_start);
        auto log_path = folder_ + "/" + options_.node + ".log";
        pid_ = fork();
        if (pid_ == 0) {
            // The process also ends when this program is ended from outside.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            setenv("CORNELSWITCH_BOOT", path.c_str(), 1);
            execl("target/cornelswitch-gateway", "target/cornelswitch-gateway", nullptr);
            _exit(127);
        }
        record_.line("gateway " + options_.node + " starts");
    }
    auto send_signal(int number) -> void
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }
    /// Ends the process without notice.
    auto kill() -> void
    {
        if (pid_ <= 0) {
            return;
        }
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
        record_.line("gateway " + options_.node + " is killed");
    }
    /// Whether the process runs; an end by itself is recorded.
    auto is_running() -> bool
    {
        int status = 0;
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
            record_.line("gateway " + options_.node + " ended by itself, wait status " +
                         std::to_string(status));
            pid_ = -1;
        }
        return pid_ > 0;
    }
    auto pid() const -> pid_t { return pid_; }
    auto node() const -> const std::string& { return options_.node; }
    auto front() const -> address { return {options_.ip, options_.front}; }
    auto is_ready() const -> bool
    {
        auto answer = call({options_.ip, options_.ready},
                           "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds{500});
        return answer && answer->status() == 200;
    }
    auto log_text() const -> std::string
    {
        std::ifstream in{folder_ + "/" + options_.node + ".log"};
        return {std::istreambuf_iterator<char>{in}, {}};
    }

private:
    auto settings(bool is_first_start) const -> std::string
    {
        return "Node=" + options_.node +
               "\nRole=gateway\nMachineClass=edge\nServes=edge\nIp=" + options_.ip +
               "\nZone=" + options_.zone + "\nRegion=r1\nListen.Front=" + options_.ip + ":" +
               std::to_string(options_.front) + "\nListen.Ready=" + options_.ip + ":" +
               std::to_string(options_.ready) + "\nPortRange=" + std::to_string(options_.own) +
               "," + std::to_string(options_.own + 15) +
               "\nBootstrap=" + (is_first_start ? "true" : "false") +
               "\nLimits.CpuShare=0.2\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n"
               "BeatInterval=870ms\nBounds.Drain=2000ms\nBounds.Grace=6s\nBounds.RetryBudgetRatio="
               "0.2\n"
               "Bounds.BudgetWindow=10s\nBounds.RetryBudgetBurst=62\nBounds.ColdTolerance=1.5\n"
               "Bounds.ColdBurst=5\nBounds.MaxHold=10000ms\nPlatform.Addr=" +
               options_.store.text() +
               "\nPlatform.form=log\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform."
               "parts=8\n"
               "Platform.MinTtl=1000ms\n";
    }

    options options_;
    std::string folder_;
    record_file& record_;
    pid_t pid_{-1};
};

/// Finds `count` consecutive free ports below the range of ephemeral ports.
inline auto find_free_ports(const std::string& ip, int count) -> std::uint16_t
{
    static int next = 14'000 + getpid() % 100 * 100;
    for (int tries = 0; tries < 500; ++tries, next += count) {
        int first = 14'000 + (next - 14'000) % 14'000;
        int free = 0;
        for (; free < count; ++free) {
            address at{ip, static_cast<std::uint16_t>(first + free)};
            int fd = open_listener(at);
            if (fd < 0) {
                break;
            }
            close(fd);
        }
        if (free == count) {
            next += count;
            return static_cast<std::uint16_t>(first);
        }
    }
    return 0;
}

/// Temporary folder that is removed at the end.
class temporary_folder {
public:
    temporary_folder()
    {
        std::string name = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
        path_ = mkdtemp(name.data()) != nullptr ? name : std::string{};
    }
    ~temporary_folder()
    {
        std::error_code ec;
        if (!path_.empty() && std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path_, ec);
        }
    }
    auto path() const -> const std::string& { return path_; }

private:
    std::string path_;
};

inline auto make_gateway(int number, const address& store_address, const std::string& folder,
                         record_file& record) -> std::unique_ptr<gateway_process>
{
    gateway_process::options out;
    out.node = "edge-" + std::to_string(number);
    out.ip = "127.0.0." + std::to_string(10 + number);
    out.store = store_address;
    auto first = find_free_ports(out.ip, 20);
    out.front = first;
    out.ready = static_cast<std::uint16_t>(first + 1);
    out.own = static_cast<std::uint16_t>(first + 2);
    return std::make_unique<gateway_process>(out, folder, record);
}

/// Waits until `is_met`; returns false when `timeout` passes first.
inline auto wait_until(const std::function<bool()>& is_met, milliseconds timeout) -> bool
{
    auto end = clock_type::now() + timeout;
    while (!is_met()) {
        if (clock_type::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return true;
}

/// Whether the run has its disruption: `TROUBLE=0` leaves it out.
inline auto has_trouble() -> bool
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

/// Route to a keyed service, in the form of the operator's configuration.
inline auto keyed_configuration(const std::string& timeout) -> std::string
{
    return R"({"Version":"r1","Routes":[{"Name":"lookup","Host":"h","PathPrefix":"/k/","RouteKind":"idempotent","Timeout":")" +
           timeout +
           R"(","TargetLatency":"500ms","Priority":1,"Service":"index","MaxAttempts":2}],"Services":[{"Name":"index","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"Cold":"0ms","ColdPerS":1000.0,"Sharded":true,"Warmup":"0ms","Grants":"direct"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}})";
}

/// Sends one keyed request on a new connection and returns the status, 0 without an answer.
inline auto send_keyed(const address& to, int key, const std::string& id, milliseconds deadline,
                       record_file& record) -> int
{
    record.line("client sends " + id + ", key " + std::to_string(key));
    auto answer =
        call(to,
             "GET /k/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                 "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
                 "\r\nX-Shard-Key: " + std::to_string(key) + "\r\nConnection: close\r\n\r\n",
             deadline + milliseconds{500});
    int status = answer ? answer->status() : 0;
    record.line("client gets " + std::to_string(status) + " for " + id);
    return status;
}

} // namespace review
