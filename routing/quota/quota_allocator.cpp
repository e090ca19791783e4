#include "routing/quota/quota_allocator.h"

#include "routing/quota/quota_limiter.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Decay time of the offered rates.
constexpr double decay_seconds = 0.4;
/// Mean of a decayed rate between two reports, as a part of its value right after a report. Without
/// it the rates of all instances, each taken after its own report, would sum up to 1.27 budgets.
const double mean_weight = decay_seconds * (1 - std::exp(-0.2 / decay_seconds)) / 0.2;
/// A debt is repaid, and a surplus handed out, within this time. It is the time for which instances
/// use their rates without an answer; a shorter one would let them spend a surplus more than once.
constexpr double balance_seconds = 1.0;
/// Random variation of the offered rate, in standard deviations, that does not change the mode.
/// Without it a workspace with a few requests per second would change its mode with each pair of
/// requests, and each change is a message to all instances.
constexpr double rate_deviations = 2.0;
/// An instance without a report for this long keeps its share for itself. It is half of the time
/// after which the instance itself is isolated, because its requests until then are not known.
constexpr duration silence_delay = milliseconds{500};
/// Change of the admitted part that instances without requests have to know, because their next
/// requests are admitted with it, and the shortest interval of such notices.
constexpr double announced_fall = 0.7;
constexpr double announced_rise = 1.5;
constexpr duration notice_interval = milliseconds{100};
constexpr duration silent_interval = milliseconds{20};
constexpr duration min_limited_time = seconds{1};
/// A share that expires soon is counted as the equal part that replaces it, so that the others are
/// reduced before.
constexpr duration share_expiry_margin = seconds{2};
/// Part of the quota that is shared equally, for instances without recent requests.
constexpr double equal_part = 0.25;
/// Part of the difference to its target by which a share changes with one report.
constexpr double share_step = 0.2;
/// The same for a share that becomes smaller. The others can only use what was released.
constexpr double share_release = 0.5;
/// Offered rate below which a workspace has no recent requests.
constexpr double negligible_rate = 0.1;

auto to_seconds(duration it) -> double
{
    return std::chrono::duration<double>{it}.count();
}

auto decay_factor(duration elapsed) -> double
{
    return std::exp(-std::max(0.0, to_seconds(elapsed)) / decay_seconds);
}

} // namespace

quota_allocator::quota_allocator(quota_bounds bounds, time_point now)
    : bounds_{bounds}, started_at_{now}
{
}

auto quota_allocator::configure(const std::vector<std::pair<workspace_id, request_quota>>& quotas,
                                time_point now) -> void
{
    // Positions in the list are about to change.
    changed_.clear();
    for (auto& it : states_) {
        it.is_configured = false;
    }
    for (const auto& [name, configured] : quotas) {
        auto quota = bounds_.usable(configured);
        auto [found, is_new] = by_name_.try_emplace(name, states_.size());
        if (is_new) {
            auto& it = states_.emplace_back();
            it.name = name;
            it.refilled_at = now;
            it.decayed_at = now;
        }
        auto& it = states_[found->second];
        it.is_configured = true;
        if (it.quota != quota) {
            refill(it, now);
            it.quota = quota;
            it.tokens = std::min(it.tokens, quota.burst);
        }
    }
    std::erase_if(states_, [](const auto& it) { return !it.is_configured; });
    by_name_.clear();
    for (std::size_t n = 0; n < states_.size(); ++n) {
        by_name_.emplace(states_[n].name, n);
    }
}

auto quota_allocator::set_instances(std::uint32_t n) -> void
{
    n = std::max(n, 1U);
    if (n != std::exchange(reported_instances_, n)) {
        instances_ = n;
        missing_since_.reset();
    }
}

auto quota_allocator::update_members(time_point now) -> void
{
    if (heard_.size() >= instances_) {
        missing_since_.reset();
        return;
    }
    most_heard_ = std::max(missing_since_ ? most_heard_ : 0, heard_.size());
    missing_since_ = missing_since_.value_or(now);
    if (now - *missing_since_ > member_timeout) {
        instances_ = static_cast<std::uint32_t>(std::max<std::size_t>(most_heard_, 1));
        missing_since_.reset();
    }
}

auto quota_allocator::members() const -> double
{
    return std::max<double>(instances_, static_cast<double>(heard_.size()));
}

auto quota_allocator::update_silent(time_point now) -> void
{
    if (now - silent_at_ < silent_interval) {
        return;
    }
    silent_at_ = now;
    silent_.clear();
    for (const auto& [number, instance] : heard_) {
        if (now - instance.heard_at > silence_delay) {
            silent_.push_back(number);
        }
    }
}

auto quota_allocator::is_starting(time_point now) const -> bool
{
    return now - started_at_ < quota_limiter::isolation_delay;
}

auto quota_allocator::instance_for(const instance_id& id, boot_id boot, time_point now)
    -> instance_number
{
    auto known = numbers_.find(id);
    if (known != numbers_.end() && heard_.at(known->second).boot != boot) {
        forget(known->second);
        known = numbers_.end();
    }
    if (known == numbers_.end()) {
        known = numbers_.emplace(id, ++last_number_).first;
        heard_.emplace(last_number_, instance_state{id, boot, now, 0});
        if (is_starting(now)) {
            // How much of the quota was used before is not known.
            for (auto& it : states_) {
                if (it.mode == quota_mode::limited) {
                    continue;
                }
                it.tokens += bounds_.unknown_tokens(it.quota) / members();
            }
        }
    }
    heard_.at(known->second).heard_at = now;
    std::erase(silent_, known->second);
    return known->second;
}

auto quota_allocator::forget(instance_number instance) -> void
{
    for (auto& it : states_) {
        std::erase_if(it.uses, [&](const auto& use) { return use.instance == instance; });
    }
    auto it = heard_.find(instance);
    std::erase(silent_, instance);
    numbers_.erase(it->second.id);
    heard_.erase(it);
}

auto quota_allocator::find_usage(workspace_state& it, instance_number instance, time_point now)
    -> usage&
{
    auto position = std::ranges::lower_bound(it.uses, instance, {}, &usage::instance);
    if (position == it.uses.end() || position->instance != instance) {
        position = it.uses.insert(position, {instance, 0, 1.0 / members(), now});
    }
    return *position;
}

auto quota_allocator::reserved(const usage& it, time_point now) const -> double
{
    bool expires = now - it.updated_at > quota_limiter::share_lifetime - share_expiry_margin;
    return expires ? std::max(it.reserved_share, 1.0 / members()) : it.reserved_share;
}

auto quota_allocator::silent_share(const workspace_state& it, time_point now) const -> double
{
    double sum = 0;
    double n = members();
    double unheard = n - static_cast<double>(heard_.size());
    for (auto number : silent_) {
        auto use = std::ranges::lower_bound(it.uses, number, {}, &usage::instance);
        bool is_found = use != it.uses.end() && use->instance == number;
        // Not less than an equal part: an allocator on the other side of a partition divides the
        // equal parts of the members that it hears from.
        sum += std::max(is_found ? reserved(*use, now) : 0.0, 1.0 / n);
    }
    return std::min(1.0, sum + unheard / n);
}

auto quota_allocator::shares_of_others(const workspace_state& it,
                                       std::optional<instance_number> instance,
                                       time_point now) const -> double
{
    double sum = 0;
    std::size_t others = 0;
    for (const auto& use : it.uses) {
        if (use.instance != instance) {
            sum += reserved(use, now);
            ++others;
        }
    }
    double n = members() - (instance ? 1.0 : 0.0);
    return sum + std::max(0.0, n - static_cast<double>(others)) / members();
}

auto quota_allocator::refill(workspace_state& it, time_point now) -> void
{
    auto elapsed = std::max(0.0, to_seconds(now - it.refilled_at));
    auto part = 1.0 - silent_share(it, now);
    it.tokens = std::min(it.quota.burst * part, it.tokens + it.quota.per_second * part * elapsed);
    it.refilled_at = now;
}

auto quota_allocator::decay(workspace_state& it, time_point now) -> void
{
    it.offered_rate *= decay_factor(now - it.decayed_at);
    it.decayed_at = now;
}

auto quota_allocator::budget(const workspace_state& it, time_point now) const -> double
{
    auto rate = it.quota.per_second * (1.0 - silent_share(it, now));
    return std::max(0.0, rate + it.tokens / balance_seconds);
}

auto quota_allocator::set_mode(workspace_state& it, quota_mode mode, time_point now) -> void
{
    it.mode = mode;
    it.limited_since = now;
    has_changed_mode_ = true;
    list_change(it);
}

auto quota_allocator::list_change(workspace_state& it) -> void
{
    auto index = static_cast<std::size_t>(&it - states_.data());
    if (std::ranges::find(changed_, index) == changed_.end()) {
        changed_.push_back(index);
    }
}

auto quota_allocator::admitted_part(const workspace_state& it, time_point now) const -> double
{
    return it.offered_rate > 0 ? std::min(1.0, budget(it, now) / it.offered_rate) : 1.0;
}

auto quota_allocator::update_mode(workspace_state& it, time_point now) -> void
{
    refill(it, now);
    decay(it, now);
    auto rate = it.quota.per_second;
    if (it.mode == quota_mode::open) {
        auto deviation = std::sqrt(rate / (2 * decay_seconds));
        bool is_above = it.offered_rate > rate + rate_deviations * deviation;
        auto threshold = std::max(it.quota.burst / 4, it.offered_rate * 1.0);
        if (it.tokens <= 0 || (is_above && it.tokens < threshold)) {
            set_mode(it, quota_mode::limited, now);
        }
    } else if (it.offered_rate < rate && it.tokens >= it.quota.burst / 2 &&
               now - it.limited_since >= min_limited_time) {
        set_mode(it, quota_mode::open, now);
    }
    if (it.mode == quota_mode::limited) {
        auto part = admitted_part(it, now);
        if (part < it.announced_part * announced_fall ||
            part > it.announced_part * announced_rise) {
            list_change(it);
        }
    }
}

auto quota_allocator::apply(workspace_state& it, instance_number from,
                            const quota_report::entry& entry, bool has_all_allocations,
                            time_point now) -> void
{
    if (is_starting(now) && entry.mode == quota_mode::limited && it.mode == quota_mode::open) {
        // The earlier allocator may have had a debt.
        it.tokens = std::min(it.tokens, -bounds_.unknown_tokens(it.quota));
        set_mode(it, quota_mode::limited, now);
    }
    refill(it, now);
    decay(it, now);
    // A debt that is older than a window no longer matters to the bound.
    auto max_debt = it.quota.per_second * to_seconds(bounds_.window);
    it.tokens = std::max(-max_debt, it.tokens - entry.admitted);
    auto window = to_seconds(bounds_.window);
    it.used_rate *= std::exp(-to_seconds(now - it.used_at) / window);
    it.used_rate += entry.admitted / window;
    it.used_at = now;
    auto& use = find_usage(it, from, now);
    auto added = entry.offered / decay_seconds;
    use.offered_rate = use.offered_rate * decay_factor(now - use.updated_at) + added;
    it.offered_rate += added;
    use.reserved_share =
        has_all_allocations ? entry.share : std::max(use.reserved_share, entry.share);
    use.updated_at = now;
    if (entry.offered > entry.admitted && it.mode == quota_mode::limited) {
        it.refused_at = now;
        if (!std::exchange(it.is_exceeding, true)) {
            changes_.push_back({it.name, true, it.offered_rate});
        }
    }
    update_mode(it, now);
}

auto quota_allocator::allocate(workspace_state& it, instance_number to, double reported_share,
                               time_point now) -> quota_allocation::entry
{
    auto& use = find_usage(it, to, now);
    auto part = it.offered_rate > 0 ? std::min(1.0, use.offered_rate / it.offered_rate) : 0.0;
    bool is_idle = it.offered_rate < negligible_rate;
    auto target = (is_idle ? 1.0 : equal_part) / members() + (is_idle ? 0 : 1 - equal_part) * part;
    auto step = target < reported_share ? share_release : share_step;
    auto share = reported_share + step * (target - reported_share);
    share = std::clamp(share, 0.0, std::max(0.0, 1.0 - shares_of_others(it, to, now)));
    use.reserved_share = std::max(use.reserved_share, share);
    return {it.name, it.mode, budget(it, now) * part * mean_weight, admitted_part(it, now), share};
}

auto quota_allocator::announce(const workspace_state& it, instance_number to, time_point now) const
    -> quota_allocation::entry
{
    auto use = std::ranges::lower_bound(it.uses, to, {}, &usage::instance);
    bool is_found = use != it.uses.end() && use->instance == to && it.offered_rate > 0;
    auto rate = is_found ? budget(it, now) * use->offered_rate *
                               decay_factor(now - use->updated_at) / it.offered_rate
                         : 0.0;
    // Shares change only with reports, which confirm them.
    return {it.name, it.mode, rate, admitted_part(it, now), std::nullopt};
}

auto quota_allocator::on_report(const instance_id& from, boot_id boot, const quota_report& report,
                                time_point now) -> quota_allocation
{
    auto number = instance_for(from, boot, now);
    update_silent(now);
    auto& sender = heard_.at(number);
    bool is_new = report.last_allocation == 0 || sender.last_allocation == 0;
    bool has_all_allocations = report.last_allocation == sender.last_allocation;
    quota_allocation out;
    out.number = ++sender.last_allocation;
    out.report = report.number;
    out.entries.reserve(report.entries.size());
    for (const auto& entry : report.entries) {
        auto found = by_name_.find(entry.workspace);
        if (found != by_name_.end()) {
            auto& it = states_[found->second];
            apply(it, number, entry, has_all_allocations, now);
            out.entries.push_back(allocate(it, number, entry.share, now));
        }
    }
    if (is_new) {
        for (const auto& it : states_) {
            if (it.mode == quota_mode::limited &&
                std::ranges::find(out.entries, it.name, &quota_allocation::entry::workspace) ==
                    out.entries.end()) {
                out.entries.push_back(announce(it, number, now));
            }
        }
    }
    return out;
}

auto quota_allocator::tick(time_point now) -> void
{
    update_silent(now);
    update_members(now);
    std::vector<instance_number> lost;
    for (const auto& [number, instance] : heard_) {
        if (now - instance.heard_at > quota_limiter::share_lifetime) {
            lost.push_back(number);
        }
    }
    for (auto number : lost) {
        forget(number);
    }
    for (auto& it : states_) {
        std::erase_if(it.uses, [&](const auto& use) {
            return now - use.updated_at > quota_limiter::share_lifetime;
        });
        update_mode(it, now);
        if (it.is_exceeding && now - it.refused_at > bounds_.window) {
            it.is_exceeding = false;
            changes_.push_back({it.name, false, it.offered_rate});
        }
    }
}

auto quota_allocator::take_notices(time_point now) -> notices
{
    notices out;
    if (changed_.empty() || (!has_changed_mode_ && now < next_notices_)) {
        return out;
    }
    for (auto& [number, instance] : heard_) {
        quota_allocation notice;
        notice.number = ++instance.last_allocation;
        for (auto index : changed_) {
            notice.entries.push_back(announce(states_[index], number, now));
        }
        out.emplace_back(instance.id, std::move(notice));
    }
    for (auto index : changed_) {
        states_[index].announced_part = admitted_part(states_[index], now);
    }
    changed_.clear();
    has_changed_mode_ = false;
    next_notices_ = now + notice_interval;
    return out;
}

auto quota_allocator::mode(const workspace_id& workspace) const -> quota_mode
{
    auto it = by_name_.find(workspace);
    return it == by_name_.end() ? quota_mode::open : states_[it->second].mode;
}

auto quota_allocator::tokens(const workspace_id& workspace) const -> double
{
    auto it = by_name_.find(workspace);
    return it == by_name_.end() ? 0 : states_[it->second].tokens;
}

auto quota_allocator::used_part(const workspace_id& workspace, time_point now) const -> double
{
    auto found = by_name_.find(workspace);
    if (found == by_name_.end()) {
        return 0;
    }
    const auto& it = states_[found->second];
    auto decay = std::exp(-to_seconds(now - it.used_at) / to_seconds(bounds_.window));
    return it.used_rate * decay / it.quota.per_second;
}

auto quota_allocator::sum_of_shares(const workspace_id& workspace, time_point now) const -> double
{
    auto it = by_name_.find(workspace);
    return it == by_name_.end() ? 0 : shares_of_others(states_[it->second], std::nullopt, now);
}

auto quota_allocator::records() const -> std::size_t
{
    std::size_t out = 0;
    for (const auto& it : states_) {
        out += it.uses.size();
    }
    return out;
}

} // namespace cornelswitch
