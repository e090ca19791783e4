#include "core/slot_set.h"

#include <algorithm>
#include <charconv>

namespace cornelswitch {

namespace {

auto syntax_error(std::string_view text) -> error
{
    return {error_code::invalid_message, "slot-set", "",
            "not a sorted list of slots and slot ranges: " + std::string{text}};
}

auto parse_number(std::string_view text, std::uint32_t& out) -> bool
{
    const auto* last = text.data() + text.size();
    auto [ptr, ec] = std::from_chars(text.data(), last, out);
    return ec == std::errc{} && ptr == last;
}

auto parse_range(std::string_view text, slot_set::range& out) -> bool
{
    auto dash = text.find('-');
    if (dash == std::string_view::npos) {
        out.last = 0;
        auto ok = parse_number(text, out.first);
        out.last = out.first;
        return ok;
    }
    return parse_number(text.substr(0, dash), out.first) &&
           parse_number(text.substr(dash + 1), out.last) && out.first <= out.last;
}

// First range that ends at or after `slot`.
auto find_range(std::vector<slot_set::range>& ranges, std::uint32_t slot)
{
    return std::lower_bound(ranges.begin(), ranges.end(), slot,
                            [](const slot_set::range& it, std::uint32_t n) { return it.last < n; });
}

} // namespace

auto slot_set::parse(std::string_view text) -> result<slot_set>
{
    slot_set out;
    while (!text.empty()) {
        auto comma = text.find(',');
        auto part = text.substr(0, comma);
        range it;
        if (!parse_range(part, it)) {
            return syntax_error(part);
        }
        if (!out.ranges_.empty() && it.first <= out.ranges_.back().last) {
            return syntax_error(part);
        }
        if (!out.ranges_.empty() && it.first == out.ranges_.back().last + 1) {
            out.ranges_.back().last = it.last;
        } else {
            out.ranges_.push_back(it);
        }
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
        if (text.empty()) {
            return syntax_error(",");
        }
    }
    return out;
}

auto slot_set::to_text() const -> std::string
{
    std::string out;
    for (const auto& it : ranges_) {
        if (!out.empty()) {
            out += ',';
        }
        out += std::to_string(it.first);
        if (it.last != it.first) {
            out += '-';
            out += std::to_string(it.last);
        }
    }
    return out;
}

auto slot_set::insert(slot_index slot) -> void
{
    auto n = slot.value();
    auto it = find_range(ranges_, n);
    if (it != ranges_.end() && it->first <= n) {
        return;
    }
    auto joins_next = it != ranges_.end() && it->first == n + 1;
    auto joins_previous = it != ranges_.begin() && std::prev(it)->last + 1 == n;
    if (joins_next && joins_previous) {
        std::prev(it)->last = it->last;
        ranges_.erase(it);
    } else if (joins_next) {
        it->first = n;
    } else if (joins_previous) {
        std::prev(it)->last = n;
    } else {
        ranges_.insert(it, range{n, n});
    }
}

auto slot_set::erase(slot_index slot) -> void
{
    auto n = slot.value();
    auto it = find_range(ranges_, n);
    if (it == ranges_.end() || it->first > n) {
        return;
    }
    if (it->first == it->last) {
        ranges_.erase(it);
    } else if (it->first == n) {
        ++it->first;
    } else if (it->last == n) {
        --it->last;
    } else {
        auto tail = range{n + 1, it->last};
        it->last = n - 1;
        ranges_.insert(std::next(it), tail);
    }
}

auto slot_set::contains(slot_index slot) const -> bool
{
    auto n = slot.value();
    auto it = std::lower_bound(ranges_.begin(), ranges_.end(), n,
                               [](const range& r, std::uint32_t x) { return r.last < x; });
    return it != ranges_.end() && it->first <= n;
}

auto slot_set::size() const -> std::size_t
{
    std::size_t n = 0;
    for (const auto& it : ranges_) {
        n += std::size_t{it.last} - it.first + 1;
    }
    return n;
}

} // namespace cornelswitch
