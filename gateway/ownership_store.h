#pragma once

#include "gateway/store_topic.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace cornelswitch {

/// Appends records to the system's own topic, each under the condition that nothing was appended
/// that this instance has not read.
class ownership_store {
public:
    /// Returns the value to write, or none when the write has become pointless. Called right before
    /// each attempt, so that it can look at what was read meanwhile.
    using value_function = std::function<std::optional<std::string>()>;
    using done_function = std::function<void()>;

    ownership_store(event_loop& loop, unary_client& store, event_log& log, std::string topic);

    auto attach(store_topic& copy) -> void { copy_ = &copy; }
    /// Replaces an earlier write of `key` that has not been started.
    auto write(const std::string& key, value_function value, done_function done) -> void;
    /// The copy was read up to its end.
    auto on_read() -> void;
    auto writes() const -> std::uint64_t { return writes_; }

private:
    struct pending {
        std::string key;
        value_function value;
        done_function done;
    };

    auto next() -> void;

    event_loop& loop_;
    unary_client& store_;
    event_log& log_;
    std::string topic_;
    store_topic* copy_{nullptr};
    std::deque<pending> queue_;
    bool is_busy_{false};
    /// An append got no answer, so the next one waits for a read that shows what became of it.
    bool needs_read_{false};
    log_offset own_end_;
    std::uint64_t writes_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
