#pragma once

#include "bench/policy_bench/summary.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cornelswitch::bench {

/// Compares a measured value with a bound, which is a target of the design.
struct bound_check {
    std::string name;
    double measured{0};
    /// The measured value must not exceed this, or not be below it if `at_least` is set.
    double bound{0};
    bool at_least{false};

    auto passed() const -> bool { return at_least ? measured >= bound : measured <= bound; }
};

/// p99 latency of one run over time, for the chart.
struct chart_line {
    std::string name;
    /// Milliseconds for each interval of `chart_interval`.
    std::vector<double> p99;
};

inline constexpr duration chart_interval = std::chrono::milliseconds{500};

struct scenario_result {
    std::string name;
    std::string description;
    std::vector<latency_row> latencies;
    std::vector<run_row> runs;
    std::vector<bound_check> checks;
    /// Lines of text below the tables, for example theoretical lower bounds.
    std::vector<std::string> notes;
    std::vector<chart_line> chart;
    /// Start and end of the fault, from the start of the chart.
    duration fault_from{0};
    duration fault_to{0};
};

struct scenario {
    std::string name;
    std::function<scenario_result(std::uint64_t seed)> run;
};

auto all_scenarios() -> std::vector<scenario>;

/// The policy of cornelswitch, followed by the baselines.
auto policy_variants() -> std::vector<policy_variant>;

auto run_steady(std::uint64_t seed) -> scenario_result;
auto run_hot_keys(std::uint64_t seed) -> scenario_result;
auto run_slow_server(std::uint64_t seed) -> scenario_result;
auto run_cold_start(std::uint64_t seed) -> scenario_result;
auto run_zone_out(std::uint64_t seed) -> scenario_result;
auto run_instance_replaced(std::uint64_t seed) -> scenario_result;
auto run_server_lost(std::uint64_t seed) -> scenario_result;
auto run_overload(std::uint64_t seed) -> scenario_result;

} // namespace cornelswitch::bench
