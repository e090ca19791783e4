#pragma once

#include "bench/policy_bench/event_queue.h"
#include "core/random.h"
#include "routing/admission_scheduler.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelswitch::bench {

/// A class of requests.
struct load_class {
    std::string name;
    std::uint32_t priority{0};
    duration work{0};
    duration objective{0};
    duration deadline{0};
    /// Value of a response in time.
    double value{1};
    /// Part of the servers' capacity that the class needs outside of bursts.
    double load{0.25};
    /// Factor of the load in the burst.
    double burst{1};
};

/// Load on one service.
struct load_scenario {
    std::string name;
    std::vector<load_class> classes;
    duration burst_length{std::chrono::seconds{10}};
    /// Part of the servers that is missing during the burst.
    double lost_capacity{0};
    std::uint32_t servers{20};
    std::uint32_t slots{2};
    bool is_keyed{false};
    /// Times that a refused caller comes back.
    std::uint32_t returns{1};
};

/// Results of the callers of one class.
struct class_result {
    std::uint64_t callers{0};
    std::uint64_t in_time{0};
    std::uint64_t late{0};
    /// Sent to a server, but answered after the deadline.
    std::uint64_t wasted{0};
    /// Not answered, by the number of refusals.
    std::uint64_t refused_once{0};
    std::uint64_t refused_again{0};
    /// Of these, refused after more of their time than the part for which callers wait.
    std::uint64_t refused_late{0};
    /// Refusals, and the time that the requests had waited before.
    std::uint64_t refusals{0};
    duration refusal_time{0};

    auto operator+=(const class_result& it) -> class_result&;
};

/// Runs one scheduler with fake servers in virtual time.
class admission_load {
public:
    admission_load(load_scenario scenario, admission_value_settings value, std::uint64_t seed);

    /// Results by class of the callers that arrive from the start of the burst until 5 s after its
    /// end.
    auto run() -> std::vector<class_result>;

private:
    struct caller {
        std::size_t of_class{0};
        std::uint16_t key{0};
        time_point deadline;
        time_point objective;
        std::uint32_t refusals{0};
        bool is_counted{false};
    };

    auto schedule_arrival(std::size_t of_class) -> void;
    auto attempt(const caller& it) -> void;
    auto on_decision(const admission_decision& decision) -> void;
    auto on_answer(admission_id id, duration service_time) -> void;
    auto set_servers(std::uint32_t usable) -> void;
    auto schedule_tick() -> void;
    auto service_time(const load_class& of_class) -> duration;

    load_scenario scenario_;
    random_engine random_;
    event_queue events_;
    std::unique_ptr<admission_scheduler> scheduler_;
    std::map<std::uint64_t, caller> callers_;
    std::vector<class_result> results_;
    std::uint64_t last_id_{0};
    time_point burst_start_;
    time_point burst_end_;
    time_point end_;
};

} // namespace cornelswitch::bench
