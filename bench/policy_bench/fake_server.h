#pragma once

#include "bench/policy_bench/event_queue.h"
#include "core/ids.h"
#include "core/random.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

namespace cornelswitch::bench {

/// Backend server in virtual time. It runs `concurrency` requests at once and queues all others
/// without loss. This favors policies without limits, because real servers may reject or lose
/// requests at that point. A cold server can run one request at first, and one more after each
/// `successes_per_level` successes. With more requests in progress it crashes: all requests fail,
/// and it refuses connections for `down_time`.
class fake_server {
public:
    static constexpr std::uint32_t successes_per_level = 6;
    static constexpr duration down_time = std::chrono::milliseconds{300};

    /// Called at the end of a request. `success` is false if the server restarted.
    using end_handler = std::function<void(std::uint64_t request, bool success)>;

    fake_server(event_queue& events, std::uint32_t concurrency, duration service_time,
                std::uint64_t seed, end_handler on_end);

    /// Returns false when the server is down and refuses the connection.
    auto start(std::uint64_t request) -> bool;
    /// Stops a request. Returns false if it is not in progress or the server is frozen.
    auto cancel(std::uint64_t request) -> bool;
    /// The handler is called when the server restarts, which closes its connections.
    auto set_restart_handler(std::function<void()> handler) -> void
    {
        on_restart_ = std::move(handler);
    }
    /// Multiplies the service time of requests that start from now on; 1 is the normal speed.
    auto slow_down(double factor) -> void { slow_factor_ = factor; }
    /// Restarts without any state in memory; requests in progress fail.
    auto restart_cold() -> void;
    /// Stops answering; requests in progress never end.
    auto freeze() -> void { frozen_ = true; }

    auto in_progress() const -> std::uint32_t;
    auto boot() const -> boot_id { return boot_; }
    /// Largest number of requests in progress since the last `reset_peak`.
    auto peak() const -> std::uint32_t { return peak_; }
    auto reset_peak() -> void { peak_ = in_progress(); }
    auto crashes() const -> std::uint32_t { return crashes_; }

private:
    auto begin(std::uint64_t request) -> void;
    auto finish(std::uint64_t request, std::uint64_t execution) -> void;
    auto start_next() -> void;
    auto fail_all() -> void;
    auto draw_service_time() -> duration;

    event_queue& events_;
    std::uint32_t concurrency_;
    duration service_time_;
    random_engine random_;
    end_handler on_end_;
    std::function<void()> on_restart_;
    boot_id boot_{1};
    double slow_factor_{1};
    bool frozen_{false};
    /// Number of requests that can be in progress while the server is cold; unlimited if warm.
    std::uint32_t cold_limit_;
    std::uint32_t successes_{0};
    time_point down_until_;
    /// Execution number of each running request. The end event of an execution that was cancelled
    /// or has failed is ignored.
    std::unordered_map<std::uint64_t, std::uint64_t> running_;
    std::deque<std::uint64_t> waiting_;
    std::uint64_t executions_{0};
    std::uint32_t peak_{0};
    std::uint32_t crashes_{0};
};

} // namespace cornelswitch::bench
