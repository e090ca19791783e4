#pragma once

#include "adapters/http_message.h"

#include <cstdint>
#include <string>

namespace cornelswitch {

/// A file of the stand-in backend server. Its content is a function of its name, so that a caller
/// can verify the bytes that it receives. Sizes and positions are in bytes.
class download_file {
public:
    static constexpr std::uint64_t max_size = std::uint64_t{64} << 20U;

    download_file(std::string name, std::uint64_t size) : name_{std::move(name)}, size_{size} {}

    auto size() const -> std::uint64_t { return size_; }
    /// Strong entity tag of name and size, quotes included.
    auto etag() const -> std::string;
    /// `length` bytes from position `from`.
    auto bytes(std::uint64_t from, std::uint64_t length) const -> std::string;

    /// Part of the file that a response carries.
    struct part {
        /// HTTP status: 200, 206 or 416.
        int status{200};
        std::uint64_t from{0};
        std::uint64_t length{0};
    };
    /// Evaluates `range` and `if-range` (RFC 9110, section 14). One range is supported; any other
    /// or a malformed `range` selects the whole file.
    auto select(const header_list& headers) const -> part;

private:
    std::string name_;
    std::uint64_t size_;
};

} // namespace cornelswitch
