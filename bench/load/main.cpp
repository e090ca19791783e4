#include "bench/load/load_driver.h"
#include "config/units.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace cornelswitch;

constexpr int exit_violation = 1;
constexpr int exit_usage = 2;

auto make_options() -> cxxopts::Options
{
    cxxopts::Options out{
        "cornelswitch-load",
        "Sends requests at a fixed rate, checks every answer, and compares the "
        "records of the stand-in servers. Exit codes: 0 every guarantee held, 1 one "
        "did not, 2 usage error."};
    out.add_options()("caller", "caller address of an instance, 127.*; may be repeated",
                      cxxopts::value<std::vector<std::string>>())(
        "server", "ID=ADDRESS of a stand-in server; may be repeated",
        cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "keyed", "keyed service", cxxopts::value<std::string>()->default_value(""))(
        "download", "service for downloads", cxxopts::value<std::string>()->default_value(""))(
        "rate", "requests per second", cxxopts::value<std::uint32_t>()->default_value("500"))(
        "seconds", "time of the run in seconds",
        cxxopts::value<std::uint32_t>()->default_value("10"))(
        "keys", "number of keys", cxxopts::value<std::uint32_t>()->default_value("100"))(
        "writes", "POST requests in percent", cxxopts::value<std::uint32_t>()->default_value("30"))(
        "downloads", "downloads in percent", cxxopts::value<std::uint32_t>()->default_value("10"))(
        "deadline-ms", "deadline of each request in milliseconds",
        cxxopts::value<std::uint32_t>()->default_value("2000"))(
        "max-gap-ms",
        "maximum time in milliseconds for which a key may be without an answer; 0: not checked",
        cxxopts::value<std::uint32_t>()->default_value("0"))(
        "seed", "seed of the random numbers", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "output", "table or json",
        cxxopts::value<std::string>()->default_value("table"))("help", "print this text");
    return out;
}

/// Parses a loopback address. Load must not be sent to other machines.
auto local_address(const std::string& text) -> std::optional<endpoint>
{
    auto out = parse_endpoint(text);
    return out && out->address.starts_with("127.") ? out : std::nullopt;
}

auto read_addresses(const cxxopts::ParseResult& arguments, load_options& out) -> bool
{
    for (const auto& text : arguments["caller"].as<std::vector<std::string>>()) {
        auto address = local_address(text);
        if (!address) {
            return false;
        }
        out.callers.push_back(*address);
    }
    for (const auto& text : arguments["server"].as<std::vector<std::string>>()) {
        if (text.empty()) {
            continue;
        }
        auto separator = text.find('=');
        auto address = separator == std::string::npos ? std::nullopt
                                                      : local_address(text.substr(separator + 1));
        if (!address) {
            return false;
        }
        out.servers.emplace_back(text.substr(0, separator), *address);
    }
    return !out.callers.empty();
}

auto read_options(const cxxopts::ParseResult& arguments, load_options& out) -> bool
{
    auto number = [&](const char* name) { return arguments[name].as<std::uint32_t>(); };
    out.keyed_service = arguments["keyed"].as<std::string>();
    out.download_service = arguments["download"].as<std::string>();
    out.rate = number("rate");
    out.time = std::chrono::seconds{number("seconds")};
    out.keys = number("keys");
    out.write_percent = number("writes");
    out.download_percent = number("downloads");
    out.deadline_ms = number("deadline-ms");
    out.seed = arguments["seed"].as<std::uint64_t>();
    out.max_gap = std::chrono::milliseconds{number("max-gap-ms")};
    auto has_service = !out.keyed_service.empty() || !out.download_service.empty();
    return has_service && out.rate <= max_rate && number("seconds") <= max_seconds &&
           out.keys > 0 && out.keys <= max_keys;
}

auto run(const cxxopts::ParseResult& arguments) -> int
{
    load_options options;
    if (arguments.count("caller") == 0 || !read_addresses(arguments, options) ||
        !read_options(arguments, options)) {
        std::cerr << "at least one --caller and one service are required, addresses must be 127.*; "
                     "maximum values: --rate "
                  << max_rate << ", --seconds " << max_seconds << ", --keys " << max_keys << '\n';
        return exit_usage;
    }
    auto max_gap = options.max_gap;
    event_loop loop;
    load_driver driver{loop, std::move(options)};
    auto report = driver.run();
    if (arguments["output"].as<std::string>() == "json") {
        std::cout << to_json(report, max_gap).dump() << '\n';
    } else {
        std::cout << to_text(report, max_gap);
    }
    return report.violations(max_gap).empty() ? 0 : exit_violation;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    auto options = make_options();
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception& ex) {
        std::cerr << ex.what() << '\n';
        return exit_usage;
    }
}
