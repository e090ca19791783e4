#include "gateway/request_body.h"

#include <algorithm>

namespace cornelswitch {

auto request_body::append(std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        if (blocks_.empty() || blocks_.back().size() == block_size) {
            blocks_.emplace_back();
            // The rest of the reservation is the part of the body that is still expected.
            auto expected = memory_.bytes() > size_ ? memory_.bytes() - size_ : bytes.size();
            blocks_.back().reserve(std::min<std::uint64_t>(block_size, expected));
        }
        auto& block = blocks_.back();
        auto part = bytes.substr(0, block_size - block.size());
        block.append(part);
        size_ += part.size();
        bytes.remove_prefix(part.size());
    }
}

} // namespace cornelswitch
