#include "core/memory_account.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

memory_account::memory_account(std::uint64_t capacity, std::uint64_t small_share)
    : capacity_{capacity}, large_limit_{capacity - std::min(capacity, small_share)},
      rises_above_{large_limit_ / 2}
{
}

auto memory_account::set_on_pressure(std::function<void(memory_pressure)> handler) -> void
{
    on_pressure_ = std::move(handler);
}

auto memory_account::held(memory_kind kind) const -> std::uint64_t
{
    return held_[static_cast<std::size_t>(kind)];
}

auto memory_account::limit(memory_use use) const -> std::uint64_t
{
    return use == memory_use::small ? capacity_ : large_limit_;
}

auto memory_account::fits(std::uint64_t bytes, memory_use use) const -> bool
{
    auto allowed = limit(use);
    return bytes <= allowed && total_ <= allowed - bytes;
}

auto memory_account::add(memory_kind kind, std::uint64_t bytes) -> void
{
    held_[static_cast<std::size_t>(kind)] += bytes;
    total_ += bytes;
    if (total_ > rises_above_) {
        update_pressure();
    }
}

auto memory_account::subtract(memory_kind kind, std::uint64_t bytes) -> void
{
    held_[static_cast<std::size_t>(kind)] -= bytes;
    total_ -= bytes;
    if (total_ < falls_below_) {
        update_pressure();
    }
}

auto memory_account::note_refusal() -> void
{
    // A use that does not fit into a nearly empty account says nothing about the others.
    if (pressure_ == memory_pressure::tight) {
        set_pressure(memory_pressure::exhausted);
    }
}

auto memory_account::update_pressure() -> void
{
    if (total_ > large_limit_) {
        set_pressure(memory_pressure::exhausted);
    } else if (pressure_ == memory_pressure::exhausted && total_ >= large_limit_ / 4 * 3) {
        return;
    } else if (total_ > large_limit_ / 2 ||
               (pressure_ != memory_pressure::none && total_ >= large_limit_ / 8 * 3)) {
        set_pressure(memory_pressure::tight);
    } else {
        set_pressure(memory_pressure::none);
    }
}

auto memory_account::set_pressure(memory_pressure next) -> void
{
    if (next == pressure_) {
        return;
    }
    pressure_ = next;
    // A level ends below the value at which it began, so that it does not change with each use.
    switch (next) {
    case memory_pressure::none:
        rises_above_ = large_limit_ / 2;
        falls_below_ = 0;
        break;
    case memory_pressure::tight:
        rises_above_ = large_limit_;
        falls_below_ = large_limit_ / 8 * 3;
        break;
    case memory_pressure::exhausted:
        rises_above_ = UINT64_MAX;
        falls_below_ = large_limit_ / 4 * 3;
        break;
    }
    if (on_pressure_) {
        on_pressure_(next);
    }
}

} // namespace cornelswitch
