#include "cli/blocking_log.h"

#include <optional>

namespace cornelswitch {

auto blocking_log::append(log_stream stream, std::string data) -> result<log_offset>
{
    std::optional<result<log_offset>> out;
    log_.append(stream, std::move(data), [&](result<log_offset> offset) { out = offset; });
    while (!out) {
        pump_();
    }
    return *out;
}

auto blocking_log::read(log_stream stream, log_offset from, std::size_t limit, duration wait)
    -> result<log_page>
{
    std::optional<result<log_page>> out;
    log_.read(stream, from, limit, wait, [&](result<log_page> page) { out = std::move(page); });
    while (!out) {
        pump_();
    }
    return std::move(*out);
}

} // namespace cornelswitch
