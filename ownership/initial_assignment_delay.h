#pragma once

#include "core/clock.h"

#include <cstddef>

namespace cornelswitch {

/// Delays the first assignment of the keys of a service until most of its servers are known.
///
/// Servers register one after another, and their list is polled. If all keys were assigned to the
/// servers of the first read, the other servers would get no requests until the load imbalance
/// shows.
class initial_assignment_delay {
public:
    /// The delay ends when no server has joined for this time, which covers more than two reads of
    /// the list.
    static constexpr duration stable_time = std::chrono::milliseconds{1500};
    /// Maximum delay since the first server was seen, so that servers that keep joining do not
    /// delay the assignment indefinitely.
    static constexpr duration max_delay = std::chrono::seconds{4};

    /// Reports that the list was read and has `count` servers of the service.
    auto on_server_list(std::size_t count, time_point now) -> void;
    auto has_elapsed(time_point now) const -> bool;

private:
    std::size_t server_count_{0};
    time_point first_seen_at_{};
    time_point last_join_at_{};
};

} // namespace cornelswitch
