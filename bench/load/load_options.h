#pragma once

#include "config/configuration.h"
#include "core/clock.h"

#include <string>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Options of the load generator.
struct load_options {
    /// Caller addresses of the instances; requests are distributed round robin.
    std::vector<endpoint> callers;
    /// Keyed service; empty for none.
    std::string keyed_service;
    /// Service for downloads; empty for none.
    std::string download_service;
    /// Names and addresses of the stand-in backend servers whose records are read.
    std::vector<std::pair<std::string, endpoint>> servers;
    /// Requests per second, sent whether or not earlier ones were answered.
    std::uint32_t rate{500};
    /// Duration of the run.
    duration time{std::chrono::seconds{10}};
    std::uint32_t keys{100};
    std::uint32_t write_percent{30};
    std::uint32_t download_percent{10};
    std::uint32_t deadline_ms{2000};
    std::uint64_t seed{1};
    /// Maximum time for which a key may be without an answer; zero for no check.
    duration max_gap{0};
};

/// Limits of a run, so that a wrong option cannot overload the machine.
inline constexpr std::uint32_t max_rate = 20'000;
inline constexpr std::uint32_t max_seconds = 300;
inline constexpr std::uint32_t max_keys = 100'000;
inline constexpr std::size_t max_in_flight = 2000;

} // namespace cornelswitch
