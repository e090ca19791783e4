#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "daemon/messages.h"
#include "routing/hot_key_counter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Counts the requests of one backend server by slot and key, to find the slots that are in use and
/// those with the most requests.
class slot_activity {
public:
    /// Applies to the slots and the keys of a report separately.
    static constexpr std::size_t max_reported_entries = 64;

    /// A request arrived.
    auto begin(std::optional<slot_index> slot, std::optional<key_hash> key) -> void;
    /// The request has ended at the server, or never reached it.
    auto end(std::optional<slot_index> slot) -> void;
    /// The caller canceled a request that may still run. Its slot stays in use until `until` or a
    /// call of `release`.
    auto abandon(request_id id, std::optional<slot_index> slot, time_point until) -> void;
    /// The server has confirmed that the abandoned request does not run.
    auto release(request_id id) -> void;
    auto expire(time_point now) -> void;

    auto in_use(slot_index slot) const -> bool { return in_use_.contains(slot); }
    /// Adds the slots and keys with the most requests to the report. The slots are counted from
    /// zero afterwards; the counts of the keys decay.
    auto fill_report(server_load_report& report) -> void;

private:
    struct abandoned {
        slot_index slot;
        time_point until;
    };

    std::unordered_map<slot_index, std::uint32_t> in_use_;
    std::map<request_id, abandoned> abandoned_;
    std::unordered_map<slot_index, std::uint32_t> counts_;
    hot_key_counter keys_;
};

} // namespace cornelswitch
