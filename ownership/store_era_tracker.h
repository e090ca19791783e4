#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Meaning of a response of the store for an instance that has seen certain eras.
enum class era_class : std::uint8_t {
    /// The response is from the present era, or from a store without eras.
    current,
    /// The store was restored from a copy: what was read and written before may be lost.
    new_era,
    /// The response is from an earlier era or names none, and is not to be used.
    stale,
};

auto to_string(era_class it) -> std::string_view;

/// Highest era of the store that an instance has seen, by which it classifies responses.
///
/// The store increases its era with each restore from a copy. Responses and news of other instances
/// may arrive late, so only a higher era is news. A jump by several eras counts as one restore. The
/// class does no I/O.
class store_era_tracker {
public:
    /// Era that a response names: none without the header, an error when it is malformed.
    using named_era = result<std::optional<store_era>>;

    /// Classifies a response and takes over its era if it is new. A response without an era is
    /// current until an era was seen, and stale afterwards.
    auto on_response(const named_era& named, std::string_view peer, time_point now) -> era_class;
    /// Processes the highest era that another instance has seen. Returns whether it is new here.
    auto on_peer_era(store_era era, std::string_view peer, time_point now) -> bool;

    /// Highest era that was seen; 0 when none was.
    auto era() const -> store_era { return era_; }
    /// When the present era was first seen.
    auto seen_at() const -> time_point { return seen_at_; }
    /// Store address or instance from which the present era was first known.
    auto seen_from() const -> const std::string& { return seen_from_; }
    auto stale_responses() const -> std::uint64_t { return stale_responses_; }

private:
    store_era era_;
    time_point seen_at_{};
    std::string seen_from_;
    std::uint64_t stale_responses_{0};
};

} // namespace cornelswitch
