#include "core/random.h"
#include "routing/entry_router.h"
#include "routing/placement.h"
#include "routing/server_scheduler.h"

#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace cornelswitch;
using namespace std::chrono_literals;

/// One cost, measured at several sizes.
struct series {
    std::string name;
    /// Quantity that the sizes count.
    std::string size;
    std::string unit;
    std::vector<double> sizes;
    std::vector<double> values;
};

/// Prints the values, the least-squares line through them and the residuals as a table row.
auto print(const series& it) -> void
{
    auto n = static_cast<double>(it.sizes.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (std::size_t k = 0; k < it.sizes.size(); ++k) {
        sx += it.sizes[k];
        sy += it.values[k];
        sxx += it.sizes[k] * it.sizes[k];
        sxy += it.sizes[k] * it.values[k];
    }
    auto slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    auto intercept = (sy - slope * sx) / n;
    std::cout << "| " << it.name << " | " << it.size << " | ";
    for (std::size_t k = 0; k < it.sizes.size(); ++k) {
        std::cout << std::setprecision(0) << it.sizes[k] << ": " << std::setprecision(1)
                  << it.values[k] << (k + 1 < it.sizes.size() ? ", " : " | ");
    }
    std::cout << it.unit << " | " << std::setprecision(1) << intercept << " + "
              << std::setprecision(4) << slope << " n | " << std::setprecision(1);
    for (std::size_t k = 0; k < it.sizes.size(); ++k) {
        std::cout << it.values[k] - intercept - slope * it.sizes[k]
                  << (k + 1 < it.sizes.size() ? ", " : " |\n");
    }
}

/// Processor time of the process in nanoseconds.
auto cpu_ns() -> double
{
    return 1e9 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

auto heap_bytes() -> double
{
    return static_cast<double>(mallinfo2().uordblks);
}

auto make_server(std::size_t n, std::uint32_t concurrency) -> server_config
{
    server_config out;
    out.id = server_id{"server-" + std::to_string(n)};
    out.zone = zone_id{"z" + std::to_string(n % 4)};
    out.concurrency = concurrency;
    out.connections = concurrency;
    return out;
}

auto make_request(std::uint64_t id, time_point now) -> request_info
{
    request_info out;
    out.id = request_id{id};
    out.tenant = tenant_id{"tenant-" + std::to_string(id % 8)};
    out.priority = id % 5 == 0 ? request_class::bulk : request_class::interactive;
    out.deadline = now + 30s + std::chrono::milliseconds{id % 1000};
    return out;
}

/// Processor time in nanoseconds of each call, and heap bytes of a queued request.
struct scheduler_costs {
    double submit{0};
    double take_next{0};
    double response{0};
    double queued_bytes{0};
};

/// Fills the queue with `size` requests and measures each call of the scheduler at that length.
auto measure_queue(std::size_t size) -> scheduler_costs
{
    constexpr std::size_t rounds = 20'000;
    profile policy;
    policy.queue_limit = static_cast<std::uint32_t>(size + 8);
    policy.warmup_start = 1;
    time_point now{1s};
    server_scheduler scheduler{make_server(0, 1), policy};
    std::uint64_t id = 0;
    auto before = heap_bytes();
    for (std::size_t n = 0; n < size; ++n) {
        scheduler.submit(make_request(++id, now), now);
    }
    scheduler_costs out;
    out.queued_bytes = (heap_bytes() - before) / static_cast<double>(size);
    for (std::size_t n = 0; n < rounds; ++n) {
        auto request = make_request(++id, now);
        auto t0 = cpu_ns();
        scheduler.submit(request, now);
        auto t1 = cpu_ns();
        auto sent = scheduler.take_next(now);
        auto t2 = cpu_ns();
        if (!sent) {
            std::cerr << "the scheduler sent nothing from the queue\n";
            std::exit(EXIT_FAILURE);
        }
        now += 1us;
        scheduler.on_response({sent->id, response_signal::success, 1us, boot_id{1}, 0}, now);
        auto t3 = cpu_ns();
        out.submit += (t1 - t0) / rounds;
        out.take_next += (t2 - t1) / rounds;
        out.response += (t3 - t2) / rounds;
    }
    return out;
}

/// Heap bytes per request of a scheduler with `size` requests in flight.
auto measure_in_flight(std::size_t size) -> double
{
    auto concurrency = static_cast<std::uint32_t>(size);
    profile policy;
    policy.queue_limit = concurrency;
    policy.warmup_start = concurrency;
    time_point now{1s};
    server_scheduler scheduler{make_server(0, concurrency), policy};
    auto before = heap_bytes();
    for (std::uint64_t id = 1; id <= size; ++id) {
        scheduler.submit(make_request(id, now), now);
        scheduler.take_next(now);
    }
    return (heap_bytes() - before) / static_cast<double>(size);
}

auto make_view(std::size_t servers, std::size_t slots) -> std::shared_ptr<routing_view>
{
    auto out = std::make_shared<routing_view>();
    out->ready = true;
    for (auto keyed : {true, false}) {
        auto service = std::make_shared<service_view>();
        service->config.name = service_id{keyed ? "lookup" : "files"};
        service->config.keyed = keyed;
        service->config.hash_slots = static_cast<std::uint32_t>(slots);
        for (std::size_t n = 0; n < servers; ++n) {
            service->config.servers.push_back(make_server(n, 6));
            out->dispatchers[service->config.servers.back().id] =
                instance_id{"i" + std::to_string(n % 16)};
        }
        for (std::size_t n = 0; keyed && n < slots; ++n) {
            service->slots.push_back({static_cast<std::uint32_t>(n % servers), {1, 0}});
        }
        out->services[service->config.name] = std::move(service);
    }
    return out;
}

/// Processor time in nanoseconds of one routing decision and its response.
auto measure_route(const char* path, std::size_t servers, std::size_t slots) -> double
{
    constexpr std::size_t rounds = 4'000;
    entry_router router{{instance_id{"i0"}, zone_id{"z0"}, 1, 1024, {}}};
    time_point now{1s};
    router.set_view(make_view(servers, slots), now);
    auto start = cpu_ns();
    for (std::uint64_t id = 1; id <= rounds; ++id) {
        request_head head;
        auto key = "k" + std::to_string(id);
        head.method = "GET";
        head.path = path;
        head.key = key;
        auto decision = router.route(request_id{id}, head, now);
        now += 100us;
        router.on_response(request_id{id}, std::get<send_attempt>(decision).attempt,
                           load_sample{0, 1, 6, 1ms, true}, now);
    }
    return (cpu_ns() - start) / rounds;
}

/// Processor time in microseconds of one placement plan.
auto measure_placement(std::size_t servers, std::size_t slots) -> double
{
    constexpr std::size_t rounds = 5;
    random_engine random{1};
    placement_input input;
    input.servers.resize(servers);
    for (std::size_t n = 0; n < slots; ++n) {
        input.slots.push_back(
            {static_cast<std::uint32_t>(n % servers), uniform_real(random) * 10, false});
    }
    input.move_price_percent = 0.01;
    input.load_bound_percent = 101;
    auto start = cpu_ns();
    for (std::size_t n = 0; n < rounds; ++n) {
        plan_moves(input);
    }
    return (cpu_ns() - start) / rounds / 1000;
}

} // namespace

auto main() -> int
{
    std::cout << std::fixed << "| cost | size n | measured | unit | fitted line | residuals |\n"
              << "|---|---|---|---|---|---|\n";
    series submit{"submit", "queued requests", "ns", {}, {}};
    series take_next{"take_next", "queued requests", "ns", {}, {}};
    series response{"on_response", "queued requests", "ns", {}, {}};
    series queued{"memory of a queued request", "queued requests", "bytes each", {}, {}};
    for (std::size_t size : {16, 64, 256, 1024, 4096}) {
        auto costs = measure_queue(size);
        for (auto* it : {&submit, &take_next, &response, &queued}) {
            it->sizes.push_back(static_cast<double>(size));
        }
        submit.values.push_back(costs.submit);
        take_next.values.push_back(costs.take_next);
        response.values.push_back(costs.response);
        queued.values.push_back(costs.queued_bytes);
    }
    series in_flight{"memory of a request in flight", "requests in flight", "bytes each", {}, {}};
    for (std::size_t size : {16, 64, 256, 1024}) {
        in_flight.sizes.push_back(static_cast<double>(size));
        in_flight.values.push_back(measure_in_flight(size));
    }
    series unkeyed{"routing decision, not keyed", "servers", "ns", {}, {}};
    series keyed{"routing decision, keyed", "slots", "ns", {}, {}};
    series placement{"placement decision, 480 servers", "slots", "us", {}, {}};
    series by_server{"placement decision, 65,536 slots", "servers", "us", {}, {}};
    for (std::size_t size : {8, 30, 120, 240, 480}) {
        unkeyed.sizes.push_back(static_cast<double>(size));
        unkeyed.values.push_back(measure_route("/files/a", size, 1));
        by_server.sizes.push_back(static_cast<double>(size));
        by_server.values.push_back(measure_placement(size, 65'536));
    }
    for (std::size_t size : {1024, 8192, 32'768, 65'536}) {
        keyed.sizes.push_back(static_cast<double>(size));
        keyed.values.push_back(measure_route("/lookup/a", 480, size));
        placement.sizes.push_back(static_cast<double>(size));
        placement.values.push_back(measure_placement(480, size));
    }
    for (const auto* it : {&submit, &take_next, &response, &queued, &in_flight, &unkeyed, &keyed,
                           &placement, &by_server}) {
        print(*it);
    }
    return EXIT_SUCCESS;
}
