#include "routing/download_resume.h"

#include <charconv>

namespace cornelswitch {

namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_partial = 206;
constexpr std::uint32_t status_conflict = 409;
constexpr std::uint32_t status_range_not_satisfiable = 416;
constexpr std::uint32_t status_too_many_requests = 429;
constexpr std::uint32_t first_server_error = 500;

struct content_range {
    std::uint64_t first{0};
    std::uint64_t last{0};
    std::optional<std::uint64_t> total;
};

auto consume_number(std::string_view& text) -> std::optional<std::uint64_t>
{
    std::uint64_t out = 0;
    auto [ptr, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (ec != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(ptr - text.data()));
    return out;
}

auto consume_prefix(std::string_view& text, std::string_view prefix) -> bool
{
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

/// Parses `bytes FIRST-LAST/TOTAL`, where TOTAL may be `*`.
auto parse_content_range(std::string_view text) -> std::optional<content_range>
{
    if (!consume_prefix(text, "bytes ")) {
        return std::nullopt;
    }
    auto first = consume_number(text);
    if (!first || !consume_prefix(text, "-")) {
        return std::nullopt;
    }
    auto last = consume_number(text);
    if (!last || *last < *first || !consume_prefix(text, "/")) {
        return std::nullopt;
    }
    content_range out{*first, *last, std::nullopt};
    if (text == "*") {
        return out;
    }
    out.total = consume_number(text);
    if (!out.total || !text.empty() || *last >= *out.total) {
        return std::nullopt;
    }
    return out;
}

auto is_strong_etag(std::string_view etag) -> bool
{
    return etag.size() >= 2 && etag.front() == '"' && etag.back() == '"';
}

} // namespace

auto download_resume::start(std::string_view method, bool idempotent, const download_head& head)
    -> std::optional<download_resume>
{
    if (method != "GET" || !idempotent || !is_strong_etag(head.etag)) {
        return std::nullopt;
    }
    download_resume out;
    out.etag_ = head.etag;
    out.content_encoding_ = head.content_encoding;
    if (head.status == status_ok) {
        out.length_ = head.content_length;
        out.representation_length_ = head.content_length;
        return out;
    }
    auto range = parse_content_range(head.content_range);
    if (head.status != status_partial || !range) {
        return std::nullopt;
    }
    out.is_range_ = true;
    out.first_offset_ = range->first;
    out.length_ = range->last - range->first + 1;
    out.representation_length_ = range->total;
    return out;
}

auto download_resume::finished() const -> bool
{
    return length_ && received_ >= *length_;
}

auto download_resume::next_request() const -> resume_request
{
    auto range = "bytes=" + std::to_string(first_offset_ + received_) + "-";
    if (is_range_) {
        range += std::to_string(first_offset_ + *length_ - 1);
    }
    return {std::move(range), etag_};
}

auto download_resume::on_response(const download_head& head) const -> resume_decision
{
    auto next_offset = first_offset_ + received_;
    if (head.status == status_range_not_satisfiable) {
        // If the length is unknown, a 416 does not prove that the caller has received the whole
        // representation, because the interruption itself looks like the end of the body.
        return {finished() ? resume_action::complete : resume_action::abort};
    }
    if (head.status == status_conflict || head.status == status_too_many_requests ||
        head.status >= first_server_error) {
        return {resume_action::retry};
    }
    auto is_same_representation = head.etag == etag_ && head.content_encoding == content_encoding_;
    if (!is_same_representation) {
        return {resume_action::abort};
    }
    if (head.status == status_ok) {
        auto same_length = !representation_length_ || !head.content_length ||
                           *representation_length_ == *head.content_length;
        auto can_skip = same_length && !is_range_;
        return can_skip ? resume_decision{resume_action::skip_then_append, next_offset}
                        : resume_decision{resume_action::abort};
    }
    auto range = parse_content_range(head.content_range);
    if (head.status != status_partial || !range || range->first != next_offset) {
        return {resume_action::abort};
    }
    auto same_total =
        !representation_length_ || !range->total || *representation_length_ == *range->total;
    auto same_end = !length_ || range->last + 1 == first_offset_ + *length_;
    return {same_total && same_end ? resume_action::append : resume_action::abort};
}

} // namespace cornelswitch
