#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <algorithm>
#include <optional>

namespace cornelswitch {

/// Time from which the coordinator of one term makes no call to a server any more.
struct term_end {
    lease_term term;
    time_point at{};
};

/// Time from which no coordinator of any term before a given one makes a call to a server.
///
/// The end of a single term is a type of its own, because it says nothing about the terms before:
/// their coordinators may be cut off from the store and still renew leases.
class earlier_terms_end {
public:
    /// All terms before `term` had ended at `at`.
    earlier_terms_end(lease_term term, time_point at) : term_{term}, at_{at} {}

    /// First term that this end does not include.
    auto term() const -> lease_term { return term_; }
    auto at() const -> time_point { return at_; }
    /// End of all terms up to and including `last`; none when terms between are unknown.
    auto including(const term_end& last) const -> std::optional<earlier_terms_end>
    {
        if (last.term > term_) {
            return std::nullopt;
        }
        if (last.term < term_) {
            return *this;
        }
        return earlier_terms_end{lease_term{last.term.value() + 1}, std::max(at_, last.at)};
    }

private:
    lease_term term_;
    time_point at_;
};

} // namespace cornelswitch
