#pragma once

#include "core/error.h"
#include "gateway/peer_message.h"

#include <functional>
#include <string>

namespace cornelswitch {

/// Finds the value of a key in the receiver's copy; returns null when it has none.
using base_lookup = std::function<const std::string*(const std::string& key)>;

/// Compresses the records of `update` when they are large. The value that the largest record
/// replaces serves as dictionary, so that a change of a large configuration takes a few hundred
/// bytes. `previous` finds values in a copy that ends at `update.from`; without it no dictionary is
/// used and every receiver can decompress the records.
auto compress_update(topic_update& update, const base_lookup& previous) -> void;

/// Decompresses the records of `update`. Errors: `not_found` when the receiver's copy lacks the
/// value that served as dictionary; `invalid_message`.
auto decompress_update(topic_update& update, const base_lookup& own) -> result<void>;

} // namespace cornelswitch
