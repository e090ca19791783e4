#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <type_traits>
#include <utility>

namespace cornelswitch {

/// Wraps `rep` so that values of different kinds have different types, selected by `tag`.
template<typename tag, typename rep>
class strong_id {
public:
    using rep_type = rep;

    constexpr strong_id() = default;
    constexpr explicit strong_id(rep value) : value_{std::move(value)} {}

    constexpr auto value() const noexcept -> const rep& { return value_; }

    friend constexpr auto operator==(const strong_id&, const strong_id&) -> bool = default;
    // clang-tidy 14 reports the 0 of the comparison that the compiler generates.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(const strong_id&, const strong_id&) = default;
    friend auto operator<<(std::ostream& os, const strong_id& it) -> std::ostream&
    {
        return os << it.value_;
    }

private:
    rep value_{};
};

} // namespace cornelswitch

template<typename tag, typename rep>
struct std::hash<cornelswitch::strong_id<tag, rep>> {
    auto operator()(const cornelswitch::strong_id<tag, rep>& it) const noexcept -> std::size_t
    {
        return std::hash<rep>{}(it.value());
    }
};
