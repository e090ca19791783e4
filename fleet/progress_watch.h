#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cornelswitch {

/// Compares how far an instance's copies of the store's topics reach with what other instances say
/// of theirs.
///
/// Whoever passes news on may be alive and yet behind: short of processor time, or with a full
/// queue on the way. Only a comparison with others shows that.
class progress_watch {
public:
    /// Number of a topic.
    using topic_number = std::size_t;

    /// A copy may lack what another one has for this long while it is on its way.
    static constexpr duration grace = std::chrono::milliseconds{500};
    /// Pause after a change of the source, doubled while the next one does not help either.
    static constexpr duration first_pause = std::chrono::milliseconds{700};
    static constexpr duration longest_pause = std::chrono::seconds{6};

    /// The copy of `node` ends at `end`.
    auto on_report(const instance_id& node, topic_number topic, log_offset end, log_offset own_end,
                   time_point now) -> void;
    /// The instance's own copy ends at `end` now.
    auto on_progress(topic_number topic, log_offset end) -> void;
    /// An instance that had more than this one for too long; none when this one keeps up or has
    /// just changed its source.
    auto find_better(time_point now) const -> std::optional<instance_id>;
    /// This instance takes its news from another one from now on.
    auto on_change(time_point now) -> void;

private:
    struct lack {
        instance_id node;
        log_offset end;
        time_point since{};
    };

    /// For each topic the first thing that is missing.
    std::map<topic_number, lack> lacks_;
    duration pause_{0};
    time_point changed_at_{};
};

} // namespace cornelswitch
