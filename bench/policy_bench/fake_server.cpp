#include "bench/policy_bench/fake_server.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace cornelswitch::bench {

namespace {

constexpr auto no_limit = std::numeric_limits<std::uint32_t>::max();

} // namespace

fake_server::fake_server(event_queue& events, std::uint32_t concurrency, duration service_time,
                         std::uint64_t seed, end_handler on_end)
    : events_{events}, concurrency_{concurrency},
      service_time_{service_time}, random_{seed}, on_end_{std::move(on_end)}, cold_limit_{no_limit}
{
}

auto fake_server::start(std::uint64_t request) -> bool
{
    if (events_.now() < down_until_) {
        return false;
    }
    if (running_.size() < concurrency_) {
        begin(request);
    } else {
        waiting_.push_back(request);
    }
    peak_ = std::max(peak_, in_progress());
    if (in_progress() > cold_limit_) {
        ++crashes_;
        restart_cold();
        down_until_ = events_.now() + down_time;
    }
    return true;
}

auto fake_server::cancel(std::uint64_t request) -> bool
{
    if (frozen_) {
        return false;
    }
    if (running_.erase(request) > 0) {
        start_next();
        return true;
    }
    return std::erase(waiting_, request) > 0;
}

auto fake_server::restart_cold() -> void
{
    boot_ = boot_id{boot_.value() + 1};
    cold_limit_ = 1;
    successes_ = 0;
    if (on_restart_) {
        on_restart_();
    }
    fail_all();
}

auto fake_server::in_progress() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(running_.size() + waiting_.size());
}

auto fake_server::begin(std::uint64_t request) -> void
{
    auto execution = ++executions_;
    running_[request] = execution;
    events_.after(draw_service_time(), [this, request, execution] { finish(request, execution); });
}

auto fake_server::finish(std::uint64_t request, std::uint64_t execution) -> void
{
    auto it = running_.find(request);
    if (frozen_ || it == running_.end() || it->second != execution) {
        return;
    }
    running_.erase(it);
    if (cold_limit_ != no_limit && ++successes_ % successes_per_level == 0) {
        ++cold_limit_;
    }
    cold_limit_ = cold_limit_ > concurrency_ ? no_limit : cold_limit_;
    start_next();
    on_end_(request, true);
}

auto fake_server::start_next() -> void
{
    if (!waiting_.empty() && running_.size() < concurrency_) {
        auto next = waiting_.front();
        waiting_.pop_front();
        begin(next);
    }
}

auto fake_server::fail_all() -> void
{
    auto failed = std::exchange(waiting_, {});
    for (const auto& [request, execution] : running_) {
        failed.push_back(request);
    }
    running_.clear();
    std::sort(failed.begin(), failed.end());
    for (auto request : failed) {
        on_end_(request, false);
    }
}

auto fake_server::draw_service_time() -> duration
{
    // Erlang distribution with four stages: coefficient of variation 0.5.
    constexpr int stages = 4;
    double sum = 0;
    for (auto n = 0; n < stages; ++n) {
        sum -= std::log(1 - uniform_real(random_)) / stages;
    }
    auto ns = sum * slow_factor_ * static_cast<double>(service_time_.count());
    return duration{static_cast<duration::rep>(ns)};
}

} // namespace cornelswitch::bench
