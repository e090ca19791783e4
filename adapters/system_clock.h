#pragma once

#include "core/clock.h"

namespace cornelswitch {

/// The machine's clocks: CLOCK_BOOTTIME, which counts suspended time, and the wall clock.
class system_clock final : public clock {
public:
    auto now() const -> time_point override;
    auto wall_now() const -> wall_time_point override;
};

} // namespace cornelswitch
