#include "ownership/snapshot_schedule.h"

#include <algorithm>

namespace cornelswitch {

auto snapshot_schedule::tick(bool enabled, time_point now) -> void
{
    if (!newest_seen_at_ || stream_.newest_snapshot() != newest_snapshot_end_) {
        newest_snapshot_end_ = stream_.newest_snapshot();
        newest_seen_at_ = now;
    }
    if (!enabled) {
        remaining_.clear();
        return;
    }
    if (remaining_.empty() && outstanding_.empty() && is_due(now)) {
        last_started_ = now;
        remaining_ = stream_.snapshot_records();
        std::reverse(remaining_.begin(), remaining_.end());
    }
    submit_chunks(now);
}

auto snapshot_schedule::is_due(time_point now) -> bool
{
    if (!reader_.caught_up() || stream_.end() == log_offset{0}) {
        return false;
    }
    if (last_started_ && now - *last_started_ < options_.min_interval) {
        return false;
    }
    auto snapshot_end = newest_snapshot_end_.value_or(log_offset{0}).value();
    return stream_.end().value() - snapshot_end >= options_.max_records ||
           now - *newest_seen_at_ >= options_.interval || is_retention_near();
}

auto snapshot_schedule::is_retention_near() const -> bool
{
    auto log_start = reader_.log_start().value();
    if (log_start == 0) {
        return false;
    }
    auto snapshot_end = newest_snapshot_end_.value_or(log_offset{0}).value();
    // A snapshot is useless once retention passes its end, so it must end in the newer half of the
    // retained log.
    return snapshot_end < log_start ||
           snapshot_end - log_start < (reader_.log_end().value() - log_start) / 2;
}

auto snapshot_schedule::submit_chunks(time_point now) -> void
{
    while (!remaining_.empty() && outstanding_.size() < options_.max_outstanding) {
        auto sequence = writer_.submit(remaining_.back(), now + options_.chunk_deadline);
        if (!sequence) {
            return;
        }
        remaining_.pop_back();
        outstanding_.insert(sequence.value());
    }
}

auto snapshot_schedule::on_settled(const append_settled& settled) -> void
{
    if (outstanding_.erase(settled.sequence) != 0 && settled.outcome != append_outcome::accepted) {
        remaining_.clear();
    }
}

} // namespace cornelswitch
