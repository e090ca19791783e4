#pragma once

#include "config/configuration.h"
#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Parses an integer with a unit of time: `250us`, `600ms`, `2s`, `5min`, `1h`. Returns null for
/// any other text, fractions and values above 10^6 hours.
auto parse_duration(std::string_view text) -> std::optional<duration>;

/// Text form for `parse_duration`, in the largest unit that leaves no remainder. Rounds down to
/// whole microseconds; negative values become `0us`.
auto duration_text(duration value) -> std::string;

/// Parses a size in bytes with an optional unit: `512`, `64KiB`, `1MiB`, `2GiB`. Returns null for
/// any other text and values above 2^50.
auto parse_size(std::string_view text) -> std::optional<std::uint64_t>;

/// Text form for `parse_size`, in the largest unit that leaves no remainder.
auto size_text(std::uint64_t bytes) -> std::string;

/// Parses `IPv4:PORT` with a port from 1 to 65535. Returns null for any other text.
auto parse_endpoint(std::string_view text) -> std::optional<endpoint>;

/// Whether `text` is valid as the name of a zone, service, server, instance or profile: 1 to 64
/// characters of `A-Z a-z 0-9 . _ -`, starting with a letter or digit.
auto is_valid_name(std::string_view text) -> bool;

} // namespace cornelswitch
