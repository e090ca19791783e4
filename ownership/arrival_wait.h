#pragma once

#include "core/clock.h"

#include <cstddef>

namespace cornelswitch {

/// Decides when enough servers of a service are known to deal its keys for the first time.
///
/// Servers register one after the other, and the list of them is read in intervals. Whoever deals
/// all keys to the servers of the first read leaves the others without work until the load shows
/// it.
class arrival_wait {
public:
    /// No server has joined for this long: more than two reads of the list.
    static constexpr duration quiet_time = std::chrono::milliseconds{1500};
    /// Longest wait since the first server: servers that join all the time must not hold all keys
    /// back.
    static constexpr duration longest_wait = std::chrono::seconds{4};

    /// The list was read and has `count` servers of the service.
    auto on_list(std::size_t count, time_point now) -> void;
    auto is_over(time_point now) const -> bool;

private:
    std::size_t count_{0};
    time_point first_at_{};
    time_point joined_at_{};
};

} // namespace cornelswitch
