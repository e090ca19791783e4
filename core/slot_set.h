#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// A set of slot indexes, stored as sorted ranges that neither overlap nor adjoin. Example of the
/// text form: `0-99,105`.
class slot_set {
public:
    /// Slots from `first` to `last`, both included.
    struct range {
        std::uint32_t first{0};
        std::uint32_t last{0};
        friend auto operator==(const range&, const range&) -> bool = default;
    };

    slot_set() = default;

    /// Parses the text form; empty text gives the empty set. Errors: `invalid_message` for any
    /// other text, including ranges that are unsorted or overlap.
    static auto parse(std::string_view text) -> result<slot_set>;
    auto to_text() const -> std::string;

    auto insert(slot_index slot) -> void;
    auto erase(slot_index slot) -> void;
    auto contains(slot_index slot) const -> bool;
    /// Number of slots.
    auto size() const -> std::size_t;
    auto empty() const -> bool { return ranges_.empty(); }
    auto ranges() const -> const std::vector<range>& { return ranges_; }

    friend auto operator==(const slot_set&, const slot_set&) -> bool = default;

private:
    std::vector<range> ranges_;
};

} // namespace cornelswitch
