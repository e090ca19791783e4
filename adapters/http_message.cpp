#include "adapters/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cornelswitch {

auto find_header(const header_list& headers, std::string_view name) -> const std::string*
{
    auto it = std::ranges::find(headers, name, &header_field::name);
    return it == headers.end() ? nullptr : &it->value;
}

auto count_headers(const header_list& headers, std::string_view name) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count(headers, name, &header_field::name));
}

auto is_hop_by_hop(std::string_view name) -> bool
{
    constexpr auto names = std::to_array<std::string_view>(
        {"connection", "keep-alive", "proxy-connection", "proxy-authenticate",
         "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "http2-settings"});
    return std::ranges::find(names, name) != names.end();
}

auto is_field_name_character(char it) -> bool
{
    constexpr auto permitted = [] {
        std::array<bool, 256> out{};
        constexpr std::string_view all = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
        for (auto c : all) {
            out[static_cast<unsigned char>(c)] = true;
        }
        return out;
    }();
    return permitted[static_cast<unsigned char>(it)];
}

auto is_header_value(std::string_view text) -> bool
{
    return std::ranges::all_of(text, [](unsigned char it) { return it >= 0x20 && it != 0x7f; });
}

auto parse_decimal(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (text.empty() || ec != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace cornelswitch
