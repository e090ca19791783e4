#pragma once

#include <compare>
#include <cstdint>

namespace cornelswitch {

/// Inclusive range of consecutive numeric keys.
struct key_range {
    std::uint16_t first{0};
    std::uint16_t last{65'535};

    auto size() const -> std::uint32_t { return static_cast<std::uint32_t>(last) - first + 1; }
    auto contains(std::uint16_t key) const -> bool { return first <= key && key <= last; }
    friend auto operator==(const key_range&, const key_range&) -> bool = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the generated comparison.
    friend auto operator<=>(const key_range&, const key_range&) = default;
};

/// Size of the numeric key space of a service.
inline constexpr std::uint32_t numeric_keys = 65'536;

} // namespace cornelswitch
