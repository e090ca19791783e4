#include "gateway/news_packing.h"

#include "adapters/zstd/text_codec.h"
#include "core/hash.h"

#include <algorithm>
#include <msgpack.hpp>

namespace cornelswitch {

namespace {

/// Records of less are sent as they are.
constexpr std::size_t least_packed_bytes = 4 * 1024;
/// Bound of what a message may unpack to, in bytes.
constexpr std::size_t max_unpacked_bytes = 16 * 1024 * 1024;

using record_list = decltype(topic_news::records);

} // namespace

auto pack_news(topic_news& news, const base_lookup& previous) -> void
{
    std::size_t size = 0;
    for (const auto& [key, value] : news.records) {
        size += key.size() + value.size();
    }
    if (size < least_packed_bytes) {
        return;
    }
    const std::string* base = nullptr;
    const auto& largest = *std::ranges::max_element(
        news.records, {}, [](const auto& it) { return it.second.size(); });
    if (previous) {
        base = previous(largest.first);
    }
    msgpack::sbuffer text;
    msgpack::pack(text, news.records);
    auto packed =
        compress_text({text.data(), text.size()}, base != nullptr ? *base : std::string_view{});
    if (packed.has_error()) {
        return;
    }
    news.packed.bytes = std::move(packed.value());
    if (base != nullptr && !base->empty()) {
        news.packed.base_key = largest.first;
        news.packed.base_hash = hash_bytes(*base);
    }
}

auto unpack_news(topic_news& news, const base_lookup& own) -> result<void>
{
    const auto& packed = news.packed;
    if (packed.bytes.empty()) {
        return success();
    }
    const std::string* base = nullptr;
    if (!packed.base_key.empty()) {
        base = own(packed.base_key);
        if (base == nullptr || hash_bytes(*base) != packed.base_hash) {
            return error{error_code::not_found, "unpack-news", {}, "other base"};
        }
    }
    BOOST_OUTCOME_TRY(text,
                      decompress_text(packed.bytes, base != nullptr ? *base : std::string_view{},
                                      max_unpacked_bytes));
    try {
        news.records = msgpack::unpack(text.data(), text.size())->as<record_list>();
    } catch (const std::exception& ec) {
        return error{error_code::invalid_message, "unpack-news", {}, ec.what()};
    }
    return success();
}

} // namespace cornelswitch
