#pragma once

#include "adapters/http1/folded_line_detector.h"
#include "adapters/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace cornelswitch {

/// Parses one HTTP/1.1 response from the bytes of a connection. Interim (1xx) responses are
/// skipped.
class response_parser {
public:
    struct handlers {
        std::function<void(response_head)> on_head;
        std::function<void(std::string_view)> on_data;
    };

    /// `is_head`: the request was HEAD, so the response has no body.
    response_parser(bool is_head, handlers receiver);
    response_parser(const response_parser&) = delete;
    auto operator=(const response_parser&) -> response_parser& = delete;
    ~response_parser();

    /// Parses `bytes` up to the end of the response and returns the number of bytes that were used.
    /// Errors: `invalid_message` when the response is malformed, has the status 101, or its end
    /// cannot be determined from its framing.
    auto feed(std::string_view bytes) -> result<std::size_t>;
    auto is_done() const -> bool;
    /// Whether the connection can be reused after the response.
    auto keeps_alive() const -> bool;

private:
    class parser;
    bool is_head_;
    handlers handlers_;
    std::unique_ptr<parser> parser_;
    folded_line_detector folded_lines_;
    /// Number of unused bytes that `folded_lines_` has seen; the next `feed` gets them again.
    std::size_t checked_bytes_{0};
};

} // namespace cornelswitch
