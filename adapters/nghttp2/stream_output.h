#pragma once

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Send buffer of one stream, from which nghttp2 reads as flow control permits.
class stream_output {
public:
    auto append(std::string_view data) -> void { buffer_.append(data); }
    auto finish() -> void { finished_ = true; }
    auto buffered() const -> std::size_t { return buffer_.size() - offset_; }
    /// Moves up to `size` bytes from the buffer to `to` and returns their number.
    auto read(char* to, std::size_t size) -> std::size_t;
    /// Whether all bytes were read and no more follow.
    auto at_end() const -> bool { return finished_ && buffered() == 0; }
    /// Bytes read since the previous call.
    auto take_sent() -> std::size_t;
    /// Data provider that reads from this object, which must not move until its stream is closed.
    auto provider() -> nghttp2_data_provider;

private:
    std::string buffer_;
    std::size_t offset_{0};
    std::size_t sent_{0};
    bool finished_{false};
};

} // namespace cornelswitch
