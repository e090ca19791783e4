#pragma once

#include "core/clock.h"
#include "ownership/coordinator_record.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cornelswitch::test {

/// The store's topic of one service in the model: records with conditional appends, which a restore
/// takes back to an earlier state.
class restorable_store {
public:
    auto end() const -> std::size_t { return entries_.size(); }
    /// Increases by one with each restore.
    auto era() const -> std::uint64_t { return era_; }
    auto newest() const -> std::optional<coordinator_record>;
    /// Records from offset `first` on.
    auto since(std::size_t first) const -> std::vector<coordinator_record>;
    /// Appends the record if the topic ends at `expected_end`. Returns whether it did.
    auto append(const coordinator_record& record, std::size_t expected_end, time_point now) -> bool;
    /// Takes the topic back to its state at `copied_at`. Returns the number of lost records.
    auto restore(time_point copied_at) -> std::size_t;

private:
    struct entry {
        coordinator_record record;
        time_point stored_at{};
    };

    std::vector<entry> entries_;
    std::uint64_t era_{1};
};

} // namespace cornelswitch::test
