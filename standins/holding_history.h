#pragma once

#include "core/clock.h"
#include "ownership/grant_messages.h"
#include "ownership/slot_register.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <map>
#include <vector>

namespace cornelswitch {

/// History of the slots that a stand-in backend server was allowed to serve. A recorded holding
/// lasts from its first sample to its last, so it is never longer than the actual one: overlapping
/// holdings of two servers prove that the slot had two owners. Bounded; the oldest closed holdings
/// are dropped first.
class holding_history {
public:
    static constexpr std::size_t max_closed = 200'000;

    /// `held` contains the slots that the server may serve at `now`.
    auto sample(const std::vector<grant_group>& held, time_point now) -> void;
    /// `{"dropped":N,"holdings":[{"service","slot","epoch","from_ns","until_ns"}]}`.
    auto to_json() const -> nlohmann::json;

private:
    struct holding {
        slot_epoch epoch;
        time_point from;
        /// Last sample in which the slot was held under the epoch.
        time_point until;
    };

    std::map<slot_key, holding> open_;
    std::deque<std::pair<slot_key, holding>> closed_;
    std::uint64_t dropped_{0};
};

} // namespace cornelswitch
