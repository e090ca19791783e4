#pragma once

#include "bench/policy_bench/scenarios.h"

#include <cstdint>
#include <ostream>
#include <vector>

namespace cornelswitch::bench {

/// Writes the results as Markdown tables.
auto write_markdown(std::ostream& os, const std::vector<scenario_result>& results,
                    std::uint64_t seed) -> void;
/// Writes the chart of a scenario as SVG, with the time of the fault highlighted.
auto write_chart(std::ostream& os, const scenario_result& result) -> void;

} // namespace cornelswitch::bench
