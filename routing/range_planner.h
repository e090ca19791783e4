#pragma once

#include "core/ids.h"
#include "ownership/key_range.h"
#include "routing/key_heat.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cornelswitch {

/// A server that may own keys.
struct planned_server {
    server_id id;
    /// Requests per second that it completes with all slots busy.
    double capacity{1.0};
    /// Requests that wait for its keys.
    std::size_t backlog{0};
    std::uint32_t slots{1};
};

/// A range and its owner as the planner sees it.
struct planned_range {
    key_range keys;
    /// None when the range needs an owner.
    std::optional<server_id> owner;
    /// The range is changing hands and must be left alone.
    bool is_moving{false};
};

struct range_move {
    key_range keys;
    server_id target;

    friend auto operator==(const range_move&, const range_move&) -> bool = default;
};

/// Chooses which keys move to which server.
///
/// Busy keys lie close together, and a move is priced by the number of its keys, so the narrowest
/// slices that carry the excess of a busy server are moved to servers with room.
class range_planner {
public:
    /// Moves that one plan contains at most; each one interrupts its keys for a moment.
    static constexpr std::size_t max_moves = 24;

    /// `servers` may own keys; owners that are not among them lose theirs.
    auto plan(const std::vector<planned_server>& servers, const std::vector<planned_range>& ranges,
              const key_heat& heat, time_point now) const -> std::vector<range_move>;
};

} // namespace cornelswitch
