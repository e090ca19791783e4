#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace cornelswitch {

/// Limits the rate of appends that an agent derives from its state: at most one append per purpose
/// is in progress, and the next one starts only after a pause that leaves time for the record to
/// show in the applied state. Appending a record twice is harmless, because the state drops the
/// second one by its epoch.
class append_throttle {
public:
    /// Whether `try_start` would return a ticket. Lets callers skip the search for entries.
    auto is_ready(const std::string& purpose, time_point now) const -> bool;
    /// Starts an append and returns its ticket, or 0 when one for `purpose` is in progress or has
    /// just ended.
    auto try_start(const std::string& purpose, time_point now) -> std::uint64_t;
    auto finish(std::uint64_t ticket, time_point now) -> void;

private:
    struct entry {
        std::uint64_t ticket{0};
        time_point not_before;
    };

    std::map<std::string, entry> entries_;
    std::uint64_t last_ticket_{0};
};

} // namespace cornelswitch
