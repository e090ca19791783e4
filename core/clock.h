#pragma once

#include <chrono>

namespace cornelswitch {

/// Clock type of time points that include time in system suspend (CLOCK_BOOTTIME). Time points of
/// different machines cannot be compared.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using time_point = boot_clock::time_point;
using duration = boot_clock::duration;
using wall_time_point = std::chrono::system_clock::time_point;

/// Source of time for tasks. Code that makes decisions does not read a clock but receives the time
/// as an argument.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    auto operator=(const clock&) -> clock& = delete;
    virtual ~clock() = default;

    /// Time since the machine booted, including time in system suspend. Monotonic.
    virtual auto now() const -> time_point = 0;
    /// Wall-clock time. It may jump, so no safety rule may depend on it.
    virtual auto wall_now() const -> wall_time_point = 0;
};

} // namespace cornelswitch
