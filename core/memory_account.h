#pragma once

#include <array>
#include <cstdint>
#include <functional>

namespace cornelswitch {

/// What bytes of the process are held for.
enum class memory_kind : std::uint8_t { request_body, response, unparsed_input, peer_message };
inline constexpr std::size_t memory_kinds = 4;

/// Small uses may take the share of the account that is kept free of large ones.
enum class memory_use : std::uint8_t { small, large };

/// How full an account is.
enum class memory_pressure : std::uint8_t {
    none,
    /// Over half of what large uses may take is held. Bytes that can wait are not read.
    tight,
    /// A use did not fit, or more is held than large uses may take.
    exhausted,
};

/// Account of the bytes that a process holds for others. Bytes are held by `memory_reservation`
/// and are released when it is destroyed.
class memory_account {
public:
    /// `small_share` is the part of `capacity` that only small uses may take. Both in bytes.
    memory_account(std::uint64_t capacity, std::uint64_t small_share);
    memory_account(const memory_account&) = delete;
    auto operator=(const memory_account&) -> memory_account& = delete;
    ~memory_account() = default;

    /// Called on each change of the pressure, from within the call that caused it.
    auto set_on_pressure(std::function<void(memory_pressure)> handler) -> void;

    auto capacity() const -> std::uint64_t { return capacity_; }
    auto total() const -> std::uint64_t { return total_; }
    auto held(memory_kind kind) const -> std::uint64_t;
    /// Bytes up to which uses of this size may fill the account.
    auto limit(memory_use use) const -> std::uint64_t;
    auto fits(std::uint64_t bytes, memory_use use) const -> bool;
    auto pressure() const -> memory_pressure { return pressure_; }

private:
    friend class memory_reservation;

    auto add(memory_kind kind, std::uint64_t bytes) -> void;
    auto subtract(memory_kind kind, std::uint64_t bytes) -> void;
    auto note_refusal() -> void;
    auto set_pressure(memory_pressure next) -> void;
    auto update_pressure() -> void;

    std::uint64_t capacity_;
    std::uint64_t large_limit_;
    std::uint64_t total_{0};
    std::array<std::uint64_t, memory_kinds> held_{};
    memory_pressure pressure_{memory_pressure::none};
    /// The pressure is evaluated again when the total leaves this range.
    std::uint64_t rises_above_;
    std::uint64_t falls_below_{0};
    std::function<void(memory_pressure)> on_pressure_;
};

} // namespace cornelswitch
