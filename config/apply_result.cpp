#include "config/apply_result.h"

#include <array>

namespace cornelswitch {

auto to_string(drop_reason reason) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>({
        "none",
        "malformed",
        "out-of-order",
        "stale-epoch",
        "not-released",
        "already-released",
        "unknown-cell",
        "unknown-server",
        "unknown-service",
        "unknown-slot",
        "server-in-other-cell",
        "not-in-cell",
        "membership-change",
        "zone-change",
        "in-use",
        "claim-open",
        "no-claim",
        "never-yields",
        "parent-not-assigned",
        "wrong-key",
        "limit",
    });
    return names.at(static_cast<std::size_t>(reason));
}

auto operator<<(std::ostream& os, drop_reason reason) -> std::ostream&
{
    return os << to_string(reason);
}

auto operator<<(std::ostream& os, apply_status status) -> std::ostream&
{
    static constexpr auto names =
        std::to_array<std::string_view>({"accepted", "dropped", "duplicate"});
    return os << names.at(static_cast<std::size_t>(status));
}

} // namespace cornelswitch
