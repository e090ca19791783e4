#pragma once

#include <cstdint>

namespace cornelswitch {

/// Token bucket that limits extra requests, which are retries or hedges, to a share of the
/// requests. Each request adds `percent` hundredths of a token, and an extra request takes one
/// token.
class retry_budget {
public:
    /// Maximum number of tokens, which limits the burst of retries after a quiet period.
    static constexpr std::uint32_t capacity = 10;

    /// A new bucket holds one token, so that the first failure after a start can be retried.
    explicit retry_budget(std::uint32_t percent);

    auto set_percent(std::uint32_t percent) -> void { percent_ = percent; }
    auto on_request() -> void;
    /// Takes a token. Returns false if there is none.
    auto try_spend() -> bool;
    /// Gives back the token of an extra request that did not run.
    auto refund() -> void;
    auto available() const -> bool { return hundredths_ >= 100; }

private:
    std::uint32_t percent_;
    std::uint32_t hundredths_;
};

/// Retry and hedge budgets for the requests of one service and profile. Every `entry_router`, which
/// routes the requests that callers send to its instance, has its own.
struct service_budgets {
    retry_budget retries;
    retry_budget hedges;
};

} // namespace cornelswitch
