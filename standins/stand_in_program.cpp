#include "standins/stand_in_program.h"

#include "config/units.h"

#include <csignal>
#include <iostream>

namespace cornelswitch {

namespace {

constexpr duration stop_check_interval = std::chrono::milliseconds{50};
constexpr int usage_exit_code = 2;

volatile std::sig_atomic_t stop_requested = 0;

auto request_stop(int) -> void
{
    stop_requested = 1;
}

} // namespace

auto stand_in_program::usage_error(const std::string& text) -> int
{
    std::cerr << text << '\n';
    return usage_exit_code;
}

auto stand_in_program::run(int argc, char** argv, cxxopts::Options options,
                           const std::function<int(stand_in_program&)>& body) -> int
{
    options.add_options()("max-runtime", "seconds after which the process ends",
                          cxxopts::value<std::uint32_t>()->default_value("600"))("help",
                                                                                 "print this text");
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        stand_in_program program{std::move(arguments)};
        return body(program);
    } catch (const cxxopts::exceptions::exception& ex) {
        return usage_error(ex.what());
    }
}

auto stand_in_program::listen(const std::string& address, http_server_options options,
                              exchange_handler handler) -> int
{
    auto parsed = parse_endpoint(address);
    if (!parsed) {
        return usage_error("--listen: found \"" + address + "\", allowed: IPv4:PORT");
    }
    options.address = *parsed;
    auto server = http_server::open(loop_, options, std::move(handler));
    if (server.has_error()) {
        std::cerr << server.error() << '\n';
        return 1;
    }
    servers_.push_back(std::move(server.value()));
    return 0;
}

auto stand_in_program::serve() -> int
{
    std::signal(SIGTERM, request_stop);
    std::signal(SIGINT, request_stop);
    std::signal(SIGPIPE, SIG_IGN);
    std::cout << "ready" << std::endl;
    auto end = loop_.now() + std::chrono::seconds{arguments_["max-runtime"].as<std::uint32_t>()};
    std::function<void()> check = [&] {
        if (stop_requested != 0 || loop_.now() >= end) {
            loop_.stop();
            return;
        }
        loop_.schedule(stop_check_interval, check);
    };
    check();
    loop_.run();
    // Requests in progress refer to objects of the caller, which are destroyed before this object.
    servers_.clear();
    return 0;
}

} // namespace cornelswitch
