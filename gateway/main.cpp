#include "gateway/gateway.h"
#include "platform/settings_file.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <unistd.h>

namespace {

using namespace cornelswitch;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
/// Longest wait of the event loop, so that a signal that does not interrupt the wait is noticed.
constexpr duration max_loop_wait = std::chrono::milliseconds{200};

volatile std::sig_atomic_t stop_requested = 0;
volatile std::sig_atomic_t reload_requested = 0;

auto on_signal(int signal_number) -> void
{
    (signal_number == SIGHUP ? reload_requested : stop_requested) = 1;
}

auto install_signal_handlers() -> void
{
    struct sigaction action {};
    action.sa_handler = on_signal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGHUP, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

auto generate_boot_id() -> boot_id
{
    std::random_device device;
    auto high = static_cast<std::uint64_t>(device() & 0x7fffffffU) << 32U;
    // 0 means unknown.
    return boot_id{(high | device()) | 1U};
}

auto reload(gateway& instance, event_log& log, const std::string& path) -> void
{
    auto settings = read_node_settings(path);
    if (settings.has_error()) {
        log.line("reload-failed").text("cause", settings.error().message);
        return;
    }
    instance.reload(settings.value());
}

auto run(const std::string& path) -> int
{
    auto settings = read_node_settings(path);
    if (settings.has_error()) {
        std::cerr << settings.error() << '\n';
        return exit_usage;
    }
    event_loop loop;
    event_log log{loop.time(), STDOUT_FILENO, settings.value().node.value(),
                  settings.value().zone.value()};
    gateway instance{loop, settings.value(), log, generate_boot_id()};
    auto started = instance.start();
    if (started.has_error()) {
        std::cerr << started.error() << '\n';
        return exit_failure;
    }
    while (!instance.is_finished()) {
        loop.run_once(max_loop_wait);
        if (stop_requested != 0) {
            stop_requested = 0;
            instance.shut_down();
        }
        if (reload_requested != 0) {
            reload_requested = 0;
            reload(instance, log, path);
        }
    }
    log.flush();
    // Skips destructors; the operating system releases the remaining resources.
    std::_Exit(0);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    cxxopts::Options options{"cornelswitch-gateway",
                             "Router for backend servers that own keys exclusively."};
    options.add_options()("settings", "path of the settings file",
                          cxxopts::value<std::string>())("help", "print this text");
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        install_signal_handlers();
        return run(arguments.count("settings") != 0 ? arguments["settings"].as<std::string>()
                                                    : settings_file_path());
    } catch (const cxxopts::exceptions::exception& ec) {
        std::cerr << ec.what() << '\n';
        return exit_usage;
    }
}
