#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cornelswitch {

/// In which order waiting requests that can be in time are sent.
enum class admission_order : std::uint8_t {
    /// By priority, then by objective.
    priority,
    /// By value for each slot second, then by objective.
    value,
    /// By the latest time at which the request can start and meet its objective.
    latest_start,
};

/// Parameters of the rule of value. The defaults are used by the gateway; the benchmark compares
/// them with others.
struct admission_value_settings {
    admission_order order{admission_order::priority};
    /// Whether a waiting request is refused in favour of a more valuable one.
    bool displaces{true};
    /// Whether the value of a request is divided by its expected work.
    bool counts_work{true};
    /// Value of a request relative to one of the next less urgent priority. Classes of one service
    /// differ in work by less than this factor, so the priority decides between priorities and
    /// the work within one.
    double priority_step{16.0};
    /// A class is sent ahead of its priority when its served share falls below this part of the
    /// share of all requests. No workspace may be served less than a quarter as often as all.
    double min_served_share{0.25};
    /// Whether refused callers get a place for their return.
    bool books_returns{true};
    /// Part of the expected wait that is not counted when a waiting request is tested. The estimate
    /// of the wait scatters, and a waiting request is not refused on a small excess.
    double wait_tolerance{0.25};
};

/// What the value of a request depends on.
struct value_inputs {
    /// Number of more urgent priorities in use.
    std::uint32_t level{0};
    duration work{0};
    /// The caller was refused before and returns at the time that it was given.
    bool is_returning{false};
    /// The request's class is served less than its minimum share.
    bool is_underserved{false};
};

/// A waiting or arriving request as the rule of value sees it.
struct valued_request {
    /// Value for each slot second of a response in time.
    double value{0};
    /// Expected service time.
    duration work{0};
    /// Time by which the request delays those behind it.
    duration delay{0};
    time_point objective;
    time_point deadline;
    /// The request arrives now; all others wait already.
    bool is_arriving{false};
    /// The response can no longer arrive before the objective.
    bool is_late{false};
};

/// Room for the requests of a queue.
struct queue_room {
    /// Time until the first request of the queue is sent.
    duration wait{0};
    /// Requests that may wait although they are expected to be late.
    std::size_t max_late{1};
};

/// A request that is refused, and the one that is kept instead.
struct displaced_request {
    std::size_t index{0};
    /// Value of the request that is kept instead; 0 if the request cannot be served in any case.
    double favoured_value{0};
};

/// Rule of value by which the admission scheduler decides under shortage: what a response is worth
/// to the caller for the slot time that it takes.
class admission_value {
public:
    explicit admission_value(admission_value_settings settings = {}) : settings_{settings} {}

    auto settings() const -> const admission_value_settings& { return settings_; }
    /// Value of a response in time for each second of slot time.
    auto value(const value_inputs& inputs) const -> double;
    /// Requests of a queue that are refused because the room does not suffice for all. `queue` is
    /// in the order in which requests are sent.
    auto find_displaced(std::span<const valued_request> queue, const queue_room& room,
                        time_point now) const -> std::vector<displaced_request>;
    /// Whether a request of value `left` may displace one of value `right`. Requests of similar
    /// work do not displace each other.
    static auto is_worth_more(double left, double right) -> bool;
    /// Whether a request that could be in time is late after `wait`, or useless.
    auto is_endangered(const valued_request& it, duration wait, time_point now) const -> bool;
    /// Whether a request that waits for `wait` is answered after its deadline.
    auto is_hopeless(const valued_request& it, duration wait, time_point now) const -> bool;

private:
    auto is_expected_late(const valued_request& it, duration wait, time_point now) const -> bool;
    auto counted_wait(const valued_request& it, duration wait) const -> duration;

    admission_value_settings settings_;
};

} // namespace cornelswitch
