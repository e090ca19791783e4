#pragma once

#include "adapters/http_message.h"
#include "core/error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cornelswitch {

/// How the end of a message body is determined; `until_close` means by the end of the connection.
enum class body_framing : std::uint8_t { none, length, chunked, until_close };

/// Start line and header fields of one HTTP/1.1 message. Field names are in lower case.
struct http1_head {
    std::string method;
    std::string target;
    int status{0};
    header_list headers;
    body_framing framing{body_framing::none};
    /// Size of the body in bytes, for `body_framing::length`.
    std::uint64_t length{0};
    /// Whether the connection may carry another message after this one.
    bool keeps_alive{false};
};

enum class http1_kind : std::uint8_t { request, response };

/// Parses consecutive HTTP/1.1 messages from the bytes of a connection.
class http1_parser {
public:
    struct handlers {
        std::function<void(http1_head)> on_head;
        std::function<void(std::string_view)> on_body;
        std::function<void()> on_end;
    };

    http1_parser(http1_kind kind, std::size_t max_header_bytes, handlers receivers);
    http1_parser(const http1_parser&) = delete;
    auto operator=(const http1_parser&) -> http1_parser& = delete;
    ~http1_parser();

    /// Parses `bytes` up to the end of one message and returns the number of bytes that were used.
    /// Errors: `invalid_message`; `too_large` when the header section exceeds `max_header_bytes`,
    /// or when the framing (interim responses, blank lines, chunk extensions, trailers) exceeds
    /// `max_header_bytes` plus several bytes for each body byte.
    auto feed(std::string_view bytes) -> result<std::size_t>;
    /// Reports that the peer has closed the connection without a reset. Returns false when a
    /// message is incomplete.
    auto finish() -> bool;
    /// Whether a message has been parsed in part.
    auto is_inside_message() const -> bool;
    /// Memory of the part of a head that has been parsed, in bytes.
    auto head_memory() const -> std::size_t;
    /// While `skips` is set, responses have no body whatever their headers say, as after HEAD.
    auto set_skips_body(bool skips) -> void;
    /// Discards an incomplete message.
    auto reset() -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace cornelswitch
