#include "gateway/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>

namespace cornelswitch {

namespace {

auto append_quoted(std::string& out, std::string_view text) -> void
{
    out.push_back('"');
    for (char letter : text) {
        auto byte = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            out.push_back('\\');
            out.push_back(letter);
        } else if (byte < 0x20 || byte >= 0x7f) {
            // Replaced, because text from outside may not be valid UTF-8.
            out.push_back('?');
        } else {
            out.push_back(letter);
        }
    }
    out.push_back('"');
}

auto append_field_name(std::string& out, std::string_view name) -> void
{
    out.push_back(',');
    append_quoted(out, name);
    out.push_back(':');
}

} // namespace

log_line::~log_line()
{
    if (log_ != nullptr) {
        log_->append(std::move(line_));
    }
}

auto log_line::text(std::string_view name, std::string_view value) -> log_line&
{
    if (log_ != nullptr) {
        append_field_name(line_, name);
        append_quoted(line_, value);
    }
    return *this;
}

auto log_line::number(std::string_view name, std::int64_t value) -> log_line&
{
    if (log_ != nullptr) {
        append_field_name(line_, name);
        line_.append(std::to_string(value));
    }
    return *this;
}

auto log_line::decimal(std::string_view name, double value) -> log_line&
{
    if (log_ != nullptr) {
        std::array<char, 32> text{};
        auto n = std::snprintf(text.data(), text.size(), "%.2f", value);
        append_field_name(line_, name);
        line_.append(text.data(), static_cast<std::size_t>(n));
    }
    return *this;
}

auto log_line::ms(std::string_view name, duration value) -> log_line&
{
    return decimal(name, std::chrono::duration<double, std::milli>{value}.count());
}

event_log::event_log(const clock& time, int fd, std::string_view instance, std::string_view zone)
    : time_{time}, fd_{fd}
{
    append_field_name(common_fields_, "instance");
    append_quoted(common_fields_, instance);
    append_field_name(common_fields_, "zone");
    append_quoted(common_fields_, zone);
    if (fd_ >= 0) {
        fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
    }
}

event_log::~event_log()
{
    flush();
}

auto event_log::try_count_line(rate_limit& limit) -> bool
{
    auto now = time_.now();
    if (now - limit.window_start >= std::chrono::seconds{1}) {
        limit.window_start = now;
        limit.lines = 0;
    }
    if (fd_ < 0 || ++limit.lines > lines_per_second || buffer_.size() > max_buffered) {
        dropped_ += fd_ < 0 ? 0 : 1;
        return false;
    }
    return true;
}

auto event_log::request_line(std::string_view event) -> log_line
{
    return start_line(request_limit_, event);
}

auto event_log::line(std::string_view event) -> log_line
{
    return start_line(other_limit_, event);
}

auto event_log::start_line(rate_limit& limit, std::string_view event) -> log_line
{
    if (!try_count_line(limit)) {
        return {nullptr, {}};
    }
    return {this, line_prefix(event)};
}

auto event_log::line_prefix(std::string_view event) const -> std::string
{
    auto now =
        std::chrono::duration_cast<std::chrono::microseconds>(time_.wall_now().time_since_epoch());
    std::string out;
    out.reserve(320);
    std::array<char, 64> text{};
    auto n = std::snprintf(text.data(), text.size(), "{\"time\":%.3f",
                           static_cast<double>(now.count()) / 1e6);
    out.append(text.data(), static_cast<std::size_t>(n));
    out.append(common_fields_);
    append_field_name(out, "event");
    append_quoted(out, event);
    return out;
}

auto event_log::append(std::string line) -> void
{
    buffer_.append(line).append("}\n");
    ++written_;
}

auto event_log::flush() -> void
{
    if (dropped_ > last_reported_dropped_ && fd_ >= 0) {
        buffer_.append(line_prefix("log-dropped") +
                       ",\"lines\":" + std::to_string(dropped_ - last_reported_dropped_) + "}\n");
        last_reported_dropped_ = dropped_;
    }
    while (!buffer_.empty() && fd_ >= 0) {
        auto n = ::write(fd_, buffer_.data(), buffer_.size());
        if (n <= 0) {
            // The descriptor has failed, so the buffered lines cannot be written any more.
            if (n < 0 && errno != EAGAIN && errno != EINTR) {
                dropped_ += 1;
                buffer_.clear();
            }
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace cornelswitch
