#pragma once

#include "core/random.h"
#include "routing/quota/quota_allocator.h"
#include "routing/quota/quota_limiter.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch::test {

enum class quota_fault : std::uint8_t {
    none,
    allocator_lost,
    allocator_replaced,
    allocator_cut_off,
    zone_cut_off,
    many_killed,
    one_restarted,
    instances_added,
};

struct quota_model_options {
    std::uint64_t seed{1};
    duration length{std::chrono::seconds{60}};
    std::size_t instances{85};
    request_quota quota{334, 334};
    /// Offered requests per second, except in bursts.
    double usual_rate{250};
    /// A burst offers this many times the usual rate.
    double burst_factor{8};
    /// One instance, another one each second, gets nine tenths of the requests.
    bool is_uneven{false};
    /// Faults are drawn from these.
    std::vector<quota_fault> faults;
};

struct quota_model_result {
    /// Requests beyond the bound in the worst window; not positive if the bound holds.
    double excess{-1e9};
    /// Requests beyond the quota without overrun and slack, in the worst window.
    double overrun{-1e9};
    std::uint64_t offered{0};
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    /// Refused although the workspace as a whole stayed within its quota from a window before to a
    /// second after the request, without and with faults in the last seconds.
    std::uint64_t refused_within_quota{0};
    std::uint64_t refused_within_quota_in_faults{0};
    /// Offered while the workspace stayed within its quota.
    std::uint64_t offered_within_quota{0};
    std::uint64_t reports{0};
    std::uint64_t notices{0};
    /// Largest sum of the shares that connected and isolated instances held.
    double largest_sum_of_shares{0};
};

/// Random runs of the instances of a deployment with one limited workspace, on virtual time:
/// `quota_limiter` and `quota_allocator` with messages that are late or lost, and faults.
class quota_model {
public:
    explicit quota_model(quota_model_options options);
    ~quota_model();

    auto run() -> quota_model_result;

private:
    struct instance;

    auto at(duration delay, std::function<void()> action) -> void;
    auto chance(double probability) -> bool { return uniform_real(random_) < probability; }
    auto between(int min_ms, int max_ms) -> duration;
    auto add_instance() -> void;
    auto start(instance& it) -> void;
    auto tick(instance& it, std::uint64_t boot) -> void;
    auto send_report(instance& it) -> void;
    auto on_report(instance& to, instance& from, const quota_report& report) -> void;
    auto send_allocation(instance& from, instance& to, const quota_allocation& allocation) -> void;
    auto send_notices(instance& from) -> void;
    auto are_connected(const instance& a, const instance& b) const -> bool;
    /// Makes the first running instance of a part of the network the allocator of that part.
    auto elect(int part) -> void;
    auto announce_allocator(int part) -> void;
    auto cut_off(const std::function<bool(const instance&)>& is_cut) -> void;
    auto inject_fault() -> void;
    auto set_members() -> void;
    auto change_load() -> void;
    auto offer(time_point now) -> void;
    auto choose_instance() -> instance*;
    auto count_request(bool is_admitted, time_point now) -> void;

    quota_model_options options_;
    quota_bounds bounds_;
    workspace_id workspace_{"w"};
    random_engine random_;
    time_point now_{std::chrono::seconds{1}};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<instance>> instances_;
    /// Allocator of each part of the network; null while there is none.
    std::map<int, instance*> allocators_;
    std::uint64_t last_boot_{0};
    double rate_{0};
    double pending_requests_{0};
    std::size_t hot_{0};
    time_point next_hot_{};
    time_point faults_until_{};
    std::deque<time_point> admitted_;
    /// Refused while the workspace was within its quota. They count if it stays so for a second.
    std::deque<time_point> undecided_;
    double ideal_tokens_{0};
    time_point ideal_at_{};
    time_point exceeded_at_{};
    quota_model_result result_;
};

} // namespace cornelswitch::test
