#pragma once

#include "core/clock.h"

namespace cornelswitch {

/// Clock for tests and virtual-time benchmarks; only `advance` changes its time.
class manual_clock final : public clock {
public:
    auto now() const -> time_point override { return now_; }
    auto wall_now() const -> wall_time_point override { return wall_now_; }

    auto advance(duration step) -> void
    {
        now_ += step;
        wall_now_ += std::chrono::duration_cast<wall_time_point::duration>(step);
    }

private:
    time_point now_{std::chrono::seconds{1}};
    wall_time_point wall_now_{std::chrono::seconds{1'700'000'000}};
};

} // namespace cornelswitch
