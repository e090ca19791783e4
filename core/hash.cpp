#include "core/hash.h"

#include <xxhash.h>

namespace cornelswitch {

auto hash_bytes(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto hash_key(std::string_view key) -> key_hash
{
    return key_hash{hash_bytes(key)};
}

auto rendezvous_weight(std::string_view item, std::string_view candidate) -> std::uint64_t
{
    return hash_bytes(candidate, hash_bytes(item));
}

} // namespace cornelswitch
