#include "adapters/system_clock.h"

#include <ctime>

namespace cornelswitch {

auto system_clock::now() const -> time_point
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

auto system_clock::wall_now() const -> wall_time_point
{
    return std::chrono::system_clock::now();
}

} // namespace cornelswitch
