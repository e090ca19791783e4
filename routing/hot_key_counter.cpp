#include "routing/hot_key_counter.h"

#include <algorithm>

namespace cornelswitch {

hot_key_counter::hot_key_counter(std::size_t capacity)
    : capacity_{std::max<std::size_t>(1, capacity)}
{
    keys_.reserve(capacity_);
}

auto hot_key_counter::add(key_hash key) -> void
{
    // Scanning an array of 64 entries costs less than maintaining the usual linked structure.
    auto smallest = keys_.begin();
    for (auto it = keys_.begin(); it != keys_.end(); ++it) {
        if (it->key == key) {
            ++it->count;
            return;
        }
        smallest = it->count < smallest->count ? it : smallest;
    }
    if (keys_.size() < capacity_) {
        keys_.push_back({key, 1, 0});
        return;
    }
    *smallest = {key, smallest->count + 1, smallest->count};
}

auto hot_key_counter::decay() -> void
{
    for (auto& it : keys_) {
        it.count /= 2;
        it.error /= 2;
    }
    std::erase_if(keys_, [](const counted_key& it) { return it.count == 0; });
}

auto hot_key_counter::top(std::size_t n) const -> std::vector<counted_key>
{
    auto out = keys_;
    std::sort(out.begin(), out.end(), [](const counted_key& a, const counted_key& b) {
        return a.count - a.error > b.count - b.error;
    });
    out.resize(std::min(n, out.size()));
    return out;
}

} // namespace cornelswitch
