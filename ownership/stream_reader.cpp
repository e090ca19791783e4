#include "ownership/stream_reader.h"

#include <algorithm>

namespace cornelswitch {

auto stream_reader::tick(time_point now, log_actions& out) -> void
{
    if (is_reading_ && now - read_started_at_ >= options_.read_timeout) {
        on_read_failed(now);
    }
    is_read_slow_ = is_reading_ && now - read_started_at_ >= options_.slow_read_delay;
    if (is_reading_ || now < not_before_) {
        return;
    }
    // After a page that ends before the end of the log, the next one is read at once.
    auto at_end = ready_ && next_offset() >= log_end_;
    auto wait = at_end && !writer_.needs_read_back() ? options_.long_poll_timeout : duration{0};
    is_reading_ = true;
    read_started_at_ = now;
    read_from_ = next_offset();
    ++last_token_;
    out.emplace_back(
        read_log{stream_.name(), last_token_, read_from_, options_.max_page_records, wait});
}

auto stream_reader::on_page(std::uint64_t token, const result<log_page>& page, time_point now,
                            log_actions& out) -> void
{
    if (!is_reading_ || token != last_token_) {
        return;
    }
    if (!page || !is_valid(page.value())) {
        on_read_failed(now);
        return;
    }
    is_reading_ = false;
    consecutive_failures_ = 0;
    log_start_ = page.value().first;
    log_end_ = page.value().end;
    // An installed copy may have moved the state past the offset that was read.
    if (read_from_ == next_offset()) {
        if (log_start_ > read_from_) {
            start_scan(page.value());
        } else if (next_scan_offset_) {
            scan(page.value(), out);
        } else {
            apply(page.value(), now, out);
        }
    }
    tick(now, out);
}

auto stream_reader::is_valid(const log_page& page) const -> bool
{
    if (page.first > page.end || page.end < read_from_) {
        return false;
    }
    if (page.first > read_from_) {
        return true;
    }
    auto expected = read_from_.value();
    for (const auto& it : page.records) {
        if (it.offset.value() != expected++) {
            return false;
        }
    }
    return expected <= page.end.value();
}

auto stream_reader::on_read_failed(time_point now) -> void
{
    is_reading_ = false;
    caught_up_ = false;
    auto wait = options_.initial_retry_delay * (1U << std::min(consecutive_failures_, 10U));
    not_before_ = now + std::min(wait, options_.max_retry_delay);
    ++consecutive_failures_;
}

auto stream_reader::start_scan(const log_page& page) -> void
{
    caught_up_ = false;
    next_scan_offset_ = page.first;
}

auto stream_reader::apply(const log_page& page, time_point now, log_actions& out) -> void
{
    auto changed = false;
    for (const auto& it : page.records) {
        auto applied = stream_.apply(it);
        changed = changed || (applied.status == apply_status::accepted && !applied.is_snapshot);
        writer_.on_applied(applied, out);
    }
    caught_up_ = stream_.end() == page.end;
    if (caught_up_) {
        changed = changed || !ready_;
        ready_ = true;
        caught_up_at_ = read_started_at_;
    }
    writer_.on_read({read_started_at_, page.end, stream_.end()}, now, out);
    if (changed) {
        out.emplace_back(stream_changed{stream_.name()});
    }
}

auto stream_reader::scan(const log_page& page, log_actions& out) -> void
{
    for (const auto& it : page.records) {
        stream_.scan(it);
        next_scan_offset_ = log_offset{it.offset.value() + 1};
    }
    if (*next_scan_offset_ != page.end || !stream_.install_scanned(page.first)) {
        return;
    }
    next_scan_offset_.reset();
    writer_.on_state_replaced(stream_, out);
    out.emplace_back(stream_changed{stream_.name()});
}

auto stream_reader::on_copy_installed(log_actions& out) -> void
{
    next_scan_offset_.reset();
    ready_ = true;
    caught_up_ = false;
    writer_.on_state_replaced(stream_, out);
    out.emplace_back(stream_changed{stream_.name()});
}

} // namespace cornelswitch
