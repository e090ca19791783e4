#include "bench/policy_bench/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>

namespace cornelswitch::bench {

namespace {

constexpr double chart_width = 900;
constexpr double chart_height = 420;
constexpr double margin = 60;
constexpr double legend_line_height = 18;
constexpr std::array<const char*, 6> colors{"#0b6e4f", "#1f77b4", "#d62728",
                                            "#ff7f0e", "#9467bd", "#7f7f7f"};

auto write_latencies(std::ostream& os, const std::vector<latency_row>& rows) -> void
{
    os << "| run | service | class | requests | p50 ms | p99 ms | p99.9 ms |\n"
       << "|---|---|---|---|---|---|---|\n";
    for (const auto& it : rows) {
        os << "| " << it.run << " | " << it.service << " | " << it.priority << " | " << it.requests
           << " | " << it.p50 << " | " << it.p99 << " | " << it.p999 << " |\n";
    }
    os << '\n';
}

auto write_runs(std::ostream& os, const std::vector<run_row>& rows) -> void
{
    os << "| run | answered % | max/mean load | moves | minimum moves | unavailable key-s "
          "| hedges % | retries % | refused not-run | refused unknown | entry lost |\n"
       << "|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& it : rows) {
        os << "| " << it.run << " | " << it.goodput_percent << " | " << it.max_to_mean << " | "
           << it.moves << " | " << it.minimum_moves << " | " << it.unavailable_key_seconds << " | "
           << it.hedges_percent << " | " << it.retries_percent << " | " << it.refused_not_run
           << " | " << it.refused_unknown << " | " << it.entry_lost << " |\n";
    }
    os << '\n';
}

auto write_checks(std::ostream& os, const std::vector<bound_check>& checks) -> void
{
    os << "| check | measured | bound | result |\n|---|---|---|---|\n";
    for (const auto& it : checks) {
        os << "| " << it.name << " | " << it.measured << " | " << (it.at_least ? ">= " : "<= ")
           << it.bound << " | " << (it.passed() ? "pass" : "MISSED") << " |\n";
    }
    os << '\n';
}

} // namespace

auto write_markdown(std::ostream& os, const std::vector<scenario_result>& results,
                    std::uint64_t seed) -> void
{
    os << std::fixed << std::setprecision(2);
    os << "# Policy benchmark\n\nVirtual time, seed " << seed
       << ". Latencies are those of answered requests at the caller.\n\n";
    for (const auto& it : results) {
        os << "## " << it.name << "\n\n" << it.description << "\n\n";
        write_latencies(os, it.latencies);
        write_runs(os, it.runs);
        write_checks(os, it.checks);
        for (const auto& note : it.notes) {
            os << "- " << note << '\n';
        }
        os << '\n';
    }
}

auto write_chart(std::ostream& os, const scenario_result& result) -> void
{
    double highest = 1;
    std::size_t points = 1;
    for (const auto& line : result.chart) {
        points = std::max(points, line.p99.size());
        for (auto value : line.p99) {
            highest = std::max(highest, value);
        }
    }
    // The axis is logarithmic and starts at 10 ms, so that latencies before and during the fault
    // are both readable.
    auto y_of = [&](double ms) {
        auto share = std::log10(std::max(ms, 10.0) / 10) / std::log10(std::max(highest, 20.0) / 10);
        return chart_height - margin - share * (chart_height - 2 * margin);
    };
    auto x_of = [&](double intervals) {
        return margin + intervals * (chart_width - 2 * margin) / static_cast<double>(points);
    };
    auto intervals = [](duration it) {
        return std::chrono::duration<double>(it) / std::chrono::duration<double>(chart_interval);
    };
    os << std::fixed << std::setprecision(1);
    os << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << chart_width << R"(" height=")"
       << chart_height + legend_line_height * static_cast<double>(result.chart.size())
       << R"(" font-family="sans-serif" font-size="12"><rect width="100%" height="100%" fill="#fff"/>)"
       << '\n';
    auto from = x_of(intervals(result.fault_from));
    auto to = x_of(intervals(result.fault_to));
    os << R"(<rect x=")" << from << R"(" y=")" << margin << R"(" width=")" << to - from
       << R"(" height=")" << chart_height - 2 * margin << R"(" fill="#fdd"/><text x=")" << from + 4
       << R"(" y=")" << margin + 14 << R"(">fault</text>)" << '\n';
    os << R"(<text x="10" y="20">)" << result.name
       << ": p99 of downloads at the entry, ms (logarithmic), over seconds</text>\n";
    for (double ms = 10; ms <= highest; ms *= 10) {
        os << R"(<line x1=")" << margin << R"(" x2=")" << chart_width - margin << R"(" y1=")"
           << y_of(ms) << R"(" y2=")" << y_of(ms) << R"(" stroke="#ccc"/><text x="10" y=")"
           << y_of(ms) << R"(">)" << ms << "</text>\n";
    }
    auto per_second = std::chrono::seconds{1} / chart_interval;
    for (std::size_t n = 0; n <= points; n += 4 * static_cast<std::size_t>(per_second)) {
        os << R"(<text x=")" << x_of(static_cast<double>(n)) << R"(" y=")"
           << chart_height - margin + 16 << R"(">)" << n / static_cast<std::size_t>(per_second)
           << " s</text>\n";
    }
    for (std::size_t n = 0; n < result.chart.size(); ++n) {
        const auto* color = colors[n % colors.size()];
        os << R"(<polyline fill="none" stroke-width="2" stroke=")" << color << R"(" points=")";
        for (std::size_t k = 0; k < result.chart[n].p99.size(); ++k) {
            os << x_of(static_cast<double>(k) + 0.5) << ',' << y_of(result.chart[n].p99[k]) << ' ';
        }
        os << R"("/><text x=")" << margin << R"(" y=")"
           << chart_height + legend_line_height * static_cast<double>(n) << R"(" fill=")" << color
           << R"(">)" << result.chart[n].name << "</text>\n";
    }
    os << "</svg>\n";
}

} // namespace cornelswitch::bench
