#pragma once

#include "core/error.h"
#include "gateway/peer_message.h"

#include <functional>
#include <string>

namespace cornelswitch {

/// Value of a key in the receiver's copy; null when it has none.
using base_lookup = std::function<const std::string*(const std::string& key)>;

/// Compresses the records of `news` when they are large, relative to the value that the largest one
/// replaces: a change of a large configuration takes a few hundred bytes. `previous` finds the
/// values in the copy of a receiver that is at `news.from`; without it each receiver can read them.
auto pack_news(topic_news& news, const base_lookup& previous) -> void;

/// Makes the records of `news` readable. Errors: `not_found` when the receiver's copy has another
/// value than the sender took for it; `invalid_message`.
auto unpack_news(topic_news& news, const base_lookup& own) -> result<void>;

} // namespace cornelswitch
