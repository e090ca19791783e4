#pragma once

#include "core/clock.h"

namespace cornelswitch {

inline auto to_ms(duration it) -> double
{
    return std::chrono::duration<double, std::milli>{it}.count();
}

inline auto from_ms(double ms) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
}

} // namespace cornelswitch
