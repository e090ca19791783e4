#include "adapters/http1/folded_line_detector.h"

namespace cornelswitch {

auto folded_line_detector::feed(std::string_view bytes) -> bool
{
    while (!bytes.empty() && position_ != position::after_headers) {
        if (position_ == position::inside_line) {
            auto end = bytes.find('\n');
            if (end == std::string_view::npos) {
                return false;
            }
            position_ = position::line_start;
            bytes.remove_prefix(end + 1);
            continue;
        }
        auto first = bytes.front();
        bool is_line_start = position_ == position::line_start;
        if (is_line_start && (first == ' ' || first == '\t')) {
            return true;
        }
        if (is_line_start && first == '\n') {
            position_ = position::after_headers;
        } else if (first != '\r' && first != '\n') {
            position_ = position::inside_line;
        }
        bytes.remove_prefix(1);
    }
    return false;
}

} // namespace cornelswitch
