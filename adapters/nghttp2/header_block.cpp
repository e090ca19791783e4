#include "adapters/nghttp2/header_block.h"

#include <cstdint>

namespace cornelswitch {

namespace {

auto bytes_of(std::string_view text) -> std::uint8_t*
{
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

} // namespace

auto header_block::add(std::string_view name, std::string_view value) -> void
{
    pairs_.push_back(
        {bytes_of(name), bytes_of(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
}

auto header_block::add_all(const header_list& headers) -> void
{
    for (const auto& it : headers) {
        if (!is_hop_by_hop(it.name) && it.name != "host" && it.name != "content-length") {
            add(it.name, it.value);
        }
    }
}

} // namespace cornelswitch
