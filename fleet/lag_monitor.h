#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cornelswitch {

/// Compares the end offsets of an instance's copies of the store's topics with those that other
/// instances report.
///
/// The instance that forwards updates may be alive and yet lag behind because it is short of
/// processor time or its send queue is full. Only a comparison with other instances shows that.
class lag_monitor {
public:
    /// The caller's number for a topic.
    using topic_index = std::size_t;

    /// Time for which a record may be missing here while another instance has it; covers delivery.
    static constexpr duration allowed_lag = std::chrono::milliseconds{500};
    /// Time after a change of the source without another change; doubles while changes follow each
    /// other closely.
    static constexpr duration min_switch_backoff = std::chrono::milliseconds{700};
    static constexpr duration max_switch_backoff = std::chrono::seconds{6};

    /// `instance` reports that its copy of the topic ends at `end`.
    auto on_peer_report(const instance_id& instance, topic_index topic, log_offset end,
                        log_offset own_end, time_point now) -> void;
    /// This instance's own copy of the topic now ends at `end`.
    auto on_own_progress(topic_index topic, log_offset end) -> void;
    /// Returns an instance that has had more records than this one for too long; none when this one
    /// keeps up or changed its source recently.
    auto find_source_ahead(time_point now) const -> std::optional<instance_id>;
    /// This instance has subscribed to another source.
    auto on_source_change(time_point now) -> void;

private:
    struct observed_lag {
        instance_id instance;
        log_offset end;
        time_point since{};
    };

    /// The oldest lag of each topic that lags.
    std::map<topic_index, observed_lag> lags_;
    duration switch_backoff_{0};
    time_point source_changed_at_{};
};

} // namespace cornelswitch
