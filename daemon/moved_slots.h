#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "daemon/view_builder.h"
#include "ownership/slot_register.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch {

/// Path of announcements of transfers; the body is an encoded `register_copy`.
inline constexpr std::string_view moved_slots_path = "/moved-slots";

/// Transfers that the log may not have recorded yet, from the cells of this instance and from the
/// announcements of other instances. Entries route by them immediately. They are hints, because the
/// dispatcher and the backend server check the epoch.
class moved_slots {
public:
    /// A reachable log records a transfer within this time. Transfers that are still unrecorded are
    /// announced to the other instances.
    static constexpr duration announce_after = std::chrono::milliseconds{100};
    static constexpr duration announce_interval = std::chrono::seconds{1};

    /// Sets the unrecorded transfers that a cell of this instance has committed. Returns whether
    /// they differ from the previous ones.
    auto set_own(cell_id cell, const std::vector<register_entry>& entries, time_point now) -> bool;
    /// Sets the transfers that another instance has announced. Returns whether they differ from the
    /// previous ones.
    auto set_announced(cell_id cell, const std::vector<register_entry>& entries) -> bool;

    /// All transfers, for the routing view.
    auto all() const -> std::vector<moved_slot>;

    /// Returns the cells whose transfers are to be announced now, and schedules their next
    /// announcements.
    auto take_due_announcements(time_point now) -> std::vector<cell_id>;
    auto own(cell_id cell) const -> const std::vector<register_entry>&;
    /// Whether `instance` has not confirmed the current transfers of the cell.
    auto is_unconfirmed(cell_id cell, const instance_id& instance) const -> bool;
    /// Records that `instance` has received `entries`. Ignored when the transfers have changed
    /// since.
    auto confirm(cell_id cell, const std::vector<register_entry>& entries,
                 const instance_id& instance) -> void;

private:
    struct own_state {
        std::vector<register_entry> entries;
        time_point announce_at;
        std::set<instance_id> confirmed;
    };

    std::map<cell_id, own_state> own_;
    std::map<cell_id, std::vector<register_entry>> announced_;
};

} // namespace cornelswitch
