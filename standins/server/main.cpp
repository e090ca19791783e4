#include "standins/backend_service.h"
#include "standins/stand_in_program.h"

#include <nlohmann/json.hpp>

#include <random>
#include <thread>

namespace {

using namespace cornelswitch;

constexpr std::size_t max_body_bytes = std::size_t{16} << 20U;
constexpr duration sample_interval = std::chrono::milliseconds{20};

auto make_options() -> cxxopts::Options
{
    cxxopts::Options out{"cornelswitch-server",
                         "Stand-in backend server with a counter for each key."};
    out.add_options()("id", "server id", cxxopts::value<std::string>()->default_value("server"))(
        "listen", "IPv4:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:9000"))(
        "behaviour", "JSON object as for POST /_standin/behaviour",
        cxxopts::value<std::string>()->default_value("{}"))(
        "connections", "connections open at the same time",
        cxxopts::value<std::size_t>()->default_value("200"))(
        "no-check-grants", "execute requests without checking grants")(
        "seed", "seed of random choices and of the boot id; 0 draws one",
        cxxopts::value<std::uint64_t>()->default_value("0"));
    return out;
}

auto random_seed() -> std::uint64_t
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

auto run(stand_in_program& program) -> int
{
    const auto& arguments = program.arguments();
    backend_service::options options;
    options.id = server_id{arguments["id"].as<std::string>()};
    options.checks_grants = arguments.count("no-check-grants") == 0;
    options.seed = arguments["seed"].as<std::uint64_t>();
    if (options.seed == 0) {
        options.seed = random_seed();
    }
    auto behaviour = arguments["behaviour"].as<std::string>();
    auto applied = options.behaviour.apply(nlohmann::json::parse(behaviour, nullptr, false));
    if (applied.has_error()) {
        return stand_in_program::usage_error("--behaviour: " + applied.error().message);
    }
    auto& loop = program.loop();
    backend_service service{options,
                            {[&] { return loop.now(); },
                             [&](duration delay, backend_service::function work) {
                                 loop.schedule(delay, std::move(work));
                             },
                             [](duration time) { std::this_thread::sleep_for(time); }}};
    http_server_options http;
    http.max_connections = arguments["connections"].as<std::size_t>();
    http.max_body_bytes = max_body_bytes;
    auto code = program.listen(arguments["listen"].as<std::string>(), http,
                               [&](auto call) { service.handle(std::move(call)); });
    if (code != 0) {
        return code;
    }
    std::function<void()> sample = [&] {
        service.sample_grants();
        loop.schedule(sample_interval, sample);
    };
    sample();
    return program.serve();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return stand_in_program::run(argc, argv, make_options(), run);
}
