#include "standins/download_file.h"

#include "core/hash.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr std::uint64_t word_size = 8;

} // namespace

auto download_file::etag() const -> std::string
{
    return '"' + std::to_string(hash_bytes(name_, size_)) + '"';
}

auto download_file::bytes(std::uint64_t from, std::uint64_t length) const -> std::string
{
    std::string out;
    out.reserve(length + word_size);
    for (auto at = from - from % word_size; at < from + length; at += word_size) {
        auto word = hash_bytes(name_, at);
        for (std::uint64_t n = 0; n < word_size; ++n) {
            if (at + n >= from && at + n < from + length) {
                out += static_cast<char>(word >> (8 * n));
            }
        }
    }
    return out;
}

auto download_file::select(const header_list& headers) const -> part
{
    const part whole{200, 0, size_};
    const auto* range = find_header(headers, "range");
    const auto* condition = find_header(headers, "if-range");
    constexpr std::string_view prefix = "bytes=";
    if (range == nullptr || range->substr(0, prefix.size()) != prefix) {
        return whole;
    }
    if (condition != nullptr && *condition != etag()) {
        return whole;
    }
    auto text = std::string_view{*range}.substr(prefix.size());
    auto dash = text.find('-');
    if (dash == std::string_view::npos) {
        return whole;
    }
    auto first = parse_decimal(text.substr(0, dash));
    auto last = parse_decimal(text.substr(dash + 1));
    if (!first && dash == 0 && last) {
        auto length = std::min(*last, size_);
        return length == 0 ? part{416, 0, 0} : part{206, size_ - length, length};
    }
    if (!first || (!last && dash + 1 != text.size()) || (last && *last < *first)) {
        return whole;
    }
    if (*first >= size_) {
        return {416, 0, 0};
    }
    auto end = std::min(last.value_or(size_), size_ - 1) + 1;
    return {206, *first, end - *first};
}

} // namespace cornelswitch
