#include "adapters/h2o/loop_thread.h"

#include <utility>

namespace cornelswitch {

loop_thread::loop_thread()
{
    std::promise<void> ready;
    auto is_ready = ready.get_future();
    thread_ = std::thread{[this, &ready] { run(ready); }};
    is_ready.wait();
}

loop_thread::~loop_thread()
{
    loop_->stop();
    thread_.join();
}

auto loop_thread::call(std::function<void()> work) -> void
{
    std::promise<void> done;
    auto is_done = done.get_future();
    loop_->post([&work, &done] {
        work();
        done.set_value();
    });
    is_done.wait();
}

auto loop_thread::run(std::promise<void>& ready) -> void
{
    loop_ = std::make_unique<event_loop>();
    auto* loop = loop_.get();
    ready.set_value();
    loop->run();
    loop_.reset();
}

} // namespace cornelswitch
