#pragma once

#include <cstdint>
#include <random>

namespace cornelswitch {

/// Seeded random numbers. Tests pass a fixed seed; the daemon seeds from `std::random_device`.
using random_engine = std::mt19937_64;

__extension__ using uint128 = unsigned __int128;

/// Uniform integer in [0, bound); 0 if `bound` is 0. `std::uniform_int_distribution` is not used
/// because its results differ between standard libraries.
inline auto uniform_below(random_engine& engine, std::uint64_t bound) -> std::uint64_t
{
    if (bound == 0) {
        return 0;
    }
    return static_cast<std::uint64_t>((static_cast<uint128>(engine()) * bound) >> 64U);
}

/// Uniform real number in [0, 1).
inline auto uniform_real(random_engine& engine) -> double
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(engine() >> 11U) * scale;
}

} // namespace cornelswitch
