#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Parts of a response head that determine whether and how a download is resumed.
struct download_head {
    std::uint32_t status{0};
    /// Values of the response headers; empty if absent.
    std::string_view etag;
    std::string_view content_range;
    std::string_view content_encoding;
    std::optional<std::uint64_t> content_length;
};

/// Headers of a request that resumes a download.
struct resume_request {
    /// Value of `Range`, for example `bytes=500-`.
    std::string range;
    /// Value of `If-Range`.
    std::string if_range;
};

enum class resume_action : std::uint8_t {
    /// Append the body to what the caller has received.
    append,
    /// The server sent the whole representation: skip the first `skip_bytes` bytes, then append.
    skip_then_append,
    /// The caller has already received everything.
    complete,
    /// The server refused temporarily; the same request may be retried within the retry budget.
    retry,
    /// The representation has changed or cannot be resumed: abort the caller's response.
    abort,
};

struct resume_decision {
    resume_action action{resume_action::abort};
    std::uint64_t skip_bytes{0};
};

/// State of an idempotent GET whose response is being forwarded. After an interruption it is
/// resumed only if a strong ETag proves that the remaining bytes belong to the same representation.
class download_resume {
public:
    /// Call when the response head of the first attempt arrives. Returns none if the download
    /// cannot be resumed: another method, a status other than 200 or 206, or no strong ETag.
    static auto start(std::string_view method, bool idempotent, const download_head& head)
        -> std::optional<download_resume>;

    /// Body bytes were forwarded to the caller.
    auto on_body(std::uint64_t bytes) -> void { received_ += bytes; }
    /// Whether the caller has received the whole body. False if the length is unknown.
    auto finished() const -> bool;
    /// Headers of the request for the remaining bytes.
    auto next_request() const -> resume_request;
    /// The head of the response to `next_request` arrived.
    auto on_response(const download_head& head) const -> resume_decision;

private:
    std::string etag_;
    std::string content_encoding_;
    /// Offset in the representation of the first byte of the caller's response.
    std::uint64_t first_offset_{0};
    /// Length of the caller's response; none if the first response did not specify it.
    std::optional<std::uint64_t> length_;
    /// Whether the caller's request is itself a range request.
    bool is_range_{false};
    std::optional<std::uint64_t> representation_length_;
    std::uint64_t received_{0};
};

} // namespace cornelswitch
