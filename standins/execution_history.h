#pragma once

#include "core/clock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace cornelswitch {

/// One request that the stand-in backend server executed. Times count from the machine's boot, so
/// that histories of servers on one machine can be compared.
struct execution {
    /// Request id that the caller sent in `standin-request`; if absent, the dispatcher's id from
    /// `cornelswitch-request-id`.
    std::string request;
    std::string service;
    std::string key;
    std::string method;
    std::string slot;
    std::string epoch;
    std::string term;
    time_point started;
    time_point ended;
};

/// Bounded history of executions. The oldest are dropped first.
class execution_history {
public:
    static constexpr std::size_t default_capacity = 400'000;

    explicit execution_history(std::size_t capacity = default_capacity) : capacity_{capacity} {}

    auto add(execution it) -> void;
    /// Number of all executions since the start, dropped ones included.
    auto count() const -> std::uint64_t { return first_ + executions_.size(); }
    /// `{"first","end","executions":[...]}` with up to `limit` elements from number `from`.
    auto page(std::uint64_t from, std::size_t limit) const -> nlohmann::json;

private:
    std::size_t capacity_;
    /// Number of the oldest execution that is kept.
    std::uint64_t first_{0};
    std::deque<execution> executions_;
};

} // namespace cornelswitch
