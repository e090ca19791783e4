#include "core/random.h"
#include "routing/server_scheduler.h"
#include "tests/routing/scheduler_setup.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cornelswitch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t concurrency = 5;

/// Feeds random events to one scheduler and checks its invariants against a model. The simulated
/// server runs a request until it responds or its deadline passes, whatever state the dispatcher
/// assumes.
class random_simulation {
public:
    explicit random_simulation(std::uint64_t seed)
        : random_{seed}, scheduler_{make_test_server(concurrency), make_test_profile(12)}
    {
    }

    /// Largest number of requests that the server ran at the same time.
    auto peak() const -> std::size_t { return peak_; }

    auto run(std::size_t steps) -> void
    {
        for (std::size_t n = 0; n < steps; ++n) {
            step();
            check();
        }
        finish();
    }

private:
    auto step() -> void
    {
        now_ += std::chrono::microseconds{uniform_below(random_, 4000)};
        stop_at_deadlines();
        switch (uniform_below(random_, 9)) {
        case 0:
        case 1:
        case 2:
            submit();
            break;
        case 3:
        case 4:
        case 5:
            answer();
            break;
        case 6:
            break_connection();
            break;
        case 7:
            cancel();
            break;
        default:
            report();
            break;
        }
        for (const auto& it : scheduler_.expire(now_)) {
            end(it);
        }
        while (auto request = scheduler_.take_next(now_)) {
            send(*request);
        }
        for (const auto& it : scheduler_.expire(now_)) {
            end(it);
        }
        // A wakeup that is already due would make the dispatcher's event loop spin.
        auto wakeup = scheduler_.next_wakeup();
        BOOST_TEST((!wakeup || *wakeup > now_));
    }

    auto submit() -> void
    {
        request_info request;
        request.id = request_id{++last_id_};
        request.tenant = tenant_id{std::to_string(uniform_below(random_, 4))};
        request.priority =
            uniform_below(random_, 3) == 0 ? request_class::bulk : request_class::interactive;
        request.deadline = now_ + std::chrono::milliseconds{1 + uniform_below(random_, 200)};
        open_.insert(request.id);
        auto result = scheduler_.submit(request, now_);
        for (const auto& it : result.refusals) {
            end(it);
        }
        BOOST_TEST(result.queued == open_.contains(request.id));
    }

    auto send(const request_info& request) -> void
    {
        BOOST_TEST(open_.contains(request.id));
        BOOST_TEST(sent_.insert(request.id).second);
        running_[request.id] = request.deadline;
        peak_ = std::max(peak_, running_.size());
        BOOST_TEST(running_.size() <= concurrency);
    }

    auto answer() -> void
    {
        if (running_.empty()) {
            return;
        }
        auto it = running_.begin();
        std::advance(it, uniform_below(random_, running_.size()));
        auto id = it->first;
        running_.erase(it);
        open_.erase(id);
        auto signal = static_cast<response_signal>(uniform_below(random_, 43) / 40 *
                                                   (1 + uniform_below(random_, 3)));
        auto running = static_cast<std::uint32_t>(running_.size());
        scheduler_.on_response({id, signal, 10ms, boot_id{1}, running}, now_);
    }

    auto break_connection() -> void
    {
        if (running_.empty() || uniform_below(random_, 4) != 0) {
            return;
        }
        auto id = running_.begin()->first;
        if (next_fails_before_send_) {
            next_fails_before_send_ = false;
            running_.erase(id);
            open_.erase(id);
            auto refused =
                scheduler_.on_connection_failed(id, send_progress::before_first_byte, now_);
            BOOST_TEST((refused == request_outcome::not_run));
            return;
        }
        next_fails_before_send_ = true;
        // The server continues to run the request.
        auto outcome = scheduler_.on_connection_failed(id, send_progress::after_first_byte, now_);
        BOOST_TEST((outcome == request_outcome::unknown));
        open_.erase(id);
    }

    auto cancel() -> void
    {
        if (open_.empty()) {
            return;
        }
        auto id = *open_.begin();
        auto result = scheduler_.cancel(id, now_);
        BOOST_TEST((result != cancel_result::not_found));
        BOOST_TEST((result == cancel_result::in_flight) == sent_.contains(id));
        open_.erase(id);
    }

    auto report() -> void
    {
        scheduler_.on_report(boot_id{1}, static_cast<std::uint32_t>(running_.size()), now_);
    }

    auto end(const refusal& it) -> void
    {
        BOOST_TEST(open_.erase(it.id) == 1U);
        auto sent = sent_.contains(it.id);
        BOOST_TEST((it.outcome == request_outcome::not_run) == !sent);
    }

    /// The server stops requests at their deadlines.
    auto stop_at_deadlines() -> void
    {
        std::erase_if(running_, [&](const auto& it) { return it.second <= now_; });
    }

    auto check() -> void
    {
        BOOST_TEST(scheduler_.in_flight() <= concurrency);
        BOOST_TEST(running_.size() <= scheduler_.in_flight());
    }

    auto finish() -> void
    {
        now_ += 1min;
        for (const auto& it : scheduler_.expire(now_)) {
            end(it);
        }
        BOOST_TEST(open_.empty());
        now_ += 1min;
        BOOST_TEST(scheduler_.expire(now_).empty());
        BOOST_TEST(scheduler_.in_flight() == 0U);
    }

    random_engine random_;
    server_scheduler scheduler_;
    time_point now_{1s};
    std::uint64_t last_id_{0};
    /// Requests without a final result.
    std::set<request_id> open_;
    std::set<request_id> sent_;
    /// Requests that the server actually runs, with their deadlines.
    std::map<request_id, time_point> running_;
    std::size_t peak_{0};
    /// Alternates between the two kinds of failed connections.
    bool next_fails_before_send_{false};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_server_scheduler_under_random_events)

// Guards against any order of events that exceeds the limit, loses a request, ends one twice, or
// reports a request as not-run that was sent.
BOOST_AUTO_TEST_CASE(keeps_its_invariants)
{
    std::size_t peak = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_simulation run{seed};
            run.run(2000);
            peak = std::max(peak, run.peak());
        }
    }
    // Otherwise the runs would not have tested the limit.
    BOOST_TEST(peak == concurrency);
}

// Guards against starving a tenant under any mix of load: while two tenants wait, neither gets more
// than one request ahead of the other.
BOOST_AUTO_TEST_CASE(is_fair_between_waiting_tenants)
{
    random_engine random{7};
    request_queue queue{64};
    std::map<std::string, int> sent;
    std::uint64_t id = 0;
    auto refill = [&](const char* tenant, std::uint64_t max_requests) {
        for (std::uint64_t n = uniform_below(random, max_requests); n > 0; --n) {
            request_info it;
            it.id = request_id{++id};
            it.tenant = tenant_id{tenant};
            it.deadline = time_point{} + std::chrono::milliseconds{uniform_below(random, 1000)};
            queue.push(it);
        }
    };
    for (auto round = 0; round < 500; ++round) {
        refill("flood", 40);
        refill("quiet", 2);
        refill("quiet", 3);
        sent.clear();
        for (auto n = 0; n < 4; ++n) {
            auto quiet_waits = queue.ahead_of({{}, tenant_id{"quiet"}, {}, {}, {}, {}}) > 0;
            auto it = queue.pop();
            BOOST_TEST((it.has_value() || !quiet_waits));
            if (it) {
                ++sent[it->tenant.value()];
            }
        }
        auto quiet_left = queue.remove_if(
            [](const request_info& it, std::size_t) { return it.tenant.value() == "quiet"; });
        auto starved = !quiet_left.empty() && sent["quiet"] + 2 <= sent["flood"];
        BOOST_TEST(!starved);
    }
}

BOOST_AUTO_TEST_SUITE_END()
