#include "adapters/nghttp2/stream_output.h"

#include "adapters/nghttp2/http2_session.h"

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <utility>

namespace cornelswitch {

namespace {

auto read_output(nghttp2_session*, int32_t stream, uint8_t* buf, size_t size, uint32_t* flags,
                 nghttp2_data_source* source, void* session) -> ssize_t
{
    auto* output = static_cast<stream_output*>(source->ptr);
    auto n = output->read(reinterpret_cast<char*>(buf), size);
    if (n > 0) {
        static_cast<http2_session*>(session)->add_sent_stream(stream);
    }
    if (output->at_end()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }
    return n == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED) : static_cast<ssize_t>(n);
}

} // namespace

auto stream_output::read(char* to, std::size_t size) -> std::size_t
{
    auto n = std::min(size, buffered());
    std::memcpy(to, buffer_.data() + offset_, n);
    offset_ += n;
    sent_ += n;
    if (offset_ == buffer_.size()) {
        buffer_.clear();
        offset_ = 0;
    }
    return n;
}

auto stream_output::take_sent() -> std::size_t
{
    return std::exchange(sent_, 0);
}

auto stream_output::provider() -> nghttp2_data_provider
{
    nghttp2_data_provider it{};
    it.source.ptr = this;
    it.read_callback = read_output;
    return it;
}

} // namespace cornelswitch
