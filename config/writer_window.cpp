#include "config/writer_window.h"

#include <algorithm>

namespace cornelswitch {

namespace {

auto is_applied(const writer_window::entry& it, std::uint64_t sequence) -> bool
{
    if (sequence > it.highest_sequence) {
        return false;
    }
    auto age = it.highest_sequence - sequence;
    return age >= writer_window::sequences_per_writer || ((it.applied_bits >> age) & 1U) != 0;
}

auto mark_applied(writer_window::entry& it, std::uint64_t sequence) -> void
{
    if (sequence <= it.highest_sequence) {
        it.applied_bits |= std::uint64_t{1} << (it.highest_sequence - sequence);
        return;
    }
    auto step = sequence - it.highest_sequence;
    it.applied_bits = step >= writer_window::sequences_per_writer ? 0 : it.applied_bits << step;
    it.applied_bits |= 1U;
    it.highest_sequence = sequence;
}

} // namespace

auto writer_window::contains(const record_header& header) const -> bool
{
    auto it = entries_.find({header.writer, header.boot});
    return it != entries_.end() && is_applied(it->second, header.sequence.value());
}

auto writer_window::insert(const record_header& header, log_offset offset) -> bool
{
    auto key = writer_key{header.writer, header.boot};
    auto it = entries_.find(key);
    if (it == entries_.end()) {
        if (entries_.size() >= max_writers) {
            evict_oldest();
        }
        auto added = entry{header.sequence.value(), 1, offset.value()};
        entries_.emplace(std::move(key), added);
        return true;
    }
    if (is_applied(it->second, header.sequence.value())) {
        return false;
    }
    mark_applied(it->second, header.sequence.value());
    it->second.last_offset = offset.value();
    return true;
}

auto writer_window::evict_oldest() -> void
{
    auto oldest =
        std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
            return a.second.last_offset < b.second.last_offset;
        });
    entries_.erase(oldest);
}

} // namespace cornelswitch
