#pragma once

#include "core/clock.h"
#include "standins/execution_audit.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelswitch {

/// Counts and times of a run, and the guarantees that were violated.
struct load_report {
    std::uint64_t sent{0};
    /// Number of these requests that were probes of keys that had failed.
    std::uint64_t probes{0};
    /// Requests that were due but not sent, because too many were in progress.
    std::uint64_t not_sent{0};
    std::uint64_t answered{0};
    std::uint64_t refused_not_run{0};
    std::uint64_t refused_unknown{0};
    /// Requests whose connection to an instance failed: those that were certainly not sent, and
    /// those that may have run.
    std::uint64_t connection_not_run{0};
    std::uint64_t connection_unknown{0};
    /// Answers that do not belong to their request, or are incomplete.
    std::uint64_t wrong_answers{0};
    /// Failures without an outcome or without `retry-after`, and requests without an answer.
    std::uint64_t unclear_failures{0};
    /// Number of refusals by the step named in their body.
    std::map<std::string, std::uint64_t> refusals_by_step;
    /// Answer times, one for each answered request.
    std::vector<duration> latencies;
    /// Interruptions of keys: the time from the first failed request of a key to its next answer,
    /// and the time of each answer that took longer than 200 ms.
    std::vector<duration> gaps;
    /// Keys that were without an answer for at least the last second.
    std::uint64_t keys_unserved{0};
    execution_audit::findings audit;
    /// Stand-in servers whose records could not be read at the end.
    std::vector<std::string> failed_servers;
    /// The first wrong answers and unclear failures.
    std::vector<std::string> examples;

    /// Descriptions of the guarantees that were violated. Interruptions longer than `max_gap` count
    /// as violations, unless it is zero.
    auto violations(duration max_gap) const -> std::vector<std::string>;
};

auto to_json(const load_report& report, duration max_gap) -> nlohmann::json;
auto to_text(const load_report& report, duration max_gap) -> std::string;

} // namespace cornelswitch
