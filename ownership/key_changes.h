#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "ownership/planner_view.h"
#include "ownership/records.h"
#include "ownership/slot_table.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Pending splits and merges: hot keys that are to get their own slot, and split-off keys that are
/// to return to their parent slot. A change needs the release of the slots concerned, and entries
/// in the record that assigns them again.
class key_changes {
public:
    /// Maximum number of pending changes; further requests are ignored.
    static constexpr std::size_t max_pending = 64;
    /// Time after which a pending change is discarded.
    static constexpr duration timeout{std::chrono::seconds{30}};

    enum class kind : std::uint8_t { split, merge };

    auto request(const service_id& service, key_hash key, kind change_kind, time_point now) -> void;
    /// Removes changes that are complete, no longer possible, or timed out.
    auto remove_finished(const planner_view& view) -> void;

    /// Slots that must be released for the first `limit` pending changes.
    auto slots_to_release(const service_id& service, const slot_table& table,
                          std::size_t limit) const -> std::vector<std::uint32_t>;
    /// Removes the slots from `unowned` that must not be assigned because of a merge: a parent slot
    /// until both slots are released, and the slot that the merge removes.
    auto remove_blocked_slots(const service_id& service, const slot_table& table,
                              std::vector<std::uint32_t>& unowned) const -> void;
    /// Adds entries to `record` for the changes whose parent slot it assigns. `next_server` returns
    /// the server for the next split-off key.
    auto add_split_and_merge_entries(const service_id& service, const slot_table& table,
                                     const std::function<server_id()>& next_server,
                                     assignment_record& record) const -> void;

private:
    struct key_change {
        kind change_kind{kind::split};
        time_point requested;
    };

    /// Calls `handle(key, kind, own slot, parent slot)` for each pending change of a service.
    template<typename handler>
    auto for_each(const service_id& service, const slot_table& table, const handler& handle) const
        -> void;

    std::map<std::pair<service_id, key_hash>, key_change> pending_;
};

} // namespace cornelswitch
