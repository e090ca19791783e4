#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace cornelswitch {

/// A refused request for which a time to return is needed.
struct returning_request {
    /// Owner whose queue has no room; none for the queue that all servers share.
    std::optional<server_id> owner;
    std::uint32_t priority{0};
    std::uint32_t work_class{0};
    /// The caller keeps its deadline when it returns, so the deadline identifies it.
    time_point deadline;
    /// Latency objective at the first attempt.
    time_point objective;
};

/// Place of a returning caller.
struct return_place {
    time_point due;
    time_point objective;
};

/// Tells refused callers when there will be room and recognizes them when they return. Places are
/// given in order of priority, at intervals that leave room for new requests. The state is bounded
/// and may be lost: a caller that is not recognized counts as a new one.
class return_schedule {
public:
    /// Time after which the caller should return. `wait` is the time until the requests ahead of it
    /// are sent and `delay` the time by which the request delays others. The caller has a place
    /// at this time if `has_place` is true.
    struct invitation {
        duration retry_after{0};
        bool has_place{false};
    };
    auto invite(const returning_request& request, duration wait, duration delay, time_point now)
        -> invitation;
    /// Takes the place of a caller that returns on time. A caller that returns early has none.
    auto take(const returning_request& request, time_point now) -> std::optional<return_place>;
    /// Removes places whose callers did not return.
    auto remove_expired(time_point now) -> void;
    auto size() const -> std::size_t { return places_.size(); }

private:
    /// Work class, priority and deadline.
    using place_key = std::tuple<std::uint32_t, std::uint32_t, time_point>;
    /// Owner and priority.
    using line_key = std::pair<std::optional<server_id>, std::uint32_t>;

    /// Callers of a burst may have the same deadline.
    std::multimap<place_key, return_place> places_;
    /// Time from which the next place of a priority is free.
    std::map<line_key, time_point> next_free_;
};

} // namespace cornelswitch
