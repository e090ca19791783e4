#pragma once

#include "core/workspace_id.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cornelswitch {

/// How instances treat the requests of a workspace with a quota.
enum class quota_mode : std::uint8_t {
    /// Every request is admitted and counted.
    open,
    /// Each instance admits requests at the rate that it was allocated.
    limited,
};

/// Requests of the workspaces at one instance since its previous report.
struct quota_report {
    struct entry {
        workspace_id workspace;
        /// Requests admitted, without those that were refused later and have not run.
        std::uint32_t admitted{0};
        std::uint32_t offered{0};
        /// Part of the quota that the sender uses when it is isolated.
        double share{0};
        quota_mode mode{quota_mode::open};
    };

    /// Increases with each report of the sender.
    std::uint64_t number{0};
    /// Number of the last allocation that the sender received from the recipient; 0 for none. The
    /// recipient then answers with all workspaces that are limited.
    std::uint64_t last_allocation{0};
    std::vector<entry> entries;
};

/// Allocations of quotas to one instance.
struct quota_allocation {
    struct entry {
        workspace_id workspace;
        quota_mode mode{quota_mode::open};
        /// Requests per second that the instance may admit; for mode `limited`.
        double rate{0};
        /// Part of all offered requests that the quota admits, for instances whose requests are
        /// too rare for a rate.
        double admitted_part{1};
        /// Part of the quota that the instance uses when it is isolated; none leaves it unchanged.
        std::optional<double> share;
    };

    /// Increases with each allocation that the sender makes for the recipient.
    std::uint64_t number{0};
    /// Number of the report that this answers; 0 when a mode changed between two reports.
    std::uint64_t report{0};
    std::vector<entry> entries;
};

} // namespace cornelswitch
