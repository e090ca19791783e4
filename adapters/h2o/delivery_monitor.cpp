#include "adapters/h2o/delivery_monitor.h"

#include "adapters/h2o/send_queue.h"
#include "adapters/h2o/socket_address.h"

#include <utility>

namespace cornelswitch {

namespace {

/// Checks within `timeouts::unacknowledged`. The loss of a peer is noticed at most one check late.
constexpr int checks_per_timeout = 4;

auto check_interval(const delivery_monitor::timeouts& limits) -> std::chrono::milliseconds
{
    return limits.unacknowledged / checks_per_timeout;
}

} // namespace

delivery_monitor::delivery_monitor(event_loop& loop, int fd, const timeouts& limits,
                                   std::function<void()> on_peer_lost)
    : loop_{loop}, fd_{fd}, limits_{limits}, on_peer_lost_{std::move(on_peer_lost)}, opened_at_{
                                                                                         loop.now()}
{
    if (auto queue = read_send_queue(fd)) {
        progress_.emplace(limits, check_interval(limits), *queue);
    } else {
        set_unacknowledged_timeout(fd, limits.unacknowledged);
    }
}

delivery_monitor::~delivery_monitor()
{
    if (timer_ != 0) {
        loop_.cancel(timer_);
    }
}

auto delivery_monitor::on_write() -> void
{
    if (timer_ == 0 && progress_) {
        timer_ = loop_.schedule(check_interval(limits_), [this] { check(); });
    }
}

auto delivery_monitor::on_close() -> void
{
    if (timer_ != 0) {
        loop_.cancel(std::exchange(timer_, 0));
    }
    if (limits_.closed_window.count() > 0) {
        // The kernel may count from the first pause of the peer, which is no older than the
        // connection.
        auto age = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now() - opened_at_);
        set_unacknowledged_timeout(fd_, limits_.closed_window + age);
    }
}

auto delivery_monitor::check() -> void
{
    timer_ = 0;
    auto queue = read_send_queue(fd_);
    if (!queue || !progress_) {
        return;
    }
    if (progress_->on_state(*queue)) {
        // A copy, because the call may destroy this object.
        auto handler = on_peer_lost_;
        handler();
    } else if (!queue->is_empty()) {
        on_write();
    }
}

} // namespace cornelswitch
