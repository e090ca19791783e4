#include "routing/quota/quota_limiter.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time for whose rate an instance keeps unused tokens. A shorter one than two report intervals
/// would lose tokens between two allocations.
constexpr double token_seconds = 0.4;
/// Without an answer for this long, open workspaces admit only what the allocator expects.
constexpr duration max_answer_delay = milliseconds{150};
/// Shortest time between two reports, which bounds the messages of an instance under load.
constexpr duration min_report_interval = milliseconds{20};
/// Fewer requests than this cause no early report. The bound's slack covers rare requests.
constexpr double min_allowance = 2;
/// Offered requests beyond twice the previous interval that cause an early report in mode
/// `limited`, where only the distribution among instances is at stake.
constexpr std::uint32_t limited_growth = 8;
/// A limited workspace is reported for this long after its last request, so that its rate falls.
constexpr duration limited_reports = seconds{2};
/// Multiple of an equal share above which an instance without requests reports until it is lower.
constexpr double large_share = 1.5;
constexpr double rounding_error = 1e-9;

auto to_seconds(duration it) -> double
{
    return std::chrono::duration<double>{it}.count();
}

auto from_seconds(double it) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{it});
}

} // namespace

quota_limiter::quota_limiter(quota_bounds bounds, std::uint64_t seed)
    : bounds_{bounds}, random_{seed}
{
}

auto quota_limiter::configure(const std::vector<std::pair<workspace_id, request_quota>>& quotas,
                              time_point now) -> void
{
    for (auto& it : states_) {
        it.is_configured = false;
    }
    for (const auto& [name, configured] : quotas) {
        auto quota = bounds_.usable(configured);
        auto [found, is_new] = by_name_.try_emplace(name, states_.size());
        if (is_new) {
            states_.emplace_back();
            states_.back().name = name;
        }
        auto& it = states_[found->second];
        it.is_configured = true;
        if (it.quota != quota) {
            it.quota = quota;
            it.refilled_at = now;
        }
    }
    listed_.clear();
    std::erase_if(states_, [](const auto& it) { return !it.is_configured; });
    by_name_.clear();
    for (std::size_t n = 0; n < states_.size(); ++n) {
        by_name_.emplace(states_[n].name, n);
        if (states_[n].is_listed) {
            listed_.push_back(n);
        }
    }
    // The request path must not allocate.
    listed_.reserve(states_.size());
}

auto quota_limiter::set_allocator(const std::optional<std::string>& allocator, time_point now)
    -> void
{
    if (allocator_ == allocator) {
        return;
    }
    allocator_ = allocator;
    last_allocation_ = 0;
    unanswered_since_ = unanswered_since_.value_or(now);
    for (auto& it : states_) {
        auto lost = unanswered(it) - it.admitted;
        if (lost != 0) {
            it.admitted += lost;
            list(it);
        }
        it.in_flight = 0;
        if (it.mode == quota_mode::limited) {
            it.reports_mode = true;
            list(it);
        }
    }
    wants_report_ = allocator.has_value();
}

auto quota_limiter::find(const workspace_id& workspace) -> workspace_state*
{
    auto it = by_name_.find(workspace);
    return it == by_name_.end() ? nullptr : &states_[it->second];
}

auto quota_limiter::list(workspace_state& it) -> void
{
    if (!std::exchange(it.is_listed, true)) {
        listed_.push_back(static_cast<std::size_t>(&it - states_.data()));
    }
}

auto quota_limiter::is_isolated(time_point now) const -> bool
{
    return !has_answer_ || now - confirmed_at_ > isolation_delay;
}

auto quota_limiter::unanswered(const workspace_state& it) const -> std::int32_t
{
    return it.admitted + (it.in_flight_report > confirmed_report_ ? it.in_flight : 0);
}

auto quota_limiter::allowance(const workspace_state& it, time_point now) const -> double
{
    return std::max(min_allowance, share(it, now) * it.quota.burst / 2);
}

auto quota_limiter::is_unconfirmed(const workspace_state& it, time_point now) const -> bool
{
    bool is_late = unanswered_since_ && now - *unanswered_since_ > max_answer_delay;
    return is_answer_late_ || (is_late && (!allocator_ || unanswered(it) > allowance(it, now)));
}

auto quota_limiter::is_rare(const workspace_state& it) const -> bool
{
    return it.rate * token_seconds <= 1.0;
}

auto quota_limiter::share(const workspace_state& it, time_point now) const -> double
{
    bool is_valid = it.has_share && now - it.allocated_at <= share_lifetime;
    return is_valid ? it.share : 1.0 / instances_;
}

auto quota_limiter::share(const workspace_id& workspace, time_point now) const -> double
{
    auto it = by_name_.find(workspace);
    return it == by_name_.end() ? 0 : share(states_[it->second], now);
}

auto quota_limiter::admit(const workspace_id& workspace, time_point now) -> quota_decision
{
    auto* it = find(workspace);
    if (it == nullptr) {
        return {};
    }
    list(*it);
    it->last_offered = now;
    ++it->offered;
    ++it->counts.offered;
    // A quota that has room for all offered requests needs no distribution among the instances.
    bool is_unlimited = it->mode == quota_mode::open || it->admitted_part >= 1;
    bool is_alone =
        is_isolated(now) || ((is_unlimited || is_rare(*it)) && is_unconfirmed(*it, now));
    double rate = it->rate;
    bool is_admitted = true;
    if (is_alone) {
        rate = it->quota.per_second * share(*it, now);
        is_admitted = admit_isolated(*it, now);
    } else if (!is_unlimited) {
        is_admitted = admit_allocated(*it, now);
        wants_report_ = wants_report_ || it->offered > 2 * it->previously_offered + limited_growth;
    } else {
        it->use = token_use::none;
    }
    if (!is_admitted) {
        ++it->counts.refused;
        it->counts.refused_isolated += is_alone ? 1 : 0;
        return {false, retry_after(*it, rate, now)};
    }
    // Admissions of an isolated instance use the share that the allocator reserves for it.
    if (!is_isolated(now)) {
        ++it->admitted;
    }
    if (is_unlimited && it->admitted > allowance(*it, now)) {
        wants_report_ = true;
    }
    return {};
}

auto quota_limiter::try_take(workspace_state& it, double capacity) -> bool
{
    if (it.tokens >= 1.0 - rounding_error) {
        it.tokens -= 1.0;
        return true;
    }
    if (capacity > 1.0 || it.tokens <= 0) {
        return false;
    }
    bool is_admitted = uniform_real(random_) < it.tokens;
    it.tokens = 0;
    return is_admitted;
}

auto quota_limiter::admit_allocated(workspace_state& it, time_point now) -> bool
{
    auto capacity = it.rate * token_seconds;
    auto rate = it.rate;
    if (is_rare(it)) {
        // Each request is admitted with the probability with which
        // the quota admits the requests of all instances.
        capacity = std::max(capacity, it.admitted_part);
        rate = std::max(rate, it.admitted_part / token_seconds);
    }
    if (it.use != token_use::allocated) {
        it.use = token_use::allocated;
        // A random start keeps the instances from taking their tokens at the same moment.
        it.tokens = std::min(capacity, 1.0) * uniform_real(random_);
        it.refilled_at = now;
    }
    it.tokens = std::min(capacity, it.tokens + rate * to_seconds(now - it.refilled_at));
    it.refilled_at = now;
    return try_take(it, capacity);
}

auto quota_limiter::admit_isolated(workspace_state& it, time_point now) -> bool
{
    auto part = share(it, now);
    auto rate = it.quota.per_second * part;
    // Half of the headroom lets more of the rare requests of a small workspace pass; the other half
    // is left for the use before the isolation, which is not known exactly.
    auto capacity =
        std::max(it.quota.burst * part,
                 std::min(1.0, (it.quota.burst + bounds_.headroom(it.quota) / 2) * part));
    if (it.use != token_use::isolated) {
        // How much of the quota all instances have used is not known. Requests without an answer
        // are part of it.
        it.tokens = std::max(0.0, bounds_.unknown_tokens(it.quota) * part - unanswered(it));
        it.use = token_use::isolated;
        it.refilled_at = now;
    }
    it.tokens = std::min(capacity, it.tokens + rate * to_seconds(now - it.refilled_at));
    it.refilled_at = now;
    return try_take(it, capacity);
}

auto quota_limiter::retry_after(workspace_state& it, double rate, time_point now) -> duration
{
    // Each refused caller gets a time of its own, one after the other at the rate of the quota.
    auto last = now + bounds_.window;
    auto interval =
        rate * to_seconds(bounds_.window) > 1.0 ? from_seconds(1.0 / rate) : bounds_.window;
    auto first = now + from_seconds(std::max(0.0, 1.0 - it.tokens) * to_seconds(interval));
    it.next_retry = std::max(it.next_retry, first);
    auto at = it.next_retry;
    if (at >= last) {
        // All times within a window are taken; the callers are spread over its second half.
        return from_seconds(to_seconds(bounds_.window) * (0.5 + uniform_real(random_) / 2));
    }
    it.next_retry = at + interval;
    return at - now;
}

auto quota_limiter::give_back(const workspace_id& workspace, time_point now) -> void
{
    auto* it = find(workspace);
    if (it == nullptr) {
        return;
    }
    list(*it);
    if (!is_isolated(now)) {
        --it->admitted;
    }
    if (it->use != token_use::none) {
        it->tokens += 1.0;
    }
}

auto quota_limiter::needs_report(time_point now) const -> bool
{
    return wants_report_ && allocator_ && now - last_report_at_ >= min_report_interval;
}

auto quota_limiter::make_report(time_point now) -> quota_report
{
    quota_report out;
    out.number = ++last_report_;
    out.last_allocation = last_allocation_;
    sent_at_[out.number % sent_at_.size()] = now;
    last_report_at_ = now;
    wants_report_ = false;
    // Looked at here and not with each request: after a pause of this process, its answers are read
    // together with the requests.
    is_answer_late_ = unanswered_since_ && now - *unanswered_since_ > max_answer_delay;
    unanswered_since_ = unanswered_since_.value_or(now);
    std::size_t kept = 0;
    for (auto index : listed_) {
        auto& it = states_[index];
        bool is_falling = it.mode == quota_mode::limited && now - it.last_offered < limited_reports;
        // The shares of idle workspaces expire; a large one is released before.
        bool is_releasing = share(it, now) * instances_ > large_share;
        bool is_needed = is_falling || is_releasing || std::exchange(it.reports_mode, false);
        if (it.offered == 0 && it.admitted == 0 && !is_needed) {
            it.is_listed = false;
            continue;
        }
        listed_[kept++] = index;
        // A workspace that got more tokens back than it took reports the rest next time.
        auto admitted = std::max(0, it.admitted);
        out.entries.push_back(
            {it.name, static_cast<std::uint32_t>(admitted), it.offered, share(it, now), it.mode});
        it.in_flight = unanswered(it) - it.admitted + admitted;
        it.in_flight_report = out.number;
        it.admitted -= admitted;
        it.previously_offered = std::exchange(it.offered, 0);
    }
    listed_.resize(kept);
    return out;
}

auto quota_limiter::restore(const quota_report& report) -> void
{
    for (const auto& entry : report.entries) {
        if (auto* it = find(entry.workspace)) {
            it->admitted += static_cast<std::int32_t>(entry.admitted);
            it->in_flight -= static_cast<std::int32_t>(entry.admitted);
            it->offered += entry.offered;
            list(*it);
        }
    }
}

auto quota_limiter::on_allocation(const quota_allocation& allocation, time_point now) -> void
{
    last_allocation_ = allocation.number;
    auto answered = allocation.report;
    if (answered > confirmed_report_ && answered <= last_report_) {
        // A report with a number out of the list was sent at least as long ago as the oldest.
        auto oldest = last_report_ - std::min<std::uint64_t>(last_report_, sent_at_.size() - 1);
        confirmed_at_ = sent_at_[std::max(answered, oldest) % sent_at_.size()];
        confirmed_report_ = answered;
        has_answer_ = true;
        is_answer_late_ = false;
        unanswered_since_.reset();
        if (answered < last_report_) {
            unanswered_since_ = sent_at_[(answered + 1) % sent_at_.size()];
        }
    }
    for (const auto& entry : allocation.entries) {
        auto* it = find(entry.workspace);
        if (it == nullptr) {
            continue;
        }
        it->mode = entry.mode;
        it->rate = std::max(0.0, entry.rate);
        it->admitted_part = std::clamp(entry.admitted_part, 0.0, 1.0);
        if (entry.share) {
            it->share = std::clamp(*entry.share, 0.0, 1.0);
            it->has_share = true;
            it->allocated_at = now;
        }
    }
}

auto quota_limiter::largest(std::size_t n, time_point now) const
    -> std::vector<std::pair<workspace_id, quota_counts>>
{
    std::vector<const workspace_state*> sorted;
    sorted.reserve(states_.size());
    for (const auto& it : states_) {
        sorted.push_back(&it);
    }
    n = std::min(n, sorted.size());
    std::partial_sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(n), sorted.end(),
                      [](const auto* left, const auto* right) {
                          return left->counts.offered > right->counts.offered;
                      });
    std::vector<std::pair<workspace_id, quota_counts>> out;
    for (std::size_t index = 0; index < n; ++index) {
        out.emplace_back(sorted[index]->name, sorted[index]->counts);
        out.back().second.share = share(*sorted[index], now);
        out.back().second.mode = sorted[index]->mode;
    }
    return out;
}

} // namespace cornelswitch
