#include "adapters/h2o/event_loop.h"

#include <h2o.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace cornelswitch {

namespace {

constexpr duration longest_wait = std::chrono::seconds{1};

} // namespace

/// h2o queue whose only purpose is to interrupt the loop's wait.
struct event_loop::wakeup {
    explicit wakeup(h2o_loop_t* loop) : queue{h2o_multithread_create_queue(loop)}
    {
        h2o_multithread_register_receiver(queue, &receiver,
                                          [](h2o_multithread_receiver_t*, h2o_linklist_t*) {});
    }
    wakeup(const wakeup&) = delete;
    auto operator=(const wakeup&) -> wakeup& = delete;
    ~wakeup()
    {
        h2o_multithread_unregister_receiver(queue, &receiver);
        h2o_multithread_destroy_queue(queue);
    }

    h2o_multithread_queue_t* queue;
    h2o_multithread_receiver_t receiver{};
};

event_loop::event_loop() : loop_{h2o_evloop_create()}, wakeup_{std::make_unique<wakeup>(loop_)}
{
    // h2o writes to closed connections without MSG_NOSIGNAL; the default action of SIGPIPE would
    // terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    // Moved out first, because objects that the handlers hold may cancel timers when they end.
    timer_due_.clear();
    std::exchange(timers_, {}).clear();
    std::exchange(posted_, {}).clear();
    wakeup_.reset();
    run_socket_callbacks();
    // Closed sockets are freed in the loop's next iterations; h2o_evloop_destroy fails on them.
    for (int n = 0; n < 3; ++n) {
        h2o_evloop_run(loop_, 0);
    }
    h2o_evloop_destroy(loop_);
}

auto event_loop::run() -> void
{
    while (!stopping_.exchange(false)) {
        run_once(longest_wait);
    }
}

auto event_loop::stop() -> void
{
    stopping_ = true;
    h2o_multithread_send_message(&wakeup_->receiver, nullptr);
}

auto event_loop::run_once(duration longest) -> void
{
    run_posted();
    run_socket_callbacks();
    // Sockets are handled before timers, so that a response that arrived during a long handler is
    // not treated as timed out.
    auto wait = time_to_next_timer(longest);
    // Rounded up to avoid busy polling in the last millisecond before a timer.
    auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    h2o_evloop_run(loop_, static_cast<int32_t>(wait_ms));
    run_posted();
    run_timers();
    run_socket_callbacks();
}

auto event_loop::run_socket_callbacks() -> void
{
    // h2o calls this after its own timers. Without this call, a socket that is written to and
    // closed outside of h2o_evloop_run is freed while it is still in the list of pending callbacks.
    h2o_timeout__do_post_callback(loop_);
}

auto event_loop::post(function work) -> void
{
    {
        std::lock_guard lock{mutex_};
        posted_.push_back(std::move(work));
    }
    h2o_multithread_send_message(&wakeup_->receiver, nullptr);
}

auto event_loop::schedule(duration delay, function work) -> timer_id
{
    auto id = ++last_timer_;
    auto due = clock_.now() + std::max(delay, duration::zero());
    timers_.emplace(timer_key{due, id}, std::move(work));
    timer_due_.emplace(id, due);
    return id;
}

auto event_loop::cancel(timer_id timer) -> void
{
    auto it = timer_due_.find(timer);
    if (it == timer_due_.end()) {
        return;
    }
    // The handler is destroyed last, because what it holds may cancel timers, this one included.
    auto removed = timers_.extract(timer_key{it->second, timer});
    timer_due_.erase(it);
}

auto event_loop::run_posted() -> void
{
    std::deque<function> work;
    {
        std::lock_guard lock{mutex_};
        work.swap(posted_);
    }
    for (auto& it : work) {
        it();
    }
}

auto event_loop::run_timers() -> void
{
    // Timers that a handler adds run in a later iteration, so a zero delay cannot starve sockets.
    auto now = clock_.now();
    auto last = last_timer_;
    for (auto it = timers_.begin(); it != timers_.end() && it->first.due <= now;) {
        if (it->first.id > last) {
            ++it;
            continue;
        }
        {
            auto work = std::move(it->second);
            timer_due_.erase(it->first.id);
            timers_.erase(it);
            work();
        }
        // After the handler is destroyed, because what it holds may cancel the next timer.
        it = timers_.begin();
    }
}

auto event_loop::time_to_next_timer(duration longest) const -> duration
{
    if (timers_.empty()) {
        return longest;
    }
    return std::clamp(timers_.begin()->first.due - clock_.now(), duration::zero(), longest);
}

} // namespace cornelswitch
