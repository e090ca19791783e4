#pragma once

#include "adapters/http_message.h"

#include <nghttp2/nghttp2.h>

#include <string_view>
#include <vector>

namespace cornelswitch {

/// Header fields in the form that nghttp2 takes. Refers to the arguments of `add` without a copy.
class header_block {
public:
    auto add(std::string_view name, std::string_view value) -> void;
    /// Adds all headers except `host`, `content-length` and hop-by-hop headers, which HTTP/2 does
    /// not permit.
    auto add_all(const header_list& headers) -> void;
    auto data() const -> const nghttp2_nv* { return pairs_.data(); }
    auto size() const -> std::size_t { return pairs_.size(); }

private:
    std::vector<nghttp2_nv> pairs_;
};

} // namespace cornelswitch
