#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace cornelswitch {

/// A server that may get the request.
struct server_candidate {
    server_id server;
    bool same_zone{false};
    bool straggler{false};
    /// Requests of this entry that are in progress at the server.
    std::uint32_t outstanding{0};
    /// Expected time from sending one more request to its response, excluding network delay.
    duration expected_time{0};
};

/// Returns an index into the candidates, which are never empty.
using server_choice_hook =
    std::function<std::size_t(const std::vector<server_candidate>&, random_engine&)>;

/// Round-trip delay to another zone. A server there is chosen only if it is faster by more than
/// this.
inline constexpr duration remote_zone_delay = std::chrono::microseconds{1400};

/// Power of two choices: compares two random candidates of the same zone, and the better one with
/// the better of two random candidates of other zones. Stragglers are chosen only if there are no
/// other candidates.
auto choose_power_of_two(const std::vector<server_candidate>& candidates, random_engine& random)
    -> std::size_t;
/// Baseline strategies for benchmarks.
auto choose_random(const std::vector<server_candidate>& candidates, random_engine& random)
    -> std::size_t;
auto choose_least_outstanding(const std::vector<server_candidate>& candidates,
                              random_engine& random) -> std::size_t;
auto make_round_robin() -> server_choice_hook;

} // namespace cornelswitch
