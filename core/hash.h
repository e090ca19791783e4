#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string_view>

namespace cornelswitch {

/// XXH3 64-bit hash. The result is the same on every instance and in every release.
auto hash_bytes(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

/// Hash that maps a key to its slot.
auto hash_key(std::string_view key) -> key_hash;

/// Weight of `candidate` for `item` in rendezvous hashing; the candidate with the highest weight is
/// selected.
auto rendezvous_weight(std::string_view item, std::string_view candidate) -> std::uint64_t;

} // namespace cornelswitch
