#include "config/configuration_change.h"

namespace cornelswitch {

auto check_change(const configuration& current, const configuration& next)
    -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (const auto& it : next.services) {
        const auto* old = current.find_service(it.name);
        if (old == nullptr) {
            continue;
        }
        auto name = "service " + it.name.value() + ": ";
        if (old->hash_slots != it.hash_slots) {
            out.push_back(name + "hash_slots is " + std::to_string(old->hash_slots) +
                          " and cannot become " + std::to_string(it.hash_slots) +
                          "; add a service with another name instead");
        }
        if (old->keyed != it.keyed) {
            out.push_back(name + "keyed cannot change; add a service with another name instead");
        }
    }
    return out;
}

} // namespace cornelswitch
