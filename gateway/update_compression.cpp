#include "gateway/update_compression.h"

#include "adapters/zstd/text_codec.h"
#include "core/hash.h"

#include <algorithm>
#include <msgpack.hpp>

namespace cornelswitch {

namespace {

/// Smaller updates are sent uncompressed.
constexpr std::size_t min_compressed_bytes = 4 * 1024;
/// Limits the memory that a message can take.
constexpr std::size_t max_decompressed_bytes = 16 * 1024 * 1024;

using record_list = decltype(topic_update::records);

} // namespace

auto compress_update(topic_update& update, const base_lookup& previous) -> void
{
    std::size_t size = 0;
    for (const auto& [key, value] : update.records) {
        size += key.size() + value.size();
    }
    if (size < min_compressed_bytes) {
        return;
    }
    const std::string* base = nullptr;
    const auto& largest = *std::ranges::max_element(
        update.records, {}, [](const auto& it) { return it.second.size(); });
    if (previous) {
        base = previous(largest.first);
    }
    msgpack::sbuffer text;
    msgpack::pack(text, update.records);
    auto compressed =
        compress_text({text.data(), text.size()}, base != nullptr ? *base : std::string_view{});
    if (compressed.has_error()) {
        return;
    }
    update.compressed.bytes = std::move(compressed.value());
    if (base != nullptr && !base->empty()) {
        update.compressed.base_key = largest.first;
        update.compressed.base_hash = hash_bytes(*base);
    }
}

auto decompress_update(topic_update& update, const base_lookup& own) -> result<void>
{
    const auto& compressed = update.compressed;
    if (compressed.bytes.empty()) {
        return success();
    }
    const std::string* base = nullptr;
    if (!compressed.base_key.empty()) {
        base = own(compressed.base_key);
        if (base == nullptr || hash_bytes(*base) != compressed.base_hash) {
            return error{
                error_code::not_found, "unpack-news", {}, "the receiver has some other base value"};
        }
    }
    BOOST_OUTCOME_TRY(text, decompress_text(compressed.bytes,
                                            base != nullptr ? *base : std::string_view{},
                                            max_decompressed_bytes));
    try {
        update.records = msgpack::unpack(text.data(), text.size())->as<record_list>();
    } catch (const std::exception& failure) {
        return error{error_code::invalid_message, "unpack-news", {}, failure.what()};
    }
    return success();
}

} // namespace cornelswitch
