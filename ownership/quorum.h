#pragma once

#include "ownership/records.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelswitch {

/// Smallest size of a subset of `n` members that is a strict majority. Any two majorities of the
/// same members have a member in common.
constexpr auto majority_of(std::size_t n) -> std::size_t
{
    return n / 2 + 1;
}

/// Members whose votes count under one membership, and the number of votes for a majority. Members
/// that a newer known membership has removed are not among `voters`, but `needed` is still a
/// majority of the whole membership.
struct quorum {
    std::uint64_t epoch{0};
    std::vector<cell_member> voters;
    std::size_t needed{0};

    auto contains(const cell_member& it) const -> bool
    {
        return std::find(voters.begin(), voters.end(), it) != voters.end();
    }
};

/// The voter and the epoch of an answer. An answer counts under the membership that was active on
/// the voter when it answered.
struct voter_answer {
    cell_member voter;
    std::uint64_t epoch{0};
    friend auto operator==(const voter_answer&, const voter_answer&) -> bool = default;
};

/// Whether the answers form a majority under at least one of the memberships.
inline auto is_majority(const std::vector<quorum>& quorums,
                        const std::vector<voter_answer>& answers) -> bool
{
    return std::any_of(quorums.begin(), quorums.end(), [&answers](const quorum& it) {
        auto n = std::count_if(it.voters.begin(), it.voters.end(), [&](const cell_member& voter) {
            voter_answer wanted{voter, it.epoch};
            return std::find(answers.begin(), answers.end(), wanted) != answers.end();
        });
        return static_cast<std::size_t>(n) >= it.needed;
    });
}

} // namespace cornelswitch
