#include "adapters/log4cxx/json_logger.h"
#include "config/settings.h"
#include "daemon/process.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace cornelswitch;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
// Interval at which the end of the graceful shutdown is polled.
constexpr timespec wait_interval{0, 50'000'000};

auto block_signals() -> sigset_t
{
    sigset_t out;
    sigemptyset(&out);
    sigaddset(&out, SIGTERM);
    sigaddset(&out, SIGINT);
    // Threads that are started later inherit the mask, so that only this thread receives the
    // signals.
    pthread_sigmask(SIG_BLOCK, &out, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return out;
}

// The first signal starts the graceful shutdown, the second one terminates the process immediately.
auto serve(process& daemon, const sigset_t& signals) -> int
{
    int received = 0;
    while (!daemon.is_finished()) {
        if (sigtimedwait(&signals, nullptr, &wait_interval) < 0) {
            continue;
        }
        if (++received == 2) {
            std::_Exit(exit_failed);
        }
        daemon.shut_down();
    }
    return 0;
}

auto run(const settings& configured) -> int
{
    auto signals = block_signals();
    auto log = json_logger::open(configured);
    if (log.has_error()) {
        std::cerr << log.error() << '\n';
        return exit_failed;
    }
    process daemon{configured, *log.value()};
    auto started = daemon.start();
    if (started.has_error()) {
        std::cerr << started.error() << '\n';
        return exit_failed;
    }
    log.value()->log(log_level::info, "start", "", "instance started");
    return serve(daemon, signals);
}

auto make_options() -> cxxopts::Options
{
    cxxopts::Options out{"cornelswitchd", "Router for backend servers that own keys exclusively."};
    out.add_options()("config", "YAML file with the settings of this instance",
                      cxxopts::value<std::string>())("help", "print this text");
    return out;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto options = make_options();
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (arguments.count("config") == 0) {
            std::cerr << "--config FILE is required\n";
            return exit_usage;
        }
        auto configured = read_settings_file(arguments["config"].as<std::string>());
        if (configured.has_error()) {
            std::cerr << to_text(configured.error()) << '\n';
            return exit_usage;
        }
        return run(configured.value());
    } catch (const cxxopts::exceptions::exception& ec) {
        std::cerr << ec.what() << '\n';
        return exit_usage;
    }
}
