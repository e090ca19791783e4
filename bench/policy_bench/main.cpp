#include "bench/policy_bench/report.h"
#include "bench/policy_bench/scenarios.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

namespace {

using namespace cornelswitch::bench;

constexpr int exit_bound_missed = 1;
constexpr int exit_usage = 2;

auto run_selected(const std::string& name, std::uint64_t seed) -> std::vector<scenario_result>
{
    std::vector<scenario_result> out;
    for (const auto& it : all_scenarios()) {
        if (name == "all" || name == it.name) {
            out.push_back(it.run(seed));
        }
    }
    return out;
}

auto print_missed(const std::vector<scenario_result>& results) -> bool
{
    auto missed = false;
    for (const auto& result : results) {
        for (const auto& it : result.checks) {
            if (!it.passed()) {
                missed = true;
                std::cerr << result.name << ": bound missed: " << it.name << ": " << it.measured
                          << " (bound " << it.bound << ")\n";
            }
        }
    }
    return missed;
}

auto write_report(const std::string& path, const std::vector<scenario_result>& results,
                  std::uint64_t seed) -> bool
{
    std::ofstream report{path};
    write_markdown(report, results, seed);
    for (const auto& it : results) {
        if (!it.chart.empty()) {
            std::ofstream chart{path + "." + it.name + ".svg"};
            write_chart(chart, it);
        }
    }
    return report.good();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    cxxopts::Options options{
        "cornelswitch-policy-bench",
        "Runs the routing policies on virtual time and compares them with baselines."};
    options.add_options()("scenario", "scenario, or all",
                          cxxopts::value<std::string>()->default_value("all"))(
        "seed", "seed of the random numbers", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "report", "Markdown file to write; charts are written to the same folder",
        cxxopts::value<std::string>())("check", "exit with code 1 when a bound is missed")(
        "help", "show this text");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        auto seed = parsed["seed"].as<std::uint64_t>();
        auto results = run_selected(parsed["scenario"].as<std::string>(), seed);
        if (results.empty()) {
            std::cerr << "unknown scenario; one of:";
            for (const auto& it : all_scenarios()) {
                std::cerr << ' ' << it.name;
            }
            std::cerr << '\n';
            return exit_usage;
        }
        if (parsed.count("report") == 0) {
            write_markdown(std::cout, results, seed);
        } else if (!write_report(parsed["report"].as<std::string>(), results, seed)) {
            std::cerr << "cannot write the report\n";
            return exit_usage;
        }
        auto missed = print_missed(results);
        return missed && parsed.count("check") > 0 ? exit_bound_missed : EXIT_SUCCESS;
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << e.what() << '\n' << options.help();
        return exit_usage;
    }
}
