#include "adapters/http1/message_parser.h"

#include "adapters/http1/folded_line_detector.h"
#include "adapters/response_status.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace cornelswitch {

namespace {

/// Maximum number of framing bytes per body byte: a chunk of one byte has five or six.
constexpr std::size_t max_framing_per_body_byte = 8;

} // namespace

struct http1_parser::state {
    http_parser parser{};
    http1_kind kind{http1_kind::request};
    std::size_t max_header_bytes{0};
    handlers receivers;
    http1_head head;
    folded_line_detector folded_lines;
    std::size_t header_bytes{0};
    std::size_t received_bytes{0};
    std::size_t body_bytes{0};
    bool in_header_value{false};
    bool in_message{false};
    bool message_ended{false};
    bool is_interim{false};
    bool skips_body{false};

    static auto of(http_parser* it) -> state& { return *static_cast<state*>(it->data); }

    auto init() -> void
    {
        http_parser_init(&parser, kind == http1_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        head = {};
        folded_lines.reset();
        in_header_value = false;
        in_message = false;
        is_interim = false;
    }

    auto reset() -> void
    {
        init();
        header_bytes = 0;
        received_bytes = 0;
        body_bytes = 0;
    }

    /// Whether the bytes outside of the body (headers, interim responses, blank lines, chunk sizes
    /// and extensions, trailers) exceed their limit.
    auto exceeds_framing_limit() const -> bool
    {
        auto allowed = max_header_bytes + body_bytes * max_framing_per_body_byte;
        return received_bytes - body_bytes > allowed;
    }

    auto count_header_bytes(std::size_t n) -> int
    {
        header_bytes += n;
        return header_bytes > max_header_bytes ? 1 : 0;
    }

    static auto on_begin(http_parser* it) -> int
    {
        of(it).in_message = true;
        return 0;
    }
    static auto on_url(http_parser* it, const char* at, std::size_t n) -> int
    {
        of(it).head.target.append(at, n);
        return of(it).count_header_bytes(n);
    }
    static auto on_field(http_parser* it, const char* at, std::size_t n) -> int
    {
        auto& self = of(it);
        if (self.in_header_value || self.head.headers.empty()) {
            self.head.headers.emplace_back();
            self.in_header_value = false;
        }
        auto& name = self.head.headers.back().name;
        for (std::size_t k = 0; k < n; ++k) {
            // http_parser accepts blanks. Other readers ignore them or take the line for another
            // field, and then find another end of the body.
            if (!is_field_name_character(at[k])) {
                return -1;
            }
            name.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(at[k]))));
        }
        return self.count_header_bytes(n);
    }
    static auto on_value(http_parser* it, const char* at, std::size_t n) -> int
    {
        auto& self = of(it);
        self.in_header_value = true;
        self.head.headers.back().value.append(at, n);
        return self.count_header_bytes(n);
    }
    static auto on_headers(http_parser* it) -> int
    {
        auto& self = of(it);
        self.head.status = static_cast<int>(it->status_code);
        if (self.kind == http1_kind::response && !is_response_status(self.head.status)) {
            return -1;
        }
        self.is_interim =
            self.kind == http1_kind::response && it->status_code >= 100 && it->status_code < 200;
        if (self.kind == http1_kind::request) {
            self.head.method = http_method_str(static_cast<http_method>(it->method));
        }
        for (auto& field : self.head.headers) {
            while (!field.value.empty() &&
                   (field.value.back() == ' ' || field.value.back() == '\t')) {
                field.value.pop_back();
            }
        }
        if ((it->flags & F_CHUNKED) != 0) {
            self.head.framing = body_framing::chunked;
        } else if (it->content_length != ULLONG_MAX) {
            self.head.framing = body_framing::length;
            self.head.length = it->content_length;
        } else if (self.ends_with_connection(it->status_code)) {
            self.head.framing = body_framing::until_close;
        }
        self.head.keeps_alive = http_should_keep_alive(it) != 0;
        if (it->upgrade != 0) {
            return -1;
        }
        if (!self.is_interim && self.receivers.on_head) {
            self.receivers.on_head(std::move(self.head));
        }
        // The value 1 makes http_parser expect no body.
        return self.skips_body ? 1 : 0;
    }
    static auto on_body(http_parser* it, const char* at, std::size_t n) -> int
    {
        auto& self = of(it);
        self.body_bytes += n;
        if (self.receivers.on_body) {
            self.receivers.on_body({at, n});
        }
        return 0;
    }
    static auto on_complete(http_parser* it) -> int
    {
        of(it).message_ended = true;
        http_parser_pause(it, 1);
        return 0;
    }

    static auto settings() -> const http_parser_settings&
    {
        static const http_parser_settings out = [] {
            http_parser_settings it{};
            http_parser_settings_init(&it);
            it.on_message_begin = on_begin;
            it.on_url = on_url;
            it.on_header_field = on_field;
            it.on_header_value = on_value;
            it.on_headers_complete = on_headers;
            it.on_body = on_body;
            it.on_message_complete = on_complete;
            return it;
        }();
        return out;
    }

    /// Whether the end of the connection delimits the body of a response without a length.
    auto ends_with_connection(unsigned status) const -> bool
    {
        bool has_no_body = is_interim || status == 204 || status == 304 || skips_body;
        return kind == http1_kind::response && !has_no_body;
    }

    /// Prepares the parser for the next message and reports the end of this one.
    auto end_message() -> void
    {
        message_ended = false;
        if (is_interim) {
            // The counters are kept: the bytes of an interim response count towards the header
            // section of the final response.
            init();
            return;
        }
        reset();
        if (receivers.on_end) {
            auto handler = receivers.on_end;
            handler();
        }
    }
};

http1_parser::http1_parser(http1_kind kind, std::size_t max_header_bytes, handlers receivers)
    : state_{std::make_unique<state>()}
{
    state_->kind = kind;
    state_->max_header_bytes = max_header_bytes;
    state_->receivers = std::move(receivers);
    state_->reset();
}

http1_parser::~http1_parser() = default;

auto http1_parser::feed(std::string_view bytes) -> result<std::size_t>
{
    if (bytes.empty()) {
        return std::size_t{0};
    }
    if (state_->kind == http1_kind::response && state_->folded_lines.feed(bytes)) {
        return error{error_code::invalid_message, "http-parse", {}, "folded header line"};
    }
    auto& parser = state_->parser;
    auto n = http_parser_execute(&parser, &state::settings(), bytes.data(), bytes.size());
    auto err = HTTP_PARSER_ERRNO(&parser);
    state_->received_bytes += n;
    bool is_too_long = state_->exceeds_framing_limit();
    if (state_->message_ended && !is_too_long) {
        state_->end_message();
        return n;
    }
    if (err == HPE_OK && !is_too_long) {
        return n;
    }
    if (is_too_long || state_->header_bytes > state_->max_header_bytes ||
        err == HPE_HEADER_OVERFLOW) {
        return error{error_code::too_large, "http-parse", {}, "header section too large"};
    }
    return error{error_code::invalid_message, "http-parse", {}, http_errno_description(err)};
}

auto http1_parser::finish() -> bool
{
    if (!state_->in_message) {
        return true;
    }
    http_parser_execute(&state_->parser, &state::settings(), nullptr, 0);
    if (!state_->message_ended) {
        return false;
    }
    state_->end_message();
    return true;
}

auto http1_parser::is_inside_message() const -> bool
{
    return state_->in_message;
}

auto http1_parser::head_memory() const -> std::size_t
{
    return state_->header_bytes + state_->head.headers.capacity() * sizeof(header_list::value_type);
}

auto http1_parser::set_skips_body(bool skips) -> void
{
    state_->skips_body = skips;
}

auto http1_parser::reset() -> void
{
    state_->reset();
}

} // namespace cornelswitch
