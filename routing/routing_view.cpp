#include "routing/routing_view.h"

namespace cornelswitch {

auto service_view::slot_of(key_hash key) const -> slot_index
{
    auto it = overrides.find(key);
    if (it != overrides.end()) {
        return it->second;
    }
    return slot_index{static_cast<std::uint32_t>(key.value() % config.hash_slots)};
}

} // namespace cornelswitch
