#include "ownership/log_writer.h"

#include "config/writer_window.h"

#include <algorithm>
#include <array>

namespace cornelswitch {

namespace {

// Half of the state's window, so that a retried record is never taken for a duplicate because its
// sequence number is too old.
constexpr std::uint64_t max_sequence_span = writer_window::sequences_per_writer / 2;
constexpr std::size_t max_abandoned = 64;

} // namespace

auto operator<<(std::ostream& os, append_outcome outcome) -> std::ostream&
{
    static constexpr auto names =
        std::to_array<std::string_view>({"accepted", "dropped", "unknown", "not-sent"});
    return os << names.at(static_cast<std::size_t>(outcome));
}

auto log_writer::submit(const record_encoder& encode, time_point deadline)
    -> result<writer_sequence>
{
    if (entries_.size() >= options_.max_queued) {
        return error{error_code::unavailable, "log-append", "", "too many unsettled records"};
    }
    last_sequence_ = writer_sequence{last_sequence_.value() + 1};
    entry it;
    it.data = encode(header(last_sequence_));
    it.deadline = deadline;
    entries_.emplace(last_sequence_, std::move(it));
    return last_sequence_;
}

auto log_writer::header(writer_sequence sequence) const -> record_header
{
    return {writer_, boot_, sequence};
}

auto log_writer::on_appended(writer_sequence sequence, std::uint32_t attempt,
                             const result<log_offset>& answer, time_point now) -> void
{
    auto it = entries_.find(sequence);
    if (it == entries_.end()) {
        return;
    }
    if (answer) {
        // A late answer to an earlier attempt also proves that the record is in the log.
        it->second.state = phase::answered;
        it->second.offset = answer.value();
    } else if (it->second.state == phase::in_flight && it->second.attempt == attempt) {
        mark_failed(it->second, now);
    }
}

auto log_writer::mark_failed(entry& it, time_point now) -> void
{
    it.state = phase::uncertain;
    it.failed_at = now;
    it.read_back_to.reset();
    auto doublings = std::min(it.attempt - 1, 10U);
    auto wait = options_.initial_retry_delay * (1U << doublings);
    it.not_before = now + std::min(wait, options_.max_retry_delay);
}

auto log_writer::on_applied(const apply_result& applied, log_actions& out) -> void
{
    const auto& from = applied.header;
    if (from.writer != writer_ || from.boot != boot_ || applied.status == apply_status::duplicate) {
        return;
    }
    auto accepted = applied.status == apply_status::accepted;
    auto outcome = accepted ? append_outcome::accepted : append_outcome::dropped;
    auto it = entries_.find(from.sequence);
    if (it != entries_.end()) {
        settle_entry(it, outcome, applied, out);
    } else if (abandoned_.erase(from.sequence) != 0) {
        out.emplace_back(append_settled{stream_, from.sequence, outcome, applied});
    }
}

auto log_writer::on_read(const read_progress& progress, time_point now, log_actions& out) -> void
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& record = it->second;
        if (record.state == phase::answered && record.offset < progress.applied_end) {
            // The offset was applied without a result for this record.
            it = settle_entry(it, append_outcome::unknown, {}, out);
            continue;
        }
        if (record.state == phase::uncertain) {
            if (!record.read_back_to && progress.started >= record.failed_at) {
                record.read_back_to = progress.log_end;
            }
            if (record.read_back_to && progress.applied_end >= *record.read_back_to) {
                record.state = phase::queued;
            }
        }
        ++it;
    }
    tick(now, out);
}

auto log_writer::on_state_replaced(const applied_stream& stream, log_actions& out) -> void
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto is_offset_applied =
            it->second.state == phase::answered && it->second.offset < stream.end();
        if (is_offset_applied || stream.was_applied(header(it->first))) {
            it = settle_entry(it, append_outcome::unknown, {}, out);
        } else {
            ++it;
        }
    }
}

auto log_writer::tick(time_point now, log_actions& out) -> void
{
    for (auto it = entries_.begin(); it != entries_.end();) {
        auto& record = it->second;
        if (record.state == phase::in_flight && now - record.sent_at >= options_.append_timeout) {
            mark_failed(record, now);
        }
        if (now < record.deadline) {
            ++it;
            continue;
        }
        auto outcome = record.attempt == 0 ? append_outcome::not_sent : append_outcome::unknown;
        it = settle_entry(it, outcome, {}, out);
    }
    send_queued(now, out);
}

auto log_writer::send_queued(time_point now, log_actions& out) -> void
{
    if (entries_.empty()) {
        return;
    }
    auto max_sequence = entries_.begin()->first.value() + max_sequence_span;
    auto free_capacity =
        options_.max_outstanding - std::min(outstanding(), options_.max_outstanding);
    for (auto& [sequence, it] : entries_) {
        if (free_capacity == 0 || sequence.value() > max_sequence) {
            return;
        }
        if (it.state != phase::queued || now < it.not_before) {
            continue;
        }
        it.state = phase::in_flight;
        it.sent_at = now;
        ++it.attempt;
        --free_capacity;
        out.emplace_back(append_log{stream_, sequence, it.attempt, it.data});
    }
}

auto log_writer::settle_entry(entry_map::iterator it, append_outcome outcome,
                              const apply_result& applied, log_actions& out) -> entry_map::iterator
{
    if (outcome == append_outcome::unknown) {
        abandoned_.insert(it->first);
        if (abandoned_.size() > max_abandoned) {
            abandoned_.erase(abandoned_.begin());
        }
    }
    out.emplace_back(append_settled{stream_, it->first, outcome, applied});
    return entries_.erase(it);
}

auto log_writer::outstanding() const -> std::size_t
{
    auto is_outstanding = [](const auto& it) { return it.second.state != phase::queued; };
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), is_outstanding));
}

auto log_writer::needs_read_back() const -> bool
{
    return std::any_of(entries_.begin(), entries_.end(), [](const auto& it) {
        return it.second.state == phase::uncertain && !it.second.read_back_to;
    });
}

} // namespace cornelswitch
