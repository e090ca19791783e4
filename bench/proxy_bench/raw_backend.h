#pragma once

#include "config/configuration.h"

#include <atomic>
#include <thread>

namespace cornelswitch::bench {

/// Minimal backend server that answers every request with two bytes, or holds the requests. It runs
/// on its own thread and allocates nothing per connection, so that the measured heap is that of the
/// router.
class raw_backend {
public:
    raw_backend();
    raw_backend(const raw_backend&) = delete;
    auto operator=(const raw_backend&) -> raw_backend& = delete;
    ~raw_backend();

    auto address() const -> endpoint { return address_; }
    /// Whether requests are held instead of answered, from now on.
    auto hold(bool value) -> void { holding_ = value; }
    /// Number of requests held so far.
    auto held() const -> int { return held_; }

private:
    auto run() -> void;
    auto serve(int fd) -> void;

    int listener_;
    int poller_;
    endpoint address_;
    std::atomic<bool> holding_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<int> held_{0};
    std::thread thread_;
};

} // namespace cornelswitch::bench
