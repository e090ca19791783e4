#pragma once

#include "gateway/event_log.h"
#include "gateway/unary_client.h"
#include "platform/store_codec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelswitch {

/// How a topic is followed.
struct topic_options {
    std::string topic;
    /// Time that the store may hold a read without a record; zero polls.
    duration wait{0};
    /// Shortest time between the starts of two reads, so that frequent records are read together.
    duration pace{std::chrono::milliseconds{200}};
    /// An answer that the store does not hold back comes within this time, or the connection has
    /// gone silent or the store is down.
    duration answer_timeout{std::chrono::milliseconds{1200}};
    /// Records are large and replace each other, so after an outage only the newest of each key are
    /// read, not all that were missed.
    bool reloads_after_outage{false};
    /// Longest pause after a failed read.
    duration longest_failure_pause{std::chrono::milliseconds{600}};
};

/// Keeps a copy of the newest records of a keyed topic.
///
/// It starts from the store's newest records and then reads the log. When records were deleted
/// before they were read, it starts over; keys that are missing then were removed.
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
        /// Called with what changed, perhaps nothing, after each answered read. `proof` is a time
        /// at which the copy was the newest.
        std::function<void(const std::vector<change>&, time_point proof)> on_read;
        /// Called after a read of its own with the offsets that it covered. After a reload the
        /// changes lack what came and went in between.
        std::function<void(const std::vector<change>&, log_offset from, log_offset end,
                           bool is_reload)>
            on_news;
        /// Called when the topic can be read again, or not any more.
        std::function<void(bool is_available)> on_availability;
    };

    store_topic(event_loop& loop, unary_client& store, event_log& log, topic_options options,
                hooks receivers);
    store_topic(const store_topic&) = delete;
    auto operator=(const store_topic&) -> store_topic& = delete;
    ~store_topic();

    /// Reads for the first time after `delay`, unless news come before.
    auto start(duration delay = duration::zero()) -> void;
    /// Reads at once, without waiting for a record. A read in progress is given up.
    auto hurry() -> void;
    /// Ends the pause after a failed read, as when the store answered another call.
    auto retry() -> void;
    using record_list = std::vector<std::pair<std::string, std::string>>;
    /// Takes records that another instance read. Returns false, and takes nothing, when the copy
    /// lacks earlier ones or is newer. `is_reload`: deleted records are missing, so only a copy
    /// that is exactly at `from` takes them.
    auto accept(log_offset from, log_offset end, const record_list& records, duration age,
                bool is_reload) -> bool;
    /// Takes all records that another instance has. Returns false when the copy is newer.
    auto accept_whole(log_offset end, const record_list& records, duration age) -> bool;
    /// Time without news from others after which the topic is read.
    auto set_patience(duration patience) -> void;
    /// Somebody else reads for this instance from now on.
    auto rely_on_others() -> void;
    /// Whoever reads for this instance was alive at `since`, though it had no news.
    auto wait_on(time_point since) -> void;
    /// All records, for another instance.
    auto all() const -> record_list { return {records_.begin(), records_.end()}; }
    auto pace() const -> duration { return options_.pace; }
    auto set_wait(duration wait) -> void { options_.wait = wait; }
    auto set_pace(duration pace) -> void { options_.pace = pace; }
    /// Offset after the last record of the copy.
    auto end() const -> log_offset { return next_; }
    auto is_available() const -> bool { return is_available_; }
    auto is_loaded() const -> bool { return has_loaded_; }
    /// When another instance's news came last; none while this one reads itself.
    auto told_at() const -> std::optional<time_point> { return told_at_; }
    auto records() const -> const std::map<std::string, std::string>& { return records_; }
    /// Start of the read in progress, or of the last one.
    auto read_started() const -> time_point { return read_started_; }
    /// Start of the last read that was answered.
    auto last_read() const -> time_point { return last_read_; }

private:
    auto read() -> void;
    auto read_newest(const std::string& after) -> void;
    auto read_log() -> void;
    /// Replaces the copy. Returns what that changed.
    auto replace(std::map<std::string, std::string> records, log_offset end) -> std::vector<change>;
    auto on_told(const std::vector<change>& changes, duration age) -> void;
    auto on_failure(const error& cause) -> void;
    auto on_success(const std::vector<change>& changes, time_point proof) -> void;
    auto apply(const std::vector<keyed_record>& records) -> std::vector<change>;
    auto report_available() -> void;
    auto schedule(duration delay) -> void;

    event_loop& loop_;
    unary_client& store_;
    event_log& log_;
    topic_options options_;
    hooks hooks_;
    std::map<std::string, std::string> records_;
    /// Records of a new start that is not complete yet.
    std::map<std::string, std::string> loading_;
    log_offset loading_end_;
    log_offset next_;
    /// The copy may be followed on from `next_`; not after records were deleted.
    bool is_loaded_{false};
    bool has_loaded_{false};
    bool is_available_{false};
    bool has_reported_{false};
    bool is_reading_{false};
    bool is_hurried_{false};
    duration patience_{0};
    /// When somebody else's news came last; none while this instance reads.
    std::optional<time_point> told_at_;
    /// Number of the current read; answers to earlier ones are ignored.
    std::uint64_t read_number_{0};
    time_point read_started_{};
    time_point last_read_{};
    duration failure_pause_{0};
    event_loop::timer_id timer_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
