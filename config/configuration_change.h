#pragma once

#include "config/configuration.h"

#include <string>
#include <vector>

namespace cornelswitch {

/// Returns the reasons why `next` must not replace `current`, as text for operators; empty if the
/// change is allowed. `hash_slots` and `keyed` of an existing service cannot change, because
/// the slots that running instances and servers use would no longer match those of the keys.
auto check_change(const configuration& current, const configuration& next)
    -> std::vector<std::string>;

} // namespace cornelswitch
