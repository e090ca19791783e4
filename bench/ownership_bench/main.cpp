// Measures memory and processing time of the ownership state at four deployment sizes up to the
// design size, and fits lines to the results. A deployment has 1/8, 1/4, 1/2 or all of 480
// instances and 65,536 slots in 4 services and 8 availability zones. It loses one zone, replaces
// the same fraction of 130 instances and publishes the same fraction of 1,500 configurations. The
// fragmented state is the worst case for snapshots: no two neighbouring slots have the same server,
// and every 64 slots have an epoch of their own.

#include "config/config_state.h"
#include "ownership/snapshot_codec.h"
#include "tests/ownership/planner_fixture.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

constexpr int zone_count = 8;
constexpr int service_count = 4;
constexpr int design_instances = 480;
constexpr std::uint32_t design_slots = 65'536;
constexpr int design_servers_per_zone = 40;
constexpr int design_replacements = 130;
constexpr int design_publications = 1'500;
/// Size of the YAML text of one server in a published configuration.
constexpr std::size_t text_bytes_per_server = 150;

struct measurement {
    double instances{0};
    double slots{0};
    double records{0};
    double heap_bytes{0};
    double apply_ns{0};
    double config_apply_ns{0};
    double snapshot_bytes{0};
    double fragmented_bytes{0};
    double fragmented_chunks{0};
    double encode_chunk_us{0};
    double decode_chunk_us{0};
    double fragmented_apply_us{0};
    double plan_idle_us{0};
    double plan_zone_lost_us{0};
    double plan_replacement_us{0};
};

template<typename function>
auto median_seconds(int repeats, const function& run) -> double
{
    std::vector<double> samples;
    for (int n = 0; n < repeats; ++n) {
        auto start = std::chrono::steady_clock::now();
        run();
        std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
        samples.push_back(elapsed.count());
    }
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2];
}

auto zone_name(int n) -> std::string
{
    return "zone-" + std::to_string(n);
}

auto make_deployment(int divisor) -> configuration
{
    configuration out;
    out.profiles.push_back({.name = profile_id{"default"}, .concurrent_moves = 64});
    for (int zone = 0; zone < zone_count; ++zone) {
        out.zones.emplace_back(zone_name(zone));
    }
    for (int service = 0; service < service_count; ++service) {
        service_config it;
        it.name = service_id{"service-" + std::to_string(service)};
        it.profile = profile_id{"default"};
        it.hash_slots = design_slots / service_count / static_cast<std::uint32_t>(divisor);
        for (int n = 0; n < design_servers_per_zone * zone_count / service_count / divisor; ++n) {
            server_config server;
            server.zone = zone_id{zone_name(n % zone_count)};
            server.id = server_id{it.name.value() + "-server-" + std::to_string(n)};
            it.servers.push_back(server);
        }
        out.services.push_back(it);
    }
    return out;
}

auto plan_microseconds(const planner_fixture& fixture) -> double
{
    constexpr int repeats = 21;
    auto view = fixture.make_view();
    return 1e6 * median_seconds(repeats, [&] { planner{fixture.planners[0]}.plan(view); });
}

auto require(bool condition, const char* what) -> void
{
    if (!condition) {
        std::fprintf(stderr, "ownership-bench: %s\n", what);
        std::exit(1);
    }
}

auto replace_instances(planner_fixture& fixture, int count, measurement& out) -> void
{
    // A rolling replacement exchanges ten instances at a time.
    constexpr int batch = 10;
    for (int done = 0; done < count; done += batch) {
        for (int n = done; n < std::min(done + batch, count); ++n) {
            auto old = fixture.instances.front();
            fixture.remove_instance(old.id.value());
            fixture.add_instance("replacement-" + std::to_string(n), old.zone.value());
        }
        if (done == 0) {
            out.plan_replacement_us = plan_microseconds(fixture);
        }
        require(fixture.run_until_idle(),
                "the planner did not finish the replacement of instances");
    }
}

auto assigns_slots(const planner_fixture& fixture) -> bool
{
    auto leader = fixture.planners[0];
    auto actions = leader.plan(fixture.make_view());
    return std::any_of(actions.begin(), actions.end(), [](const auto& it) {
        const auto* proposal = std::get_if<propose_record>(&it);
        return proposal != nullptr && std::holds_alternative<assignment_record>(proposal->body);
    });
}

auto lose_zone(planner_fixture& fixture, measurement& out) -> void
{
    auto lost = zone_id{zone_name(zone_count - 1)};
    std::erase_if(fixture.instances, [&](const auto& it) { return it.zone == lost; });
    fixture.unresponsive_zones.insert(lost);
    fixture.config.out_of_service.stopped_zones.insert(lost);
    // The largest plan is the one that assigns all slots of the lost zone. Before it, the planner
    // claims and takes over the zone's cells, so the planner runs until this plan is due. If it is
    // not due after 100 steps, the benchmark fails.
    constexpr int max_steps = 100;
    for (int n = 0; n < max_steps && !assigns_slots(fixture); ++n) {
        fixture.step();
    }
    require(assigns_slots(fixture), "the slots of the lost zone were not assigned");
    out.plan_zone_lost_us = plan_microseconds(fixture);
    require(fixture.run_until_idle(), "the planner did not finish after the loss of a zone");
}

auto apply_seconds(const std::vector<log_record>& records) -> double
{
    constexpr int repeats = 5;
    return median_seconds(repeats, [&] {
        ownership_state state;
        for (const auto& it : records) {
            state.apply(it);
        }
    });
}

auto measure_apply(const planner_fixture& fixture, measurement& out) -> void
{
    out.records = static_cast<double>(fixture.log.records.size());
    out.apply_ns = 1e9 * apply_seconds(fixture.log.records) / out.records;
    out.snapshot_bytes = static_cast<double>(snapshot_codec::encode(fixture.log.state).size());
    auto before = mallinfo2().uordblks;
    auto copy = std::make_unique<ownership_state>(fixture.log.state);
    out.heap_bytes = static_cast<double>(mallinfo2().uordblks - before);
}

// Assigns every slot, 64 in one record, to a different server than its neighbour.
auto make_fragmented_log(const planner_fixture& fixture, measurement& out) -> log_builder
{
    constexpr std::uint32_t slots_per_record = 64;
    log_builder log;
    std::vector<server_id> servers;
    for (const auto& it : fixture.config.services[0].servers) {
        servers.push_back(it.id);
    }
    log.add(cell_record{cell_id{1}, 0, zone_id{zone_name(0)}, members({1, 2, 3}), servers});
    auto size = static_cast<std::uint32_t>(out.slots);
    log.add(assignment_record{{{log.service, size}}, {}, {}, {}});
    for (std::uint32_t first = 0; first < size; first += slots_per_record) {
        assignment_record record;
        for (auto n = first; n < first + slots_per_record; ++n) {
            const auto& to = servers[n % servers.size()];
            record.entries.push_back({log.service, slots(std::to_string(n)), to, 0});
        }
        log.add(std::move(record));
    }
    return log;
}

auto measure_fragmented(const planner_fixture& fixture, measurement& out) -> void
{
    constexpr int repeats = 11;
    auto log = make_fragmented_log(fixture, out);
    auto bytes = snapshot_codec::encode(log.state);
    auto end = log.state.end();
    out.fragmented_bytes = static_cast<double>(bytes.size());
    out.fragmented_chunks = static_cast<double>(snapshot_codec::to_chunks(bytes, end).size());
    auto encode = median_seconds(
        repeats, [&] { snapshot_codec::to_chunks(snapshot_codec::encode(log.state), end); });
    auto decode = median_seconds(repeats, [&] {
        require(snapshot_codec::decode(bytes).has_value(), "the snapshot cannot be decoded");
    });
    out.encode_chunk_us = 1e6 * encode / out.fragmented_chunks;
    out.decode_chunk_us = 1e6 * decode / out.fragmented_chunks;
    out.fragmented_apply_us =
        1e6 * apply_seconds(log.records) / static_cast<double>(log.records.size());
}

auto measure_config(int divisor, measurement& out) -> void
{
    constexpr auto servers = std::size_t{design_servers_per_zone} * zone_count;
    auto text =
        std::string(servers / static_cast<std::size_t>(divisor) * text_bytes_per_server, 'y');
    auto count = design_publications / divisor;
    std::vector<std::string> records;
    for (int n = 0; n < count; ++n) {
        auto sequence = writer_sequence{static_cast<std::uint64_t>(n) + 1};
        auto replaces = config_version{static_cast<std::uint64_t>(n)};
        records.push_back(encode_config_record(
            {{instance_id{"operator"}, boot_id{1}, sequence}, config_change{replaces, text}}));
    }
    constexpr int repeats = 5;
    auto seconds = median_seconds(repeats, [&] {
        config_state state;
        for (std::size_t n = 0; n < records.size(); ++n) {
            state.apply(log_offset{n}, records[n]);
        }
        require(state.version().value() == records.size(), "a configuration was dropped");
    });
    out.config_apply_ns = 1e9 * seconds / count;
}

auto measure(int divisor) -> measurement
{
    measurement out;
    out.instances = static_cast<double>(design_instances) / divisor;
    out.slots = static_cast<double>(design_slots) / divisor;
    planner_fixture fixture{make_deployment(divisor), design_instances / zone_count / divisor};
    fixture.is_check_enabled = false;
    require(fixture.run_until_idle(), "the planner did not finish the first assignment");
    out.plan_idle_us = plan_microseconds(fixture);
    replace_instances(fixture, design_replacements / divisor, out);
    lose_zone(fixture, out);
    measure_apply(fixture, out);
    measure_fragmented(fixture, out);
    measure_config(divisor, out);
    return out;
}

/// Prints the least-squares line through the points. The residual is the largest deviation from the
/// line, in percent of the largest value.
auto print_fit(const char* name, const std::vector<measurement>& points, double measurement::*x,
               double measurement::*y) -> void
{
    double mean_x = 0;
    double mean_y = 0;
    double largest = 0;
    for (const auto& it : points) {
        mean_x += it.*x / static_cast<double>(points.size());
        mean_y += it.*y / static_cast<double>(points.size());
        largest = std::max(largest, it.*y);
    }
    double xy = 0;
    double xx = 0;
    for (const auto& it : points) {
        xy += (it.*x - mean_x) * (it.*y - mean_y);
        xx += (it.*x - mean_x) * (it.*x - mean_x);
    }
    auto slope = xy / xx;
    double residual = 0;
    for (const auto& it : points) {
        residual = std::max(residual, std::abs(it.*y - mean_y - slope * (it.*x - mean_x)));
    }
    std::printf("%-34s slope %12.5g  intercept %12.5g  residual %5.1f%%\n", name, slope,
                mean_y - slope * mean_x, 100 * residual / largest);
}

auto print_row(const char* name, const std::vector<measurement>& points, double measurement::*value)
    -> void
{
    std::printf("%-34s", name);
    for (const auto& it : points) {
        std::printf(" %12.5g", it.*value);
    }
    std::printf("\n");
}

} // namespace

auto main() -> int
{
    std::vector<measurement> points;
    for (auto divisor : {8, 4, 2, 1}) {
        points.push_back(measure(divisor));
    }
    using m = measurement;
    print_row("instances", points, &m::instances);
    print_row("slots", points, &m::slots);
    print_row("ownership records", points, &m::records);
    print_row("state heap, bytes", points, &m::heap_bytes);
    print_row("apply, ns per record", points, &m::apply_ns);
    print_row("config apply, ns per record", points, &m::config_apply_ns);
    print_row("snapshot, bytes", points, &m::snapshot_bytes);
    print_row("fragmented snapshot, bytes", points, &m::fragmented_bytes);
    print_row("fragmented snapshot, chunks", points, &m::fragmented_chunks);
    print_row("fragmented apply, us per 64 slots", points, &m::fragmented_apply_us);
    print_row("encode, us per chunk", points, &m::encode_chunk_us);
    print_row("decode, us per chunk", points, &m::decode_chunk_us);
    print_row("plan, nothing to do, us", points, &m::plan_idle_us);
    print_row("plan, zone lost, us", points, &m::plan_zone_lost_us);
    print_row("plan, 10 instances replaced, us", points, &m::plan_replacement_us);
    std::printf("\n");
    print_fit("state heap, bytes per slot", points, &m::slots, &m::heap_bytes);
    print_fit("snapshot, bytes per slot", points, &m::slots, &m::snapshot_bytes);
    print_fit("fragmented snapshot, bytes per slot", points, &m::slots, &m::fragmented_bytes);
    print_fit("apply, ns per record and slot", points, &m::slots, &m::apply_ns);
    print_fit("plan idle, us per slot", points, &m::slots, &m::plan_idle_us);
    print_fit("plan zone lost, us per slot", points, &m::slots, &m::plan_zone_lost_us);
    print_fit("plan replaced, us per slot", points, &m::slots, &m::plan_replacement_us);
    return 0;
}
