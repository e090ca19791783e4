#include "config/units.h"
#include "standins/platform_service.h"
#include "standins/stand_in_program.h"

namespace {

using namespace cornelswitch;
using std::chrono::milliseconds;

auto make_options() -> cxxopts::Options
{
    cxxopts::Options out{"cornelswitch-platform",
                         "Stand-in for the platform: log service and instance list, in memory."};
    out.add_options()("listen", "IPv4:PORT; may be repeated, faults can be limited to one port",
                      cxxopts::value<std::vector<std::string>>()->default_value("127.0.0.1:7700"))(
        "retain", "records that each stream retains",
        cxxopts::value<std::size_t>()->default_value("10000"))(
        "instance-lifetime-ms",
        "time after its last publication at which a silent instance leaves the list",
        cxxopts::value<std::uint32_t>()->default_value("3000"));
    return out;
}

auto run(stand_in_program& program) -> int
{
    const auto& arguments = program.arguments();
    auto& loop = program.loop();
    platform_service service{{arguments["retain"].as<std::size_t>(),
                              milliseconds{arguments["instance-lifetime-ms"].as<std::uint32_t>()}},
                             {[&] { return loop.now(); },
                              [&](duration delay, platform_service::function work) {
                                  loop.schedule(delay, std::move(work));
                              }}};
    http_server_options options;
    options.max_body_bytes = platform_log::max_record_size;
    for (const auto& address : arguments["listen"].as<std::vector<std::string>>()) {
        auto parsed = parse_endpoint(address);
        auto port = parsed ? parsed->port : std::uint16_t{0};
        auto code = program.listen(address, options, [&service, port](auto call) {
            service.handle(port, std::move(call));
        });
        if (code != 0) {
            return code;
        }
    }
    return program.serve();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return stand_in_program::run(argc, argv, make_options(), run);
}
