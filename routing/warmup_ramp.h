#pragma once

#include "core/clock.h"

#include <cstdint>

namespace cornelswitch {

/// In-flight limit of a server during its warm-up. It starts at `start` and grows by one after
/// every `successes` successful responses until it reaches the server's concurrency.
class warmup_ramp {
public:
    /// Consecutive failures that indicate a cold or restarted server.
    static constexpr std::uint32_t cold_failures = 3;
    /// A cold episode begins when the latency exceeds the server's baseline by this factor.
    static constexpr double cold_latency_factor = 4.0;
    /// A cold episode ends when the latency is below this factor of the baseline. One episode
    /// restarts the ramp only once.
    static constexpr double recovered_latency_factor = 2.0;

    warmup_ramp(std::uint32_t start, std::uint32_t successes, std::uint32_t concurrency);

    auto configure(std::uint32_t start, std::uint32_t successes, std::uint32_t concurrency) -> void;
    auto restart() -> void;
    auto on_success(duration latency) -> void;
    auto on_failure() -> void;
    /// The server refused a request that the ramp allowed, so the current limit is too high.
    auto on_shed() -> void;

    auto limit() const -> std::uint32_t { return limit_; }
    auto warm() const -> bool { return limit_ >= concurrency_; }

private:
    auto check_latency(duration latency) -> void;

    std::uint32_t start_;
    std::uint32_t successes_needed_;
    std::uint32_t concurrency_;
    std::uint32_t limit_;
    std::uint32_t successes_{0};
    std::uint32_t failures_{0};
    std::uint32_t samples_{0};
    double recent_{0};
    double baseline_{0};
    bool cold_episode_{false};
};

} // namespace cornelswitch
