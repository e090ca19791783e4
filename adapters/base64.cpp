#include "adapters/base64.h"

#include <openssl/evp.h>

namespace cornelswitch {

namespace {

auto bytes_of(std::string& text) -> unsigned char*
{
    return reinterpret_cast<unsigned char*>(text.data());
}

auto bytes_of(std::string_view text) -> const unsigned char*
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

auto encode_base64(std::string_view bytes) -> std::string
{
    std::string out((bytes.size() + 2) / 3 * 4, '\0');
    EVP_EncodeBlock(bytes_of(out), bytes_of(bytes), static_cast<int>(bytes.size()));
    return out;
}

auto decode_base64(std::string_view text) -> std::optional<std::string>
{
    std::string out(text.size() / 4 * 3, '\0');
    auto n = EVP_DecodeBlock(bytes_of(out), bytes_of(text), static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts padding as zero bytes.
    auto last = text.find_last_not_of('=');
    auto padding = last == std::string_view::npos ? text.size() : text.size() - last - 1;
    if (padding > 2 || static_cast<std::size_t>(n) < padding) {
        return std::nullopt;
    }
    out.resize(static_cast<std::size_t>(n) - padding);
    // Rejects white space and non-zero trailing bits, which EVP_DecodeBlock accepts.
    return encode_base64(out) == text ? std::optional{std::move(out)} : std::nullopt;
}

} // namespace cornelswitch
