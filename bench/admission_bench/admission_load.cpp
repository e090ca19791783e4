#include "bench/admission_bench/admission_load.h"

#include "core/milliseconds.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace cornelswitch::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Standard deviation of the logarithm of service times: the 99th percentile is 4.6 times the mean.
constexpr double tail = 0.8;
constexpr double max_tail_factor = 10.0;
constexpr duration warm_up = seconds{10};
/// Callers of this time after the burst are counted, too, since a burst's returns hit them.
constexpr duration aftermath = seconds{5};
constexpr duration tick_interval = milliseconds{20};
/// Transit of a request between caller and scheduler.
constexpr std::uint64_t max_transit_us = 3000;
/// Callers wait for at most this part of the time that they have left.
constexpr int honoured_divisor = 3;
constexpr std::uint32_t key_count = 4096;

} // namespace

auto class_result::operator+=(const class_result& it) -> class_result&
{
    callers += it.callers;
    in_time += it.in_time;
    late += it.late;
    wasted += it.wasted;
    refused_once += it.refused_once;
    refused_again += it.refused_again;
    refused_late += it.refused_late;
    refusals += it.refusals;
    refusal_time += it.refusal_time;
    return *this;
}

admission_load::admission_load(load_scenario scenario, admission_value_settings value,
                               std::uint64_t seed)
    : scenario_{std::move(scenario)}, random_{seed}, results_(scenario_.classes.size())
{
    admission_settings settings;
    settings.is_keyed = scenario_.is_keyed;
    settings.value = value;
    scheduler_ = std::make_unique<admission_scheduler>(
        settings, random_, [this](const admission_decision& it) { on_decision(it); });
    if (scenario_.is_keyed) {
        scheduler_->set_owner_lookup([this](std::uint16_t key) -> key_owner {
            return {server_id{"s" + std::to_string(key % scenario_.servers)}, {}, 0};
        });
    }
    burst_start_ = events_.now() + warm_up;
    burst_end_ = burst_start_ + scenario_.burst_length;
    end_ = burst_end_ + aftermath + seconds{20};
}

auto admission_load::set_servers(std::uint32_t usable) -> void
{
    std::vector<schedulable_server> servers;
    for (std::uint32_t n = 0; n < scenario_.servers; ++n) {
        schedulable_server it;
        it.id = server_id{"s" + std::to_string(n)};
        it.zone = zone_id{"z1"};
        it.slots = scenario_.slots;
        // Of a keyed service, each server loses capacity, since keys stay with their owner.
        if (scenario_.is_keyed) {
            it.slots = scenario_.slots * usable / scenario_.servers;
        } else {
            it.is_usable = n < usable;
        }
        servers.push_back(std::move(it));
    }
    scheduler_->set_servers(servers, events_.now());
}

auto admission_load::service_time(const load_class& of_class) -> duration
{
    double radius = std::sqrt(-2.0 * std::log(1.0 - uniform_real(random_)));
    double normal = radius * std::cos(2.0 * std::numbers::pi * uniform_real(random_));
    double factor = std::exp(tail * normal - tail * tail / 2.0);
    return from_ms(to_ms(of_class.work) * std::min(factor, max_tail_factor));
}

auto admission_load::schedule_arrival(std::size_t of_class) -> void
{
    const auto& it = scenario_.classes[of_class];
    bool is_burst = events_.now() >= burst_start_ && events_.now() < burst_end_;
    double capacity = scenario_.servers * scenario_.slots / (to_ms(it.work) / 1000.0);
    double rate = capacity * it.load * (is_burst ? it.burst : 1.0);
    auto delay = from_ms(-1000.0 * std::log(1.0 - uniform_real(random_)) / rate);
    if (events_.now() + delay >= burst_end_ + aftermath) {
        return;
    }
    events_.after(delay, [this, of_class] {
        const auto& type = scenario_.classes[of_class];
        auto now = events_.now();
        caller arriving;
        arriving.of_class = of_class;
        arriving.key = static_cast<std::uint16_t>(uniform_below(random_, key_count));
        arriving.deadline = now + type.deadline;
        arriving.is_counted = now >= burst_start_;
        results_[of_class].callers += arriving.is_counted ? 1 : 0;
        attempt(arriving);
        schedule_arrival(of_class);
    });
}

auto admission_load::attempt(const caller& it) -> void
{
    auto transit = std::chrono::microseconds{uniform_below(random_, max_transit_us)};
    events_.after(transit, [this, it] {
        const auto& type = scenario_.classes[it.of_class];
        auto now = events_.now();
        admission_request request;
        request.id = admission_id{++last_id_};
        request.zone = zone_id{"z1"};
        request.work = work_class{static_cast<std::uint32_t>(it.of_class) + 1};
        request.priority = type.priority;
        request.received = now;
        request.objective = now + type.objective;
        request.deadline = it.deadline;
        if (scenario_.is_keyed) {
            request.key = it.key;
        }
        auto& known = callers_[last_id_] = it;
        known.objective = request.objective;
        scheduler_->submit(std::move(request), now);
    });
}

auto admission_load::on_decision(const admission_decision& decision) -> void
{
    auto it = callers_.find(decision.id.value());
    auto& known = it->second;
    const auto& type = scenario_.classes[known.of_class];
    auto& result = results_[known.of_class];
    if (decision.outcome == admission_outcome::send) {
        auto time = service_time(type);
        events_.after(time, [this, id = decision.id, time] { on_answer(id, time); });
        return;
    }
    auto refused = known;
    callers_.erase(it);
    ++refused.refusals;
    if (refused.is_counted) {
        ++result.refusals;
        result.refusal_time += decision.queue_time;
    }
    auto left = refused.deadline - events_.now();
    auto wait = std::min(decision.retry_after, left / honoured_divisor);
    if (refused.refusals <= scenario_.returns && left > type.work) {
        events_.after(wait, [this, refused] { attempt(refused); });
    } else if (refused.is_counted) {
        ++(refused.refusals > 1 ? result.refused_again : result.refused_once);
        result.refused_late += decision.queue_time > type.deadline / honoured_divisor ? 1 : 0;
    }
}

auto admission_load::on_answer(admission_id id, duration service_time) -> void
{
    auto extracted = callers_.extract(id.value());
    const auto& it = extracted.mapped();
    auto& result = results_[it.of_class];
    auto now = events_.now();
    if (it.is_counted) {
        ++(now <= it.objective ? result.in_time : now <= it.deadline ? result.late : result.wasted);
    }
    attempt_report report;
    report.service_time = service_time;
    report.slowness_percent = 100;
    scheduler_->complete(admission_source{}, id, report, now);
}

auto admission_load::schedule_tick() -> void
{
    events_.after(tick_interval, [this] {
        scheduler_->tick(events_.now());
        if (events_.now() < end_) {
            schedule_tick();
        }
    });
}

auto admission_load::run() -> std::vector<class_result>
{
    set_servers(scenario_.servers);
    schedule_tick();
    for (std::size_t n = 0; n < scenario_.classes.size(); ++n) {
        schedule_arrival(n);
    }
    if (scenario_.lost_capacity > 0) {
        auto rest = static_cast<std::uint32_t>(scenario_.servers * (1.0 - scenario_.lost_capacity));
        events_.at(burst_start_, [this, rest] { set_servers(rest); });
        events_.at(burst_end_, [this] { set_servers(scenario_.servers); });
    }
    events_.run_until(end_);
    return results_;
}

} // namespace cornelswitch::bench
