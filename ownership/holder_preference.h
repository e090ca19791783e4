#pragma once

#include "core/ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cornelswitch {

/// Returns, for each server, the order in which the live members of a cell request its lease: first
/// the member that rendezvous hashing with bounded load selects, then the others by weight.
/// `servers` and `members` must be sorted, so that all members with the same lists compute the same
/// order.
auto preferred_holders(const std::vector<server_id>& servers,
                       const std::vector<instance_id>& members)
    -> std::map<server_id, std::vector<instance_id>>;

} // namespace cornelswitch
