#pragma once

#include "gateway/event_log.h"
#include "gateway/store_client.h"
#include "platform/store_codec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornelswitch {

/// How a copy of a topic is kept up to date.
struct topic_options {
    std::string topic;
    /// Time for which the store may hold a read open until a record comes (long polling); zero
    /// polls.
    duration long_poll_time{0};
    /// Minimum time between the starts of two reads, so that frequent records are read in batches.
    duration min_read_interval{std::chrono::milliseconds{200}};
    /// Timeout of a read, on top of `long_poll_time`. Without a response in this time the
    /// connection has become unresponsive or the store is down.
    duration response_timeout{std::chrono::milliseconds{1200}};
    /// After an outage only the newest record of each key is read instead of all missed records;
    /// for topics with large records that replace each other.
    bool reloads_after_outage{false};
    /// Maximum delay before a failed read is retried.
    duration max_retry_delay{std::chrono::milliseconds{600}};
    /// Whether a record that a restored store lacks stays in force until a record replaces it.
    std::function<bool(const std::string& key)> keeps_after_restore{};
};

/// Keeps a copy of the newest record of each key of a topic in the store.
///
/// The copy is loaded from the store's newest records and then follows the log. When records were
/// deleted from the log before they were read, the copy is loaded anew; keys that are then missing
/// have been removed.
class store_topic {
public:
    struct change {
        std::string key;
        /// Empty when the key was removed.
        std::string value;
        /// Empty when the key is new.
        std::string previous;
    };
    struct hooks {
        /// Called with the changes, possibly none, after each successful read and each update from
        /// another instance. The copy was up to date at `confirmed_at`.
        std::function<void(const std::vector<change>&, time_point confirmed_at)> on_update;
        /// Called with the range of offsets that was read after each successful read from the
        /// store. After a reload, keys that were set and removed within the range are missing.
        std::function<void(const std::vector<change>&, log_offset from, log_offset end,
                           bool is_reload)>
            on_store_read;
        /// Called when the topic becomes readable or unreadable.
        std::function<void(bool is_available)> on_availability;
    };

    store_topic(event_loop& loop, store_client& store, event_log& log, topic_options options,
                hooks receivers);
    store_topic(const store_topic&) = delete;
    auto operator=(const store_topic&) -> store_topic& = delete;
    ~store_topic();

    /// Schedules the first read after `delay`, unless another instance sends an update before.
    auto start(duration delay = duration::zero()) -> void;
    /// Reads at once, without long polling, and abandons a read in progress.
    auto read_now() -> void;
    /// The store was restored from a copy: the copy of the topic is loaded anew, and serves as it
    /// is until then. Records that are missing are kept for `restore_grace`, because their writers
    /// write them again.
    auto on_store_era() -> void;
    /// Whether the copy is of an earlier era of the store.
    auto awaits_copy() const -> bool { return awaits_copy_; }
    /// Whether the read that is being reported is the first one in the present era.
    auto is_first_in_era() const -> bool { return is_first_in_era_; }
    /// Records that were given up because a restored store lacks them.
    auto dropped_records() const -> std::uint64_t { return dropped_records_; }
    /// Retries a failed read at once, for example because the store answered another call.
    auto retry() -> void;
    using record_list = std::vector<std::pair<std::string, std::string>>;
    /// Applies records that another instance has read. Returns false without a change when the copy
    /// lacks earlier records or is newer. With `is_reload`, deleted records may be missing, so only
    /// a copy that ends exactly at `from` can be updated.
    auto apply_update(log_offset from, log_offset end, const record_list& records, duration age,
                      bool is_reload) -> bool;
    /// Replaces the copy by another instance's. Returns false without a change when the own copy is
    /// newer.
    auto apply_snapshot(log_offset end, const record_list& records, duration age) -> bool;
    /// Sets the time without an update from other instances after which the topic is read from the
    /// store.
    auto set_fallback_delay(duration delay) -> void;
    /// Stops regular reads because another instance sends updates from now on.
    auto follow_peers() -> void;
    /// Restarts the fallback delay at `alive_at`, when the instance that sends updates was last
    /// known to be alive.
    auto extend_fallback(time_point alive_at) -> void;
    /// All records that the store has, in the form in which they are sent to another instance.
    auto snapshot() const -> record_list;
    auto min_read_interval() const -> duration { return options_.min_read_interval; }
    auto set_long_poll_time(duration time) -> void { options_.long_poll_time = time; }
    auto set_min_read_interval(duration interval) -> void { options_.min_read_interval = interval; }
    /// Offset after the last record of the copy.
    auto end() const -> log_offset { return end_; }
    auto is_available() const -> bool { return is_available_; }
    auto is_loaded() const -> bool { return is_loaded_; }
    /// When another instance last sent an update; none if the copy was read from the store since.
    auto peer_update_at() const -> std::optional<time_point> { return peer_update_at_; }
    auto records() const -> const std::map<std::string, std::string>& { return records_; }
    /// Start of the read in progress, or of the last one.
    auto read_started() const -> time_point { return read_started_; }
    /// Start of the last read that was answered.
    auto last_read() const -> time_point { return last_read_; }

private:
    auto read() -> void;
    auto read_newest(const std::string& after) -> void;
    auto read_log() -> void;
    /// Replaces the copy. Returns the changes.
    auto replace(std::map<std::string, std::string> records, log_offset end) -> std::vector<change>;
    auto on_peer_update(const std::vector<change>& changes, duration age) -> void;
    auto on_failure(const error& cause) -> void;
    auto on_success(const std::vector<change>& changes, time_point confirmed_at) -> void;
    auto apply(const std::vector<keyed_record>& records) -> std::vector<change>;
    auto report_available() -> void;
    auto schedule(duration delay) -> void;
    /// Keeps the records that a restored store lacks in `records`, for a while.
    auto keep_missing(std::map<std::string, std::string>& records) -> void;
    /// Gives up the records that are still missing.
    auto drop_missing() -> void;

    event_loop& loop_;
    store_client& store_;
    event_log& log_;
    topic_options options_;
    hooks hooks_;
    std::map<std::string, std::string> records_;
    /// Pages of newest records read so far while the copy is being loaded.
    std::map<std::string, std::string> loading_;
    log_offset loading_end_;
    log_offset end_;
    /// Whether the log can be read from `end_` on; not after records were deleted from it.
    bool can_follow_log_{false};
    /// Whether the copy has been loaded once.
    bool is_loaded_{false};
    bool is_available_{false};
    bool is_availability_reported_{false};
    bool is_reading_{false};
    bool skips_long_poll_{false};
    duration fallback_delay_{0};
    std::optional<time_point> peer_update_at_;
    /// Number of the current read; responses to earlier ones are ignored.
    std::uint64_t read_number_{0};
    time_point read_started_{};
    time_point last_read_{};
    duration retry_delay_{0};
    event_loop::timer_id timer_{0};
    bool awaits_copy_{false};
    bool is_first_in_era_{false};
    /// Until then, records that a restored store lacks are kept; zero before the first restore.
    time_point restore_grace_until_{};
    /// Keys of records that are kept although the restored store lacks them.
    std::set<std::string> missing_;
    std::uint64_t dropped_records_{0};
    event_loop::timer_id drop_timer_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
