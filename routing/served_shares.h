#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelswitch {

/// Counts what part of its recent requests each class was served, so that no class is starved by
/// more urgent ones. The number of classes is bounded.
class served_shares {
public:
    /// Notes that requests of the class arrive.
    auto on_arrival(std::uint32_t priority, std::uint32_t work_class, time_point now) -> void;
    auto on_served(std::uint32_t priority, std::uint32_t work_class, time_point now) -> void;
    /// Counts a request that was refused for want of room.
    auto on_refused(std::uint32_t priority, std::uint32_t work_class, time_point now) -> void;

    /// Number of more urgent priorities in use.
    auto level(std::uint32_t priority) const -> std::uint32_t;
    /// The most urgent priority in use; `priority` if it is not known.
    auto most_urgent(std::uint32_t priority) const -> std::uint32_t;
    /// Whether requests were refused for want of room within the last second.
    auto is_short(time_point now) const -> bool;
    /// Whether the class is served less than `min_share` times as often as all requests, and as
    /// those of each more urgent priority.
    auto is_underserved(std::uint32_t priority, std::uint32_t work_class, double min_share,
                        time_point now) const -> bool;
    auto size() const -> std::size_t { return groups_.size(); }

private:
    struct group {
        std::uint32_t priority{0};
        std::uint32_t work_class{0};
        double served{0};
        double refused{0};
        time_point updated_at{};
        time_point arrived_at{};
    };
    struct counts {
        double served{0};
        double refused{0};

        auto add(const group& it, time_point now) -> void;
        /// Share of served requests. A class without requests counts as served.
        auto share() const -> double;
    };

    auto find(std::uint32_t priority, std::uint32_t work_class, time_point now) -> group&;
    auto update_priorities() -> void;

    std::vector<group> groups_;
    /// Priorities of all groups, the most urgent first.
    std::vector<std::uint32_t> priorities_;
    time_point last_refusal_at_{};
    time_point last_cleanup_at_{};
};

} // namespace cornelswitch
