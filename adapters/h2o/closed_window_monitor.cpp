#include "adapters/h2o/closed_window_monitor.h"

#include "adapters/h2o/send_queue.h"
#include "adapters/h2o/socket_address.h"

#include <utility>

namespace cornelswitch {

closed_window_monitor::closed_window_monitor(event_loop& loop, int fd, const timeouts& limits)
    : loop_{loop}, fd_{fd}, limits_{limits}
{
}

closed_window_monitor::~closed_window_monitor()
{
    if (timer_ != 0) {
        loop_.cancel(timer_);
    }
}

auto closed_window_monitor::on_write() -> void
{
    if (timer_ == 0) {
        timer_ = loop_.schedule(limits_.unacknowledged / 2, [this] { check(); });
    }
}

auto closed_window_monitor::on_close() -> void
{
    if (timer_ != 0) {
        loop_.cancel(std::exchange(timer_, 0));
        set_unacknowledged_timeout(fd_, limits_.closed_window);
    }
}

auto closed_window_monitor::check() -> void
{
    timer_ = 0;
    auto queue = read_send_queue(fd_);
    if (!queue) {
        return;
    }
    if (!queue->waits_for_reader()) {
        closed_since_.reset();
    } else if (!closed_since_) {
        closed_since_ = loop_.now();
    }
    bool lifts = closed_since_ && loop_.now() - *closed_since_ < limits_.closed_window;
    if (lifts != is_lifted_) {
        is_lifted_ = lifts;
        set_unacknowledged_timeout(fd_,
                                   lifts ? std::chrono::milliseconds{0} : limits_.unacknowledged);
    }
    if (!queue->is_empty()) {
        on_write();
    }
}

} // namespace cornelswitch
