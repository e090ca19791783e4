#include "bench/proxy_bench/instance_under_test.h"
#include "bench/proxy_bench/raw_backend.h"
#include "bench/proxy_bench/raw_client.h"

#include <sys/resource.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <string_view>
#include <thread>
#include <vector>

/// Measures the cost of the router on the loopback interface: latency in addition to that of a
/// direct connection to the same backend server in the same run, requests per second and core, and
/// heap bytes per caller connection and per request in flight.
namespace {

using namespace cornelswitch;
using namespace cornelswitch::bench;

constexpr std::size_t rounds = 20;

struct request_counts {
    std::size_t latency_requests{20'000};
    std::size_t throughput_requests{200'000};
};

auto quantile(std::vector<duration> values, double q) -> double
{
    std::ranges::sort(values);
    auto index = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    return std::chrono::duration<double, std::micro>(values[index]).count();
}

auto heap_bytes() -> double
{
    auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

auto measure_latency(std::size_t count) -> void
{
    raw_backend backend;
    instance_under_test instance{backend.address(), 256};
    raw_client direct{backend.address(), 1};
    raw_client routed{instance.address(), 1};
    routed.measure_latency(count / rounds); // Warms up connections and caches.
    std::vector<duration> direct_times;
    std::vector<duration> routed_times;
    // The rounds alternate, so that a change of the machine's load affects both measurements.
    for (std::size_t n = 0; n < rounds; ++n) {
        auto first = direct.measure_latency(count / rounds);
        auto second = routed.measure_latency(count / rounds);
        direct_times.insert(direct_times.end(), first.begin(), first.end());
        routed_times.insert(routed_times.end(), second.begin(), second.end());
    }
    for (auto q : {0.5, 0.99}) {
        auto direct_us = quantile(direct_times, q);
        auto routed_us = quantile(routed_times, q);
        std::printf("latency p%g: direct %.0f us, routed %.0f us, added %.0f us, ratio %.2f\n",
                    q * 100, direct_us, routed_us, routed_us - direct_us, routed_us / direct_us);
    }
}

auto measure_throughput(std::size_t count) -> void
{
    for (auto connections : {1, 8, 32, 128}) {
        raw_backend backend;
        instance_under_test instance{backend.address(), 256};
        raw_client client{instance.address(), static_cast<std::size_t>(connections)};
        client.run_closed_loop(count / 20);
        auto used_before = instance.cpu_time();
        auto elapsed = client.run_closed_loop(count / 4);
        auto used = instance.cpu_time() - used_before;
        auto requests = static_cast<double>(count) / 4;
        auto seconds = [](duration it) { return std::chrono::duration<double>(it).count(); };
        std::printf("throughput with %d connections: %.0f requests/s, %.0f requests/s per core, "
                    "%.1f us of processor time per request\n",
                    connections, requests / seconds(elapsed), requests / seconds(used),
                    seconds(used) / requests * 1e6);
    }
}

auto measure_memory(std::size_t count) -> void
{
    raw_backend backend;
    instance_under_test instance{backend.address(), static_cast<std::uint32_t>(count)};
    raw_client warm{instance.address(), 1};
    warm.measure_latency(10);
    auto empty = heap_bytes();
    raw_client client{instance.address(), count};
    for (std::size_t n = 0; n < count; ++n) {
        client.send(n);
        client.receive(n);
    }
    auto idle = heap_bytes();
    backend.hold(true);
    for (std::size_t n = 0; n < count; ++n) {
        client.send(n);
    }
    // Bounded wait until the backend server has every request.
    for (int n = 0; n < 1000 && backend.held() < static_cast<int>(count); ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    auto busy = heap_bytes();
    auto connections = static_cast<double>(count);
    std::printf("memory with %zu connections: %.0f bytes per idle connection, %.0f bytes more per "
                "request in flight (%d held)\n",
                count, (idle - empty) / connections, (busy - idle) / connections, backend.held());
}

auto run(const request_counts& it) -> void
{
    measure_latency(it.latency_requests);
    measure_throughput(it.throughput_requests);
    for (std::size_t count : {100U, 250U, 500U, 1000U}) {
        measure_memory(count);
    }
}

} // namespace

/// Usage: cornelswitch-proxy-bench [--short]
auto main(int argc, char** argv) -> int
{
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    request_counts it;
    if (argc > 1 && std::string_view{argv[1]} == "--short") {
        it = {2000, 8000};
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    try {
        run(it);
    } catch (const std::exception& cause) {
        std::fprintf(stderr, "benchmark failed: %s\n", cause.what());
        return 1;
    }
    return 0;
}
