#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "core/workspace_id.h"
#include "routing/quota/quota_message.h"
#include "routing/quota/request_quota.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelswitch {

struct quota_decision {
    bool is_admitted{true};
    /// When the quota is expected to have room, for a request that is refused.
    duration retry_after{0};
};

/// Counts of one workspace since the start of the process.
struct quota_counts {
    std::uint64_t offered{0};
    std::uint64_t refused{0};
    /// Refused while the instance had no answer from an allocator.
    std::uint64_t refused_isolated{0};
    double share{0};
    quota_mode mode{quota_mode::open};
};

/// Decides at one instance which requests of workspaces with a quota are admitted.
///
/// The decision uses the last allocation of the allocator and never waits. Without recent answers
/// of an allocator, the instance is isolated and uses only its share of each quota.
class quota_limiter {
public:
    static constexpr duration report_interval = std::chrono::milliseconds{200};
    /// An instance without an answer for this long is isolated.
    static constexpr duration isolation_delay = std::chrono::seconds{1};
    /// A share that was not renewed for this long is replaced by an equal part.
    static constexpr duration share_lifetime = std::chrono::seconds{10};

    quota_limiter(quota_bounds bounds, std::uint64_t seed);

    /// Replaces the quotas. The state of workspaces that remain is kept.
    auto configure(const std::vector<std::pair<workspace_id, request_quota>>& quotas,
                   time_point now) -> void;
    auto set_bounds(const quota_bounds& bounds) -> void { bounds_ = bounds; }
    /// Sets the number of instances, this one included.
    auto set_instances(std::uint32_t n) -> void { instances_ = n == 0 ? 1 : n; }
    /// Sets the instance that is the allocator; none when it is not reachable. Counts without an
    /// answer are reported again to the next one.
    auto set_allocator(const std::optional<std::string>& allocator, time_point now) -> void;

    /// Decides on a request. A workspace without a quota is always admitted.
    auto admit(const workspace_id& workspace, time_point now) -> quota_decision;
    /// An admitted request has not run and never will.
    auto give_back(const workspace_id& workspace, time_point now) -> void;
    /// Whether a report should be sent before the next interval, because more requests arrived
    /// than the last allocation allowed for.
    auto needs_report(time_point now) const -> bool;
    auto make_report(time_point now) -> quota_report;
    /// The report could not be sent; its counts go into the next one.
    auto restore(const quota_report& report) -> void;
    /// Handles an allocation of the instance set by `set_allocator`.
    auto on_allocation(const quota_allocation& allocation, time_point now) -> void;
    auto is_isolated(time_point now) const -> bool;
    auto share(const workspace_id& workspace, time_point now) const -> double;
    /// Counts of the workspaces with the most requests.
    auto largest(std::size_t n, time_point now) const
        -> std::vector<std::pair<workspace_id, quota_counts>>;

private:
    /// What the tokens of a workspace stand for.
    enum class token_use : std::uint8_t { none, allocated, isolated };

    struct workspace_state {
        workspace_id name;
        request_quota quota;
        quota_mode mode{quota_mode::open};
        token_use use{token_use::none};
        bool is_configured{true};
        bool is_listed{false};
        /// Whether a new allocator has to learn the mode.
        bool reports_mode{false};
        bool has_share{false};
        double rate{0};
        double admitted_part{1};
        double share{0};
        time_point allocated_at{};
        double tokens{0};
        time_point refilled_at{};
        /// Since the last report.
        std::uint32_t offered{0};
        std::int32_t admitted{0};
        /// Offered in the interval before the last report.
        std::uint32_t previously_offered{0};
        /// Admitted in reports without an answer, and the last of these reports.
        std::int32_t in_flight{0};
        std::uint64_t in_flight_report{0};
        time_point last_offered{};
        /// Next time for which no refused caller was told to come back.
        time_point next_retry{};
        quota_counts counts;
    };

    auto find(const workspace_id& workspace) -> workspace_state*;
    /// Whether more requests were admitted than the allocator may have expected while it does not
    /// answer.
    auto is_unconfirmed(const workspace_state& it, time_point now) const -> bool;
    /// Whether requests are too rare for a rate.
    auto is_rare(const workspace_state& it) const -> bool;
    auto unanswered(const workspace_state& it) const -> std::int32_t;
    /// Requests that may be admitted between two answers without an early report.
    auto allowance(const workspace_state& it, time_point now) const -> double;
    auto share(const workspace_state& it, time_point now) const -> double;
    auto admit_allocated(workspace_state& it, time_point now) -> bool;
    auto admit_isolated(workspace_state& it, time_point now) -> bool;
    /// Takes a token. When the capacity is at most one token, a fraction admits with a probability
    /// equal to it, so that the sum over all instances holds in the mean.
    auto try_take(workspace_state& it, double capacity) -> bool;
    auto retry_after(workspace_state& it, double rate, time_point now) -> duration;
    auto list(workspace_state& it) -> void;

    quota_bounds bounds_;
    random_engine random_;
    std::uint32_t instances_{1};
    std::vector<workspace_state> states_;
    std::unordered_map<workspace_id, std::size_t> by_name_;
    /// Workspaces for the next report.
    std::vector<std::size_t> listed_;
    std::optional<std::string> allocator_;
    bool has_answer_{false};
    /// When the last report that was answered was sent.
    time_point confirmed_at_{};
    /// When the first report without an answer was sent.
    std::optional<time_point> unanswered_since_;
    std::uint64_t last_report_{0};
    std::uint64_t confirmed_report_{0};
    std::uint64_t last_allocation_{0};
    time_point last_report_at_{};
    bool wants_report_{false};
    /// The previous report had no answer when the last one was made.
    bool is_answer_late_{false};
    /// When the last reports were sent, by number.
    std::array<time_point, 64> sent_at_{};
};

} // namespace cornelswitch
