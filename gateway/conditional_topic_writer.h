#pragma once

#include "gateway/store_topic.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace cornelswitch {

/// Appends records to the topic of the services' records. Each append is conditional: it fails if
/// the topic has records that this instance has not read.
class conditional_topic_writer {
public:
    /// Returns the value to write, or none when the write is no longer needed. Called right before
    /// each attempt, so that it can take into account what was read meanwhile.
    using value_function = std::function<std::optional<std::string>()>;
    /// Called when the value is stored. `sent_at` is when the append was sent: the value was the
    /// newest record then or later.
    using done_function = std::function<void(time_point sent_at)>;

    conditional_topic_writer(event_loop& loop, store_client& store, event_log& log,
                             std::string topic);

    auto set_copy(store_topic& copy) -> void { topic_copy_ = &copy; }
    /// Queues a write; replaces an earlier write of `key` that has not started.
    auto write(const std::string& key, value_function value, done_function done) -> void;
    /// The store was restored from a copy: conditions that were read before do not hold, so the
    /// next write waits until the copy was loaded anew.
    auto on_store_era() -> void;
    /// The copy has been brought up to date.
    auto on_copy_updated() -> void;
    auto writes() const -> std::uint64_t { return writes_; }

private:
    struct pending_write {
        std::string key;
        value_function value;
        done_function done;
    };

    auto start_next_write() -> void;

    event_loop& loop_;
    store_client& store_;
    event_log& log_;
    std::string topic_;
    store_topic* topic_copy_{nullptr};
    std::deque<pending_write> queue_;
    bool is_busy_{false};
    /// An append failed or got no response, so the next one waits for a read that shows the
    /// outcome.
    bool needs_read_{false};
    log_offset last_append_end_;
    std::uint64_t writes_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
