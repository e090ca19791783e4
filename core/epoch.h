#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace cornelswitch {

/// Orders the assignments and transfers of one slot. `major` is the log offset + 1 of the record
/// that assigned the slot; 0 if it was never assigned. `minor` counts the transfers within the cell
/// since that assignment.
struct slot_epoch {
    std::uint64_t major{0};
    std::uint64_t minor{0};

    friend auto operator==(const slot_epoch&, const slot_epoch&) -> bool = default;
    // clang-tidy 14 reports the 0 of the comparison that the compiler generates.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const slot_epoch&, const slot_epoch&) = default;
    friend auto operator<<(std::ostream& os, const slot_epoch& it) -> std::ostream&
    {
        return os << it.major << '.' << it.minor;
    }
};

} // namespace cornelswitch
