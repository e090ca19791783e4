#include "tests/ownership/restorable_store.h"

#include <algorithm>
#include <iterator>

namespace cornelswitch::test {

auto restorable_store::newest() const -> std::optional<coordinator_record>
{
    return entries_.empty() ? std::nullopt : std::optional{entries_.back().record};
}

auto restorable_store::since(std::size_t first) const -> std::vector<coordinator_record>
{
    std::vector<coordinator_record> out;
    for (auto n = first; n < entries_.size(); ++n) {
        out.push_back(entries_[n].record);
    }
    return out;
}

auto restorable_store::append(const coordinator_record& record, std::size_t expected_end,
                              time_point now) -> bool
{
    if (entries_.size() != expected_end) {
        return false;
    }
    entries_.push_back({record, now});
    return true;
}

auto restorable_store::restore(time_point copied_at) -> std::size_t
{
    ++era_;
    auto first_lost =
        std::ranges::find_if(entries_, [&](const entry& it) { return it.stored_at > copied_at; });
    auto lost = static_cast<std::size_t>(std::distance(first_lost, entries_.end()));
    entries_.erase(first_lost, entries_.end());
    return lost;
}

} // namespace cornelswitch::test
