#include "routing/warmup_ramp.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr double recent_weight = 0.25;
constexpr double baseline_weight = 0.01;
constexpr std::uint32_t min_samples = 16;

} // namespace

warmup_ramp::warmup_ramp(std::uint32_t start, std::uint32_t successes, std::uint32_t concurrency)
    : start_{1}, successes_needed_{1}, concurrency_{1}, limit_{1}
{
    configure(start, successes, concurrency);
    restart();
}

auto warmup_ramp::configure(std::uint32_t start, std::uint32_t successes, std::uint32_t concurrency)
    -> void
{
    concurrency_ = std::max(1U, concurrency);
    start_ = std::clamp(start, 1U, concurrency_);
    successes_needed_ = std::max(1U, successes);
    limit_ = std::min(limit_, concurrency_);
}

auto warmup_ramp::restart() -> void
{
    limit_ = start_;
    successes_ = 0;
    failures_ = 0;
}

auto warmup_ramp::on_success(duration latency) -> void
{
    failures_ = 0;
    check_latency(latency);
    if (warm()) {
        return;
    }
    if (++successes_ >= successes_needed_) {
        successes_ = 0;
        ++limit_;
    }
}

auto warmup_ramp::on_failure() -> void
{
    successes_ = 0;
    if (++failures_ >= cold_failures) {
        restart();
    }
}

auto warmup_ramp::on_shed() -> void
{
    successes_ = 0;
    limit_ = std::max(start_, limit_ - 1);
}

auto warmup_ramp::check_latency(duration latency) -> void
{
    auto sample = static_cast<double>(latency.count());
    if (samples_ == 0) {
        recent_ = sample;
        baseline_ = sample;
    }
    ++samples_;
    recent_ += recent_weight * (sample - recent_);
    // The first samples form an arithmetic mean, because a single response is no baseline.
    baseline_ += std::max(baseline_weight, 1.0 / samples_) * (sample - baseline_);
    if (samples_ < min_samples) {
        return;
    }
    if (!cold_episode_ && recent_ > cold_latency_factor * baseline_) {
        cold_episode_ = true;
        restart();
    } else if (cold_episode_ && recent_ < recovered_latency_factor * baseline_) {
        cold_episode_ = false;
    }
}

} // namespace cornelswitch
