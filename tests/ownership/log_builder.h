#pragma once

#include "ownership/ownership_state.h"
#include "ownership/records.h"

#include <string>
#include <utility>
#include <vector>

namespace cornelswitch::test {

/// Ids in the tests consist of a letter and a number, such as `i1` or `s7`.
inline auto instance(int n) -> instance_id
{
    return instance_id{"i" + std::to_string(n)};
}
inline auto server(int n) -> server_id
{
    return server_id{"s" + std::to_string(n)};
}

inline auto members(const std::vector<int>& numbers) -> std::vector<cell_member>
{
    std::vector<cell_member> out;
    out.reserve(numbers.size());
    for (auto n : numbers) {
        out.push_back({instance(n), boot_id{100U + static_cast<unsigned>(n)}});
    }
    return out;
}

inline auto servers(const std::vector<int>& numbers) -> std::vector<server_id>
{
    std::vector<server_id> out;
    out.reserve(numbers.size());
    for (auto n : numbers) {
        out.push_back(server(n));
    }
    return out;
}

inline auto slots(std::string_view text) -> slot_set
{
    return slot_set::parse(text).value();
}

/// A log and the state that results from it.
class log_builder {
public:
    explicit log_builder(const apply_rules& rules = {}) : state{rules} {}

    /// Appends a record with a fresh header and applies it.
    auto add(record_body body) -> apply_result
    {
        auto header = record_header{instance(1), boot_id{101}, writer_sequence{++sequence_}};
        return add_bytes(encode_record({header, std::move(body)}));
    }

    auto add_bytes(std::string data) -> apply_result
    {
        records.push_back({log_offset{records.size()}, std::move(data)});
        return state.apply(records.back());
    }

    /// Epoch of the newest record.
    auto epoch() const -> std::uint64_t { return records.size(); }

    /// Adds cell 1 (servers s1, s2), cell 2 (server s3), and 16 slots of service `look`, all
    /// assigned to s1. Returns the epoch of the slots.
    auto add_two_cells() -> std::uint64_t
    {
        constexpr std::uint64_t yield_ms = 60'000;
        add(cell_record{cell_id{1}, 0, zone_id{"a"}, members({1, 2, 3}), servers({1, 2}),
                        yield_ms});
        add(cell_record{cell_id{2}, 0, zone_id{"b"}, members({4, 5, 6}), servers({3}), yield_ms});
        add(assignment_record{{{service, 16}}, {{service, slots("0-15"), server(1), 0}}, {}, {}});
        return epoch();
    }

    auto assign(std::string_view text, int to, std::uint64_t replaces) -> apply_result
    {
        return add(assignment_record{{}, {{service, slots(text), server(to), replaces}}, {}, {}});
    }

    auto release(int cell, std::string_view text, slot_epoch at) -> apply_result
    {
        auto id = cell_id{static_cast<std::uint32_t>(cell)};
        return add(release_record{id, {{service, slots(text), at}}});
    }

    auto transfer(int cell, std::string_view text, slot_epoch at, int to) -> apply_result
    {
        auto id = cell_id{static_cast<std::uint32_t>(cell)};
        return add(transfer_record{id, {{service, slots(text), at, server(to)}}});
    }

    auto owner(std::uint32_t slot) const -> std::string
    {
        const auto* it = state.slot(service, slot_index{slot}).server;
        return it == nullptr ? "" : it->value();
    }

    const service_id service{"look"};
    std::vector<log_record> records;
    ownership_state state;

private:
    std::uint64_t sequence_{0};
};

/// Checks in the applied log that a key has at most one owner (R1 in docs/design.md): the major
/// epoch of a slot changes only after its release. Call `observe` after each record.
class single_owner_check {
public:
    /// Returns a description of a violation, or an empty string.
    auto observe(const ownership_state& state) -> std::string
    {
        std::string out;
        for (const auto& service : state.services()) {
            const auto& entries = state.find_table(service)->entries();
            auto& last = last_[service];
            for (std::size_t n = 0; n < last.size() && n < entries.size(); ++n) {
                if (last[n].major != 0 && last[n].released == 0 &&
                    entries[n].major != last[n].major) {
                    out = service.value() + " slot " + std::to_string(n) + " has two owners";
                }
                if (entries[n].epoch() < last[n].epoch()) {
                    out = service.value() + " slot " + std::to_string(n) + " went back";
                }
            }
            last = entries;
        }
        return out;
    }

private:
    std::map<service_id, std::vector<slot_table::entry>> last_;
};

} // namespace cornelswitch::test
