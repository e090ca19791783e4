#include "bench/policy_bench/deployment.h"

namespace cornelswitch::bench {

using namespace std::chrono_literals;

namespace {

struct service_spec {
    const char* name;
    bool keyed{false};
    bool idempotent{true};
    std::uint32_t servers{1};
    duration service_time{0};
};

auto make_service(const deployment& target, const service_spec& spec, std::uint32_t concurrency,
                  std::uint32_t connections) -> service_workload
{
    service_workload out;
    out.config.name = service_id{spec.name};
    out.config.keyed = spec.keyed;
    out.config.hash_slots = spec.keyed ? 256 : 1;
    out.idempotent = spec.idempotent;
    out.service_time = spec.service_time;
    for (std::uint32_t n = 0; n < spec.servers; ++n) {
        server_config server;
        server.id = server_id{std::string{spec.name} + "-" + std::to_string(n)};
        server.zone = target.zones[n % target.zones.size()];
        server.concurrency = concurrency;
        server.connections = connections;
        out.config.servers.push_back(std::move(server));
    }
    return out;
}

auto make_deployment(const char* name, std::uint32_t zones, duration caller_delay) -> deployment
{
    deployment out;
    out.name = name;
    for (std::uint32_t n = 0; n < zones; ++n) {
        out.zones.emplace_back("z" + std::to_string(n));
    }
    out.zone_delay = 700us;
    out.local_delay = 50us;
    out.caller_delay = caller_delay;
    return out;
}

} // namespace

auto service_workload::capacity() const -> double
{
    double out = 0;
    for (const auto& it : config.servers) {
        out += it.concurrency / std::chrono::duration<double>(service_time).count();
    }
    return out;
}

auto churn_averse() -> profile
{
    profile out;
    out.name = profile_id{"churn-averse"};
    out.hedge_budget_percent = 0;
    out.move_price_percent = 15;
    out.load_bound_percent = 150;
    out.concurrent_moves = 2;
    return out;
}

auto tail_averse() -> profile
{
    profile out;
    out.name = profile_id{"tail-averse"};
    out.hedge_budget_percent = 5;
    out.move_price_percent = 1;
    out.load_bound_percent = 110;
    out.concurrent_moves = 8;
    return out;
}

auto hengyu() -> deployment
{
    auto out = make_deployment("hengyu", 4, 1ms);
    out.policy = churn_averse();
    for (const auto& it : {service_spec{"catalogue", true, true, 20, 10ms},
                           service_spec{"reservation", false, false, 8, 15ms},
                           service_spec{"scans", false, true, 8, 20ms}}) {
        out.services.push_back(make_service(out, it, 2, 130));
    }
    return out;
}

auto mwangaza() -> deployment
{
    auto out = make_deployment("mwangaza", 3, 8ms);
    out.policy = tail_averse();
    for (const auto& it : {service_spec{"roster", true, true, 16, 10ms},
                           service_spec{"booking", false, false, 10, 15ms},
                           service_spec{"scripts", false, true, 6, 20ms}}) {
        out.services.push_back(make_service(out, it, 6, 120));
    }
    return out;
}

} // namespace cornelswitch::bench
