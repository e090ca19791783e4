#pragma once

#include "core/manual_clock.h"
#include "routing/admission_scheduler.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cornelswitch::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const admission_source local_source{0};

/// A scheduler whose clock and random numbers the test controls. It keeps the decision on each
/// request.
struct scheduler_fixture {
    explicit scheduler_fixture(admission_settings settings = {})
        : scheduler{settings, random, [this](const admission_decision& decision) {
                        decisions[decision.id.value()] = decision;
                    }}
    {
    }

    auto servers(std::vector<schedulable_server> list) -> void
    {
        scheduler.set_servers(list, time.now());
    }

    auto request(std::uint64_t id, duration objective = milliseconds{500},
                 duration deadline = seconds{2}) -> admission_request
    {
        admission_request out;
        out.source = local_source;
        out.id = admission_id{id};
        out.zone = zone_id{"z1"};
        out.work = work_class{1};
        out.received = time.now();
        out.objective = time.now() + objective;
        out.deadline = time.now() + deadline;
        return out;
    }

    auto submit(admission_request request) -> void
    {
        scheduler.submit(std::move(request), time.now());
    }

    auto finish(std::uint64_t id, duration service_time = milliseconds{100},
                attempt_outcome outcome = attempt_outcome::answered) -> void
    {
        scheduler.complete(local_source, admission_id{id}, {outcome, service_time, 0, 0, 100},
                           time.now());
    }

    auto is_sent(std::uint64_t id) const -> bool
    {
        auto found = decisions.find(id);
        return found != decisions.end() && found->second.outcome == admission_outcome::send;
    }
    auto is_refused(std::uint64_t id) const -> bool
    {
        auto found = decisions.find(id);
        return found != decisions.end() && found->second.outcome == admission_outcome::refuse;
    }

    manual_clock time;
    random_engine random{1};
    std::map<std::uint64_t, admission_decision> decisions;
    admission_scheduler scheduler;
};

/// A warm server with the given number of slots.
inline auto server(const std::string& id, std::uint32_t slots = 2, const std::string& zone = "z1")
    -> schedulable_server
{
    schedulable_server out;
    out.id = server_id{id};
    out.zone = zone_id{zone};
    out.slots = slots;
    return out;
}

} // namespace cornelswitch::test
