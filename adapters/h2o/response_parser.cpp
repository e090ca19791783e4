#include "adapters/h2o/response_parser.h"

#include "adapters/response_status.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

namespace cornelswitch {

namespace {

namespace beast = boost::beast;

constexpr std::uint32_t max_header_bytes = 64 * 1024;

auto to_view(beast::string_view text) -> std::string_view
{
    return {text.data(), text.size()};
}

auto lower_case(beast::string_view text) -> std::string
{
    std::string out{text.data(), text.size()};
    auto lower = [](unsigned char it) { return static_cast<char>(std::tolower(it)); };
    std::ranges::transform(out, out.begin(), lower);
    return out;
}

auto invalid(std::string message) -> error
{
    return {error_code::invalid_message, "server-response", {}, std::move(message)};
}

} // namespace

/// Uses Beast's parser without its message container, to pass the body on as it arrives.
class response_parser::parser final : public beast::http::basic_parser<false> {
public:
    explicit parser(handlers& receiver) : handlers_{receiver} {}

    auto is_interim() const -> bool { return head_.status >= 100 && head_.status < 200; }
    auto status() const -> int { return head_.status; }

private:
    using code = beast::error_code;

    auto on_request_impl(beast::http::verb, beast::string_view, beast::string_view, int, code&)
        -> void override
    {
    }
    auto on_response_impl(int status, beast::string_view, int, code& ec) -> void override
    {
        ec = {};
        head_.status = status;
        if (!is_response_status(status)) {
            ec = beast::http::error::bad_status;
        }
    }
    auto on_field_impl(beast::http::field, beast::string_view name, beast::string_view value, code&)
        -> void override
    {
        auto lower = lower_case(name);
        if (!is_hop_by_hop(lower) && lower != "content-length") {
            head_.headers.push_back({std::move(lower), std::string{to_view(value)}});
        }
    }
    auto on_header_impl(code& ec) -> void override
    {
        ec = {};
        if (auto length = content_length()) {
            head_.content_length = *length;
        }
        if (is_interim()) {
            return;
        }
        if (need_eof()) {
            ec = beast::http::error::bad_content_length;
            return;
        }
        if (handlers_.on_head) {
            handlers_.on_head(std::move(head_));
        }
    }
    auto on_body_init_impl(const boost::optional<std::uint64_t>&, code&) -> void override {}
    auto on_body_impl(beast::string_view body, code& ec) -> std::size_t override
    {
        ec = {};
        return deliver(body);
    }
    auto on_chunk_header_impl(std::uint64_t, beast::string_view, code&) -> void override {}
    auto on_chunk_body_impl(std::uint64_t, beast::string_view body, code& ec)
        -> std::size_t override
    {
        ec = {};
        return deliver(body);
    }
    auto on_finish_impl(code& ec) -> void override { ec = {}; }

    auto deliver(beast::string_view body) -> std::size_t
    {
        if (!body.empty() && handlers_.on_data) {
            handlers_.on_data(to_view(body));
        }
        return body.size();
    }

    handlers& handlers_;
    response_head head_;
};

response_parser::response_parser(bool is_head, handlers receiver)
    : is_head_{is_head}, handlers_{std::move(receiver)}
{
}

response_parser::~response_parser() = default;

auto response_parser::feed(std::string_view bytes) -> result<std::size_t>
{
    std::size_t used = 0;
    while (used < bytes.size() && !is_done()) {
        if (!parser_) {
            parser_ = std::make_unique<parser>(handlers_);
            parser_->eager(true);
            parser_->skip(is_head_);
            parser_->header_limit(max_header_bytes);
            // Without this call Beast 1.74 rejects every content-length.
            parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        }
        auto rest = bytes.substr(used);
        if (folded_lines_.feed(rest.substr(std::min(checked_bytes_, rest.size())))) {
            return invalid("folded header line");
        }
        beast::error_code ec;
        auto n = parser_->put(boost::asio::const_buffer{rest.data(), rest.size()}, ec);
        used += n;
        checked_bytes_ = rest.size() - n;
        if (ec == beast::http::error::need_more) {
            return used;
        }
        if (ec) {
            return invalid(ec.message());
        }
        if (parser_->is_done() && parser_->is_interim()) {
            if (parser_->status() == 101) {
                return invalid("unexpected status 101 (protocol upgrade)");
            }
            parser_.reset();
            folded_lines_.reset();
            checked_bytes_ = 0;
        }
    }
    return used;
}

auto response_parser::is_done() const -> bool
{
    return parser_ && parser_->is_done();
}

auto response_parser::keeps_alive() const -> bool
{
    return is_done() && parser_->keep_alive();
}

} // namespace cornelswitch
