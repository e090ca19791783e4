#include "gateway/store_topic.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

/// Delay before the first retry of a failed read; doubles so that a store that is down gets few
/// calls.
constexpr duration min_retry_delay = std::chrono::milliseconds{150};
/// Time after a restore of the store in which its writers write their records again. Servers take
/// about two seconds.
constexpr duration restore_grace = std::chrono::seconds{3};

} // namespace

store_topic::store_topic(event_loop& loop, store_client& store, event_log& log,
                         topic_options options, hooks receivers)
    : loop_{loop}, store_{store}, log_{log}, options_{std::move(options)}, hooks_{
                                                                               std::move(receivers)}
{
}

store_topic::~store_topic()
{
    *alive_ = false;
    loop_.cancel(timer_);
    loop_.cancel(drop_timer_);
}

auto store_topic::on_store_era() -> void
{
    restore_grace_until_ = loop_.now() + restore_grace;
    if (!is_loaded_) {
        return;
    }
    awaits_copy_ = true;
    can_follow_log_ = false;
    loop_.cancel(drop_timer_);
    drop_timer_ = loop_.schedule(restore_grace, [this] { drop_missing(); });
    if (!peer_update_at_) {
        read_now();
        return;
    }
    // The instance that reads for this one sends a copy.
    peer_update_at_ = loop_.now();
    is_reading_ = false;
    ++read_number_;
    schedule(fallback_delay_);
}

auto store_topic::snapshot() const -> record_list
{
    record_list out;
    for (const auto& it : records_) {
        if (!missing_.contains(it.first)) {
            out.push_back(it);
        }
    }
    return out;
}

auto store_topic::keep_missing(std::map<std::string, std::string>& records) -> void
{
    auto missing_before = std::exchange(missing_, {});
    bool is_grace = loop_.now() < restore_grace_until_;
    for (const auto& [key, value] : records_) {
        bool may_be_lost = awaits_copy_ || missing_before.contains(key);
        bool is_kept = is_grace || (may_be_lost && options_.keeps_after_restore &&
                                    options_.keeps_after_restore(key));
        if (is_kept && records.emplace(key, value).second) {
            missing_.insert(key);
        }
    }
}

auto store_topic::drop_missing() -> void
{
    if (awaits_copy_) {
        return;
    }
    std::vector<change> changes;
    std::erase_if(missing_, [&](const std::string& key) {
        if (options_.keeps_after_restore && options_.keeps_after_restore(key)) {
            return false;
        }
        auto known = records_.find(key);
        changes.push_back({key, {}, std::move(known->second)});
        records_.erase(known);
        return true;
    });
    if (changes.empty()) {
        return;
    }
    dropped_records_ += changes.size();
    log_.line("store-records-dropped")
        .text("topic", options_.topic)
        .number("records", static_cast<std::int64_t>(changes.size()));
    if (hooks_.on_update) {
        hooks_.on_update(changes, last_read_);
    }
}

auto store_topic::start(duration delay) -> void
{
    schedule(delay);
}

auto store_topic::set_fallback_delay(duration delay) -> void
{
    if (std::exchange(fallback_delay_, delay) != delay && peer_update_at_ && !is_reading_) {
        schedule(*peer_update_at_ + fallback_delay_ - loop_.now());
    }
}

auto store_topic::follow_peers() -> void
{
    if (!is_loaded_ || peer_update_at_) {
        return;
    }
    peer_update_at_ = loop_.now();
    if (!is_reading_) {
        schedule(fallback_delay_);
    }
}

auto store_topic::extend_fallback(time_point alive_at) -> void
{
    if (peer_update_at_ && !is_reading_ && *peer_update_at_ < alive_at) {
        peer_update_at_ = alive_at;
        schedule(alive_at + fallback_delay_ - loop_.now());
    }
}

auto store_topic::schedule(duration delay) -> void
{
    loop_.cancel(timer_);
    timer_ = loop_.schedule(delay, [this] { read(); });
}

auto store_topic::read_now() -> void
{
    skips_long_poll_ = true;
    is_reading_ = false;
    ++read_number_;
    schedule(duration::zero());
}

auto store_topic::retry() -> void
{
    if (!is_available_ && is_availability_reported_ && !is_reading_) {
        schedule(duration::zero());
    }
}

auto store_topic::read() -> void
{
    if (is_reading_) {
        return;
    }
    is_reading_ = true;
    ++read_number_;
    read_started_ = loop_.now();
    bool reloads = options_.reloads_after_outage && !is_available_;
    if (can_follow_log_ && !reloads) {
        read_log();
        return;
    }
    loading_.clear();
    read_newest({});
}

auto store_topic::read_newest(const std::string& after) -> void
{
    auto request = store_codec::snapshot_request(options_.topic, after);
    auto is_first = after.empty();
    store_.call(
        std::move(request), options_.response_timeout,
        [this, is_first, number = read_number_, alive = alive_](result<http_response> response) {
            if (!*alive || number != read_number_) {
                return;
            }
            if (response.has_error()) {
                on_failure(response.error());
                return;
            }
            auto page = store_codec::decode_snapshot(response.value());
            if (page.has_error()) {
                on_failure(page.error());
                return;
            }
            // The pages are not one consistent snapshot, so the log is followed from the end offset
            // of the first page on: that repeats what changed while the pages were read.
            if (is_first) {
                loading_end_ = page.value().end;
            }
            for (auto& it : page.value().records) {
                loading_.insert_or_assign(it.key, it.value);
            }
            if (page.value().has_more && !page.value().records.empty()) {
                read_newest(page.value().records.back().key);
                return;
            }
            auto from = end_;
            bool was_loaded = is_loaded_;
            is_first_in_era_ = awaits_copy_;
            auto changes = replace(std::move(loading_), loading_end_);
            loading_.clear();
            if (was_loaded && hooks_.on_store_read) {
                hooks_.on_store_read(changes, from, end_, true);
            }
            is_first_in_era_ = false;
            on_success(changes, read_started_);
        });
}

auto store_topic::replace(std::map<std::string, std::string> records, log_offset end)
    -> std::vector<change>
{
    std::vector<change> out;
    if (restore_grace_until_ != time_point{}) {
        keep_missing(records);
    }
    for (auto& [key, value] : records_) {
        if (!records.contains(key)) {
            out.push_back({key, {}, std::move(value)});
        }
    }
    for (const auto& [key, value] : records) {
        auto known = records_.find(key);
        if (known == records_.end()) {
            out.push_back({key, value, {}});
        } else if (known->second != value) {
            out.push_back({key, value, std::move(known->second)});
        }
    }
    records_ = std::move(records);
    end_ = end;
    can_follow_log_ = true;
    is_loaded_ = true;
    awaits_copy_ = false;
    return out;
}

auto store_topic::read_log() -> void
{
    auto from = end_;
    auto long_poll_time =
        std::exchange(skips_long_poll_, false) ? duration::zero() : options_.long_poll_time;
    store_.call(
        store_codec::read_request(options_.topic, from, long_poll_time),
        long_poll_time + options_.response_timeout,
        [this, from, number = read_number_, alive = alive_](result<http_response> response) {
            if (!*alive || number != read_number_) {
                return;
            }
            if (response.has_error()) {
                on_failure(response.error());
                return;
            }
            auto page = store_codec::decode_read(response.value(), from);
            if (page.has_error()) {
                if (page.error().code == error_code::not_found) {
                    can_follow_log_ = false;
                }
                on_failure(page.error());
                return;
            }
            end_ = page.value().end;
            auto changes = apply(page.value().records);
            if (hooks_.on_store_read) {
                hooks_.on_store_read(changes, from, end_, false);
            }
            on_success(changes, read_started_);
        });
}

auto store_topic::apply(const std::vector<keyed_record>& records) -> std::vector<change>
{
    std::vector<change> out;
    for (const auto& it : records) {
        missing_.erase(it.key);
        auto known = records_.find(it.key);
        change next{it.key, it.value, {}};
        if (known != records_.end()) {
            next.previous = std::move(known->second);
        }
        if (it.value.empty()) {
            records_.erase(it.key);
        } else {
            records_.insert_or_assign(it.key, it.value);
        }
        // Several records of one key become one change from the first previous value to the newest.
        auto earlier = std::ranges::find(out, it.key, &change::key);
        if (earlier != out.end()) {
            next.previous = std::move(earlier->previous);
            out.erase(earlier);
        }
        out.push_back(std::move(next));
    }
    return out;
}

auto store_topic::on_failure(const error& cause) -> void
{
    is_reading_ = false;
    bool was_available = is_available_ || !is_availability_reported_;
    // Records were deleted from the log, which is no outage: loads the copy anew at once.
    if (cause.code == error_code::not_found) {
        log_.line("store-restart").text("topic", options_.topic).text("cause", cause.message);
        schedule(duration::zero());
        return;
    }
    is_available_ = false;
    if (was_available) {
        is_availability_reported_ = true;
        log_.line("store-lost")
            .text("topic", options_.topic)
            .text("step", cause.step)
            .text("cause", cause.message)
            .ms("last_read_age_ms", loop_.now() - last_read_);
        if (hooks_.on_availability) {
            hooks_.on_availability(false);
        }
    }
    // A refused connection costs no call, so it is retried at the shortest delay: after a network
    // cut the copy must be up to date again within three seconds.
    bool reached_store = cause.code != error_code::connection_refused;
    retry_delay_ = std::clamp(reached_store ? retry_delay_ * 2 : duration::zero(), min_retry_delay,
                              options_.max_retry_delay);
    schedule(retry_delay_);
}

auto store_topic::report_available() -> void
{
    if (is_available_) {
        return;
    }
    is_available_ = true;
    is_availability_reported_ = true;
    log_.line("store-regained")
        .text("topic", options_.topic)
        .number("offset", static_cast<std::int64_t>(end_.value()));
    if (hooks_.on_availability) {
        hooks_.on_availability(true);
    }
}

auto store_topic::apply_update(log_offset from, log_offset end, const record_list& records,
                               duration age, bool is_reload) -> bool
{
    bool is_contiguous = is_reload ? from == end_ : from <= end_;
    if (!is_loaded_ || awaits_copy_ || !is_contiguous || end < end_) {
        return false;
    }
    std::vector<keyed_record> page;
    page.reserve(records.size());
    for (const auto& [key, value] : records) {
        page.push_back({key, value, end});
    }
    end_ = end;
    on_peer_update(apply(page), age);
    return true;
}

auto store_topic::apply_snapshot(log_offset end, const record_list& records, duration age) -> bool
{
    if (is_loaded_ && !awaits_copy_ && end < end_) {
        return false;
    }
    on_peer_update(replace({records.begin(), records.end()}, end), age);
    return true;
}

auto store_topic::on_peer_update(const std::vector<change>& changes, duration age) -> void
{
    // Ignores the response to a read in progress, as it may be older than the update.
    is_reading_ = false;
    ++read_number_;
    can_follow_log_ = true;
    peer_update_at_ = loop_.now();
    last_read_ = *peer_update_at_ - age;
    retry_delay_ = duration::zero();
    report_available();
    schedule(fallback_delay_);
    if (hooks_.on_update) {
        hooks_.on_update(changes, last_read_);
    }
}

auto store_topic::on_success(const std::vector<change>& changes, time_point confirmed_at) -> void
{
    is_reading_ = false;
    peer_update_at_.reset();
    last_read_ = confirmed_at;
    retry_delay_ = duration::zero();
    report_available();
    auto delay =
        std::max(duration::zero(), read_started_ + options_.min_read_interval - loop_.now());
    schedule(delay);
    if (hooks_.on_update) {
        hooks_.on_update(changes, confirmed_at);
    }
}

} // namespace cornelswitch
