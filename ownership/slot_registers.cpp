#include "ownership/slot_registers.h"

#include "core/hash.h"

namespace cornelswitch {

namespace {

auto replaces(const register_value& value, const register_value& old) -> bool
{
    if (value.epoch != old.epoch) {
        return value.epoch > old.epoch;
    }
    if (old.committed) {
        return false;
    }
    return value.committed || value.term >= old.term;
}

auto hash_value(const slot_key& key, const register_value& it) -> std::uint64_t
{
    auto out = hash_bytes(key.service.value(), key.slot.value());
    out = hash_bytes(it.target ? it.target->value() : "", out ^ it.epoch.major);
    out = hash_bytes(it.from.value(), out ^ it.epoch.minor);
    // Members may store a committed value under different terms, so its term is not hashed.
    return out ^ (it.committed ? 1 : it.term.value() << 1U);
}

} // namespace

auto is_recorded(const slot_key& key, const register_value& value, const ownership_state& log)
    -> bool
{
    auto view = log.slot(key.service, key.slot);
    if (view.epoch.major != value.epoch.major) {
        return view.epoch.major > value.epoch.major;
    }
    if (!value.target) {
        return view.released;
    }
    return view.released || view.epoch.minor >= value.epoch.minor;
}

auto slot_registers::write(const std::vector<register_entry>& entries, const ownership_state& log)
    -> void
{
    for (const auto& it : entries) {
        auto found = registers_.find(it.key);
        if (found != registers_.end()) {
            if (replaces(it.value, found->second.value)) {
                found->second = {it.value, std::nullopt};
                ++version_;
            }
            continue;
        }
        if (!is_recorded(it.key, it.value, log)) {
            registers_[it.key] = {it.value, std::nullopt};
            ++version_;
        }
    }
}

auto slot_registers::drop_recorded(const ownership_state& log, log_offset applied_by_all) -> void
{
    for (auto it = registers_.begin(); it != registers_.end();) {
        auto& [key, reg] = *it;
        if (!reg.recorded_at && is_recorded(key, reg.value, log)) {
            reg.recorded_at = log.end();
        }
        if (reg.recorded_at && *reg.recorded_at <= applied_by_all) {
            it = registers_.erase(it);
            ++version_;
        } else {
            ++it;
        }
    }
}

auto slot_registers::find(const slot_key& key) const -> const register_value*
{
    auto it = registers_.find(key);
    return it == registers_.end() ? nullptr : &it->second.value;
}

auto slot_registers::owner_of(const slot_key& key, const ownership_state& log) const -> owner
{
    auto view = log.slot(key.service, key.slot);
    const auto* value = find(key);
    if (value != nullptr && !is_recorded(key, *value, log)) {
        return {value->committed ? value->target : std::nullopt, value->epoch};
    }
    if (view.server == nullptr || view.released) {
        return {std::nullopt, view.epoch};
    }
    return {*view.server, view.epoch};
}

auto slot_registers::entries() const -> std::vector<register_entry>
{
    std::vector<register_entry> out;
    out.reserve(registers_.size());
    for (const auto& [key, it] : registers_) {
        out.push_back({key, it.value});
    }
    return out;
}

auto slot_registers::digest() const -> std::uint64_t
{
    std::uint64_t out = 0;
    for (const auto& [key, it] : registers_) {
        out += hash_value(key, it.value);
    }
    return out;
}

auto slot_registers::for_each(
    const std::function<void(const slot_key&, const register_value&)>& visit) const -> void
{
    for (const auto& [key, it] : registers_) {
        visit(key, it.value);
    }
}

} // namespace cornelswitch
