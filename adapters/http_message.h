#pragma once

#include "core/error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Request and response types that all HTTP adapters share.
namespace cornelswitch {

/// One header field; `name` is in lower case.
struct header_field {
    std::string name;
    std::string value;
    friend auto operator==(const header_field&, const header_field&) -> bool = default;
};

using header_list = std::vector<header_field>;

/// First value of `name`, or null when the header is absent.
auto find_header(const header_list& headers, std::string_view name) -> const std::string*;

/// Number of fields called `name`.
auto count_headers(const header_list& headers, std::string_view name) -> std::size_t;

/// Whether the header `name`, in lower case, is hop-by-hop and must not be forwarded (RFC 9110,
/// section 7.6.1).
auto is_hop_by_hop(std::string_view name) -> bool;

/// Whether `it` is permitted in the name of a header field (`tchar` in RFC 9110, section 5.6.2).
auto is_field_name_character(char it) -> bool;

/// Whether `text` is permitted as a header value: it contains no control characters.
auto is_header_value(std::string_view text) -> bool;

/// Parses an unsigned decimal number. None when `text` contains anything else or the number exceeds
/// 64 bits.
auto parse_decimal(std::string_view text) -> std::optional<std::uint64_t>;

struct http_request {
    std::string method{"GET"};
    /// Path and query.
    std::string path{"/"};
    header_list headers;
    std::string body;
};

/// Status line and headers. `content_length` is none when the length is not known in advance.
struct response_head {
    int status{200};
    header_list headers;
    std::optional<std::uint64_t> content_length;
};

/// A response with its complete body.
struct http_response {
    response_head head;
    std::string body;
};

/// Failure of a request that got no complete response: the cause, and whether the request may have
/// been executed.
struct call_failure {
    error cause;
    request_outcome outcome{request_outcome::unknown};
};

using call_result =
    boost::outcome_v2::result<void, call_failure, boost::outcome_v2::policy::terminate>;
using unary_result =
    boost::outcome_v2::result<http_response, call_failure, boost::outcome_v2::policy::terminate>;
using unary_handler = std::function<void(unary_result)>;

/// Handlers of one response. `on_end` is called exactly once, after the others, unless the call is
/// canceled. The receiver passes the size of processed `on_data` bytes to the client's `consumed`;
/// this flow control limits the memory of a response.
struct response_handlers {
    std::function<void(response_head)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(call_result)> on_end;
};

} // namespace cornelswitch
