#include "adapters/zstd/text_codec.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <memory>
#include <zstd.h>

namespace cornelswitch {

namespace {

/// Fast, and sufficient for text that has most of its content in common with the base.
constexpr int compression_level = 1;
/// Largest window that a zstd decompressor accepts by default, as a power of two in bytes.
constexpr int max_window_log = 27;

struct free_compressor {
    auto operator()(ZSTD_CCtx* it) const -> void { ZSTD_freeCCtx(it); }
};
struct free_decompressor {
    auto operator()(ZSTD_DCtx* it) const -> void { ZSTD_freeDCtx(it); }
};

/// Base-2 logarithm of a match window that covers `size` bytes, the base and the text together.
auto window_log(std::size_t size) -> int
{
    auto bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
    return std::clamp(static_cast<int>(std::bit_width(size)), bounds.lowerBound, max_window_log);
}

} // namespace

auto compress_text(std::string_view text, std::string_view base) -> result<std::string>
{
    std::unique_ptr<ZSTD_CCtx, free_compressor> it{ZSTD_createCCtx()};
    ZSTD_CCtx_setParameter(it.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(it.get(), ZSTD_c_windowLog, window_log(text.size() + base.size()));
    ZSTD_CCtx_setParameter(it.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        ZSTD_CCtx_refPrefix(it.get(), base.data(), base.size());
    }
    std::string out(ZSTD_compressBound(text.size()), '\0');
    auto size = ZSTD_compress2(it.get(), out.data(), out.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        return error{error_code::internal, "compress-text", {}, ZSTD_getErrorName(size)};
    }
    out.resize(size);
    return out;
}

auto decompress_text(std::string_view bytes, std::string_view base, std::size_t max_size)
    -> result<std::string>
{
    auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return error{error_code::invalid_message,
                     "decompress-text",
                     {},
                     "no content size in the frame header"};
    }
    if (size > max_size) {
        return error{error_code::too_large, "decompress-text", {}, std::to_string(size)};
    }
    std::unique_ptr<ZSTD_DCtx, free_decompressor> it{ZSTD_createDCtx()};
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(it.get(), base.data(), base.size());
    }
    std::string out(size, '\0');
    auto used = ZSTD_decompressDCtx(it.get(), out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(used) != 0 || used != size) {
        return error{error_code::invalid_message, "decompress-text", {}, ZSTD_getErrorName(used)};
    }
    return out;
}

} // namespace cornelswitch
