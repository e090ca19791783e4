#include "config/units.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace cornelswitch {

namespace {

struct unit {
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<unit, 5> time_units{unit{"h", 3'600'000'000'000}, unit{"min", 60'000'000'000},
                                         unit{"s", 1'000'000'000}, unit{"ms", 1'000'000},
                                         unit{"us", 1'000}};
constexpr std::array<unit, 4> size_units{unit{"GiB", 1U << 30U}, unit{"MiB", 1U << 20U},
                                         unit{"KiB", 1U << 10U}, unit{"", 1}};
/// 10^6 hours in nanoseconds; must fit into the 63 bits of `duration`.
constexpr std::uint64_t max_duration_ns = 3'600'000'000'000U * 1'000'000U;
constexpr std::uint64_t max_size_bytes = std::uint64_t{1} << 50U;
constexpr std::size_t max_name_length = 64;

template<std::size_t count>
auto parse_with_unit(std::string_view text, const std::array<unit, count>& units,
                     std::uint64_t limit) -> std::optional<std::uint64_t>
{
    std::uint64_t n = 0;
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
    for (const auto& it : units) {
        if (it.name == text) {
            return n <= limit / it.factor ? std::optional{n * it.factor} : std::nullopt;
        }
    }
    return std::nullopt;
}

template<std::size_t count>
auto format_with_unit(std::uint64_t value, const std::array<unit, count>& units) -> std::string
{
    for (const auto& it : units) {
        if (value != 0 && value % it.factor == 0) {
            return std::to_string(value / it.factor).append(it.name);
        }
    }
    return std::to_string(value).append(units.back().name);
}

auto is_alphanumeric(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

} // namespace

auto parse_duration(std::string_view text) -> std::optional<duration>
{
    auto n = parse_with_unit(text, time_units, max_duration_ns);
    if (!n) {
        return std::nullopt;
    }
    return duration{static_cast<duration::rep>(*n)};
}

auto duration_text(duration value) -> std::string
{
    auto n = value < duration::zero() ? 0 : static_cast<std::uint64_t>(value.count());
    auto whole_microseconds = n - n % time_units.back().factor;
    if (whole_microseconds == 0) {
        return "0us";
    }
    return format_with_unit(whole_microseconds, time_units);
}

auto parse_size(std::string_view text) -> std::optional<std::uint64_t>
{
    return parse_with_unit(text, size_units, max_size_bytes);
}

auto size_text(std::uint64_t bytes) -> std::string
{
    return format_with_unit(bytes, size_units);
}

auto parse_endpoint(std::string_view text) -> std::optional<endpoint>
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto address = std::string{text.substr(0, colon)};
    in_addr binary{};
    if (inet_pton(AF_INET, address.c_str(), &binary) != 1 ||
        address.find('\0') != std::string::npos) {
        return std::nullopt;
    }
    auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto [rest, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc{} || rest != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return endpoint{address, port};
}

auto is_valid_name(std::string_view text) -> bool
{
    if (text.empty() || text.size() > max_name_length || !is_alphanumeric(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
    });
}

} // namespace cornelswitch
