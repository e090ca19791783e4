#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/key_range.h"
#include "routing/key_rate_estimator.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelswitch {

/// A server that may own keys.
struct planned_server {
    server_id id;
    /// Requests per second that it completes when all its slots are busy.
    double capacity{1.0};
    /// Number of requests that wait for its keys.
    std::size_t backlog{0};
    std::uint32_t slots{1};
};

/// A range and its owner as the planner sees it.
struct planned_range {
    key_range keys;
    /// None when the range needs an owner.
    std::optional<server_id> owner;
    /// The range is already moving to another owner and must not be part of a new move.
    bool is_moving{false};
};

struct range_move {
    key_range keys;
    server_id target;

    friend auto operator==(const range_move&, const range_move&) -> bool = default;
};

/// Plans which keys move to which server.
///
/// Busy keys are close together, and the cost of a move is the number of keys in it. The planner
/// therefore moves the narrowest slices that carry the excess load of a busy server to servers with
/// spare capacity.
class range_planner {
public:
    /// Maximum number of moves in one plan of a small service, because each move interrupts its
    /// keys for a moment. Ranges without an owner are exempt.
    static constexpr std::size_t max_moves = 24;
    /// Larger services may move keys of every n-th server in one plan: the share of the keys that
    /// are interrupted stays the same, and returning servers are filled as fast as in a small
    /// service.
    static constexpr std::size_t servers_per_move = 4;

    /// Time for which a hot group of keys stays on the server that it moved to, even if another one
    /// seems faster. A move takes the group out of service for about half a second and makes its
    /// new owner slow for some seconds, while the measured speed of servers changes several times a
    /// second.
    static constexpr duration hot_group_dwell = std::chrono::seconds{5};

    /// `servers` may own keys. Keys of owners that are not among them move to `servers`.
    auto plan(const std::vector<planned_server>& servers, const std::vector<planned_range>& ranges,
              const key_rate_estimator& key_rates, time_point now) -> std::vector<range_move>;

private:
    /// When each hot group last moved to a faster server, by number of the group.
    std::map<std::uint32_t, time_point> hot_group_moves_;
};

} // namespace cornelswitch
