#include "gateway/store_topic.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

/// Pause after a failed read; it grows so that a store that is down gets few calls.
constexpr duration first_failure_pause = std::chrono::milliseconds{150};

} // namespace

store_topic::store_topic(event_loop& loop, unary_client& store, event_log& log,
                         topic_options options, hooks receivers)
    : loop_{loop}, store_{store}, log_{log}, options_{std::move(options)}, hooks_{
                                                                               std::move(receivers)}
{
}

store_topic::~store_topic()
{
    *alive_ = false;
    loop_.cancel(timer_);
}

auto store_topic::start(duration delay) -> void
{
    schedule(delay);
}

auto store_topic::set_patience(duration patience) -> void
{
    if (std::exchange(patience_, patience) != patience && told_at_ && !is_reading_) {
        schedule(*told_at_ + patience_ - loop_.now());
    }
}

auto store_topic::rely_on_others() -> void
{
    if (!has_loaded_ || told_at_) {
        return;
    }
    told_at_ = loop_.now();
    if (!is_reading_) {
        schedule(patience_);
    }
}

auto store_topic::wait_on(time_point since) -> void
{
    if (told_at_ && !is_reading_ && *told_at_ < since) {
        told_at_ = since;
        schedule(since + patience_ - loop_.now());
    }
}

auto store_topic::schedule(duration delay) -> void
{
    loop_.cancel(timer_);
    timer_ = loop_.schedule(delay, [this] { read(); });
}

auto store_topic::hurry() -> void
{
    is_hurried_ = true;
    is_reading_ = false;
    ++read_number_;
    schedule(duration::zero());
}

auto store_topic::retry() -> void
{
    if (!is_available_ && has_reported_ && !is_reading_) {
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
    if (is_loaded_ && !reloads) {
        read_log();
        return;
    }
    loading_.clear();
    read_newest({});
}

auto store_topic::read_newest(const std::string& after) -> void
{
    auto request = store_codec::newest_request(options_.topic, after);
    auto is_first = after.empty();
    store_.call(
        std::move(request), options_.answer_timeout,
        [this, is_first, number = read_number_, alive = alive_](result<http_response> answer) {
            if (!*alive || number != read_number_) {
                return;
            }
            if (answer.has_error()) {
                on_failure(answer.error());
                return;
            }
            auto page = store_codec::decode_newest(answer.value());
            if (page.has_error()) {
                on_failure(page.error());
                return;
            }
            // Pages are no snapshot: what changes meanwhile is read again from the end of
            // the first one.
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
            auto from = next_;
            bool was_loaded = has_loaded_;
            auto changes = replace(std::move(loading_), loading_end_);
            loading_.clear();
            if (was_loaded && hooks_.on_news) {
                hooks_.on_news(changes, from, next_, true);
            }
            on_success(changes, read_started_);
        });
}

auto store_topic::replace(std::map<std::string, std::string> records, log_offset end)
    -> std::vector<change>
{
    std::vector<change> out;
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
    next_ = end;
    is_loaded_ = true;
    has_loaded_ = true;
    return out;
}

auto store_topic::read_log() -> void
{
    auto from = next_;
    auto wait = std::exchange(is_hurried_, false) ? duration::zero() : options_.wait;
    store_.call(store_codec::read_request(options_.topic, from, wait),
                wait + options_.answer_timeout,
                [this, from, number = read_number_, alive = alive_](result<http_response> answer) {
                    if (!*alive || number != read_number_) {
                        return;
                    }
                    if (answer.has_error()) {
                        on_failure(answer.error());
                        return;
                    }
                    auto page = store_codec::decode_read(answer.value(), from);
                    if (page.has_error()) {
                        if (page.error().code == error_code::not_found) {
                            is_loaded_ = false;
                        }
                        on_failure(page.error());
                        return;
                    }
                    next_ = page.value().end;
                    auto changes = apply(page.value().records);
                    if (hooks_.on_news) {
                        hooks_.on_news(changes, from, next_, false);
                    }
                    on_success(changes, read_started_);
                });
}

auto store_topic::apply(const std::vector<keyed_record>& records) -> std::vector<change>
{
    std::vector<change> out;
    for (const auto& it : records) {
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
        // Only the newest record of a key matters, and what it had before all of them.
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
    bool was_available = is_available_ || !has_reported_;
    // Deleted records are no outage; the copy starts over at once.
    if (cause.code == error_code::not_found) {
        log_.line("store-restart").text("topic", options_.topic).text("cause", cause.message);
        schedule(duration::zero());
        return;
    }
    is_available_ = false;
    if (was_available) {
        has_reported_ = true;
        log_.line("store-lost")
            .text("topic", options_.topic)
            .text("step", cause.step)
            .text("cause", cause.message)
            .ms("last_read_age_ms", loop_.now() - last_read_);
        if (hooks_.on_availability) {
            hooks_.on_availability(false);
        }
    }
    // An attempt that reached nothing is no call, so it is repeated soon: after a cut the copy has
    // to be new again within three seconds.
    bool has_called = cause.code != error_code::connection_refused;
    failure_pause_ = std::clamp(has_called ? failure_pause_ * 2 : duration::zero(),
                                first_failure_pause, options_.longest_failure_pause);
    schedule(failure_pause_);
}

auto store_topic::report_available() -> void
{
    if (is_available_) {
        return;
    }
    is_available_ = true;
    has_reported_ = true;
    log_.line("store-regained")
        .text("topic", options_.topic)
        .number("offset", static_cast<std::int64_t>(next_.value()));
    if (hooks_.on_availability) {
        hooks_.on_availability(true);
    }
}

auto store_topic::accept(log_offset from, log_offset end, const record_list& records, duration age,
                         bool is_reload) -> bool
{
    bool fits = is_reload ? from == next_ : from <= next_;
    if (!has_loaded_ || !fits || end < next_) {
        return false;
    }
    std::vector<keyed_record> page;
    page.reserve(records.size());
    for (const auto& [key, value] : records) {
        page.push_back({key, value, end});
    }
    next_ = end;
    on_told(apply(page), age);
    return true;
}

auto store_topic::accept_whole(log_offset end, const record_list& records, duration age) -> bool
{
    if (has_loaded_ && end < next_) {
        return false;
    }
    on_told(replace({records.begin(), records.end()}, end), age);
    return true;
}

auto store_topic::on_told(const std::vector<change>& changes, duration age) -> void
{
    // An answer to a read in progress may be older.
    is_reading_ = false;
    ++read_number_;
    is_loaded_ = true;
    told_at_ = loop_.now();
    last_read_ = *told_at_ - age;
    failure_pause_ = duration::zero();
    report_available();
    schedule(patience_);
    if (hooks_.on_read) {
        hooks_.on_read(changes, last_read_);
    }
}

auto store_topic::on_success(const std::vector<change>& changes, time_point proof) -> void
{
    is_reading_ = false;
    told_at_.reset();
    last_read_ = proof;
    failure_pause_ = duration::zero();
    report_available();
    auto pause = std::max(duration::zero(), read_started_ + options_.pace - loop_.now());
    schedule(pause);
    if (hooks_.on_read) {
        hooks_.on_read(changes, proof);
    }
}

} // namespace cornelswitch
