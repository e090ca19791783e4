#include "tests/routing/quota_model.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds{1};
constexpr int zones = 3;
/// Part of the requests that are refused after their admission and give their token back.
constexpr double given_back = 0.02;
/// Time after a fault in which refusals within the quota are attributed to it.
constexpr duration fault_effect = seconds{12};

} // namespace

struct quota_model::instance {
    instance_id name;
    int zone{0};
    /// Instances of different parts of the network cannot reach each other.
    int part{0};
    bool is_up{false};
    boot_id boot;
    std::unique_ptr<quota_limiter> limiter;
    std::unique_ptr<quota_allocator> allocator;
    instance* known_allocator{nullptr};
};

quota_model::quota_model(quota_model_options options)
    : options_{std::move(options)}, random_{options_.seed}
{
}

quota_model::~quota_model() = default;

auto quota_model::at(duration delay, std::function<void()> action) -> void
{
    events_.emplace(now_ + delay, std::move(action));
}

auto quota_model::between(int min_ms, int max_ms) -> duration
{
    auto span = static_cast<std::uint64_t>(max_ms - min_ms + 1);
    return milliseconds{min_ms + static_cast<int>(uniform_below(random_, span))};
}

auto quota_model::add_instance() -> void
{
    auto n = instances_.size();
    auto it = std::make_unique<instance>();
    it->name = instance_id{"i" + std::to_string(n)};
    it->zone = static_cast<int>(n % zones);
    instances_.push_back(std::move(it));
    start(*instances_.back());
}

auto quota_model::start(instance& it) -> void
{
    it.is_up = true;
    it.boot = boot_id{++last_boot_};
    it.limiter = std::make_unique<quota_limiter>(bounds_, options_.seed * 1000 + last_boot_);
    it.limiter->configure({{workspace_, options_.quota}}, now_);
    it.limiter->set_instances(static_cast<std::uint32_t>(instances_.size()));
    it.allocator.reset();
    it.known_allocator = nullptr;
    at(between(0, 200), [this, &it, boot = it.boot.value()] { tick(it, boot); });
    at(between(5, 100), [this, part = it.part] { announce_allocator(part); });
}

auto quota_model::tick(instance& it, std::uint64_t boot) -> void
{
    if (!it.is_up || it.boot.value() != boot) {
        return;
    }
    if (it.allocator) {
        it.allocator->tick(now_);
        send_notices(it);
    }
    send_report(it);
    // Ticks of a machine that lacks CPU time are late.
    auto late = chance(0.02) ? between(0, 100) : duration::zero();
    at(quota_limiter::report_interval + late, [this, &it, boot] { tick(it, boot); });
}

auto quota_model::are_connected(const instance& a, const instance& b) const -> bool
{
    return a.is_up && b.is_up && a.part == b.part;
}

auto quota_model::send_report(instance& it) -> void
{
    if (it.known_allocator == nullptr) {
        return;
    }
    ++result_.reports;
    auto& to = *it.known_allocator;
    auto report = it.limiter->make_report(now_);
    auto delay = &to == &it ? duration::zero() : between(1, chance(0.02) ? 80 : 8);
    at(delay, [this, &to, &it, report, boot = it.boot, to_boot = to.boot] {
        if (are_connected(to, it) && it.boot == boot && to.boot == to_boot && to.allocator) {
            on_report(to, it, report);
        }
    });
}

auto quota_model::on_report(instance& to, instance& from, const quota_report& report) -> void
{
    send_allocation(to, from, to.allocator->on_report(from.name, from.boot, report, now_));
    send_notices(to);
}

auto quota_model::send_allocation(instance& from, instance& to, const quota_allocation& allocation)
    -> void
{
    auto delay = &to == &from ? duration::zero() : between(1, 8);
    at(delay, [this, &from, &to, allocation, boot = to.boot] {
        if (are_connected(from, to) && to.boot == boot && to.known_allocator == &from) {
            to.limiter->on_allocation(allocation, now_);
        }
    });
}

auto quota_model::send_notices(instance& from) -> void
{
    for (const auto& [name, notice] : from.allocator->take_notices(now_)) {
        ++result_.notices;
        auto to = std::ranges::find(instances_, name, [](const auto& it) { return it->name; });
        send_allocation(from, **to, notice);
    }
}

auto quota_model::announce_allocator(int part) -> void
{
    auto found = allocators_.find(part);
    auto* allocator = found == allocators_.end() ? nullptr : found->second;
    for (auto& it : instances_) {
        if (!it->is_up || it->part != part || it->known_allocator == allocator) {
            continue;
        }
        at(allocator == it.get() ? duration::zero() : between(5, 300), [this, part, &to = *it,
                                                                        allocator] {
            if (!to.is_up || to.part != part || allocators_[part] != allocator) {
                return;
            }
            to.known_allocator = allocator;
            to.limiter->set_allocator(allocator != nullptr
                                          ? std::optional{allocator->name.value() +
                                                          std::to_string(allocator->boot.value())}
                                          : std::nullopt,
                                      now_);
            if (to.limiter->needs_report(now_)) {
                send_report(to);
            }
        });
    }
}

auto quota_model::elect(int part) -> void
{
    auto found = std::ranges::find_if(
        instances_, [&](const auto& it) { return it->is_up && it->part == part; });
    if (found == instances_.end()) {
        return;
    }
    auto& it = **found;
    it.allocator = std::make_unique<quota_allocator>(bounds_, now_);
    it.allocator->configure({{workspace_, options_.quota}}, now_);
    it.allocator->set_instances(static_cast<std::uint32_t>(instances_.size()));
    allocators_[part] = &it;
    announce_allocator(part);
}

auto quota_model::cut_off(const std::function<bool(const instance&)>& is_cut) -> void
{
    for (auto& it : instances_) {
        it->part = is_cut(*it) ? 1 : 0;
    }
    allocators_.clear();
    for (auto& it : instances_) {
        if (it->allocator && it->is_up) {
            allocators_[it->part] = it.get();
        }
    }
    auto end = between(2'000, 15'000);
    for (int part : {0, 1}) {
        // Broken links are noticed late, and a new allocator starts later still.
        at(between(500, 1'200), [this, part] { announce_allocator(part); });
        at(between(1'500, 3'000), [this, part] {
            bool is_cut =
                std::ranges::any_of(instances_, [](const auto& it) { return it->part == 1; });
            if (allocators_[part] == nullptr && (is_cut || part == 0)) {
                elect(part);
            }
        });
    }
    at(end, [this] {
        // Two allocators may act for a moment after the network is whole again.
        for (auto& it : instances_) {
            it->part = 0;
        }
        auto* kept = allocators_[0] != nullptr ? allocators_[0] : allocators_[1];
        allocators_ = {{0, kept}};
        at(between(0, 500), [this, kept] {
            for (auto& it : instances_) {
                if (it.get() != kept) {
                    it->allocator.reset();
                }
            }
            announce_allocator(0);
        });
    });
    faults_until_ = now_ + end + fault_effect;
}

auto quota_model::set_members() -> void
{
    auto up = std::ranges::count_if(instances_, [](const auto& it) { return it->is_up; });
    for (auto& it : instances_) {
        auto n = static_cast<std::uint32_t>(up);
        it->limiter->set_instances(n);
        if (it->allocator) {
            it->allocator->set_instances(n);
        }
    }
}

auto quota_model::inject_fault() -> void
{
    auto fault = options_.faults[uniform_below(random_, options_.faults.size())];
    faults_until_ = std::max(faults_until_, now_ + fault_effect);
    auto kill = [this](instance& it) {
        it.is_up = false;
        it.allocator.reset();
        if (allocators_[0] == &it) {
            allocators_[0] = nullptr;
            at(between(300, 1'200), [this] { announce_allocator(0); });
            at(between(1'500, 3'000), [this] {
                if (allocators_[0] == nullptr) {
                    elect(0);
                }
            });
        }
    };
    auto restart_later = [this](instance& it, duration delay) {
        at(delay, [this, &it] { start(it); });
        at(delay + milliseconds{500}, [this] { set_members(); });
    };
    auto* allocator = allocators_[0];
    switch (fault) {
    case quota_fault::none:
        break;
    case quota_fault::allocator_lost:
        if (allocator != nullptr) {
            kill(*allocator);
            restart_later(*allocator, between(1'000, 8'000));
        }
        break;
    case quota_fault::allocator_replaced:
        if (allocator != nullptr) {
            allocator->allocator.reset();
            std::rotate(instances_.begin(), instances_.begin() + 1, instances_.end());
            elect(0);
        }
        break;
    case quota_fault::allocator_cut_off:
        cut_off([&](const instance& it) { return &it == allocator; });
        break;
    case quota_fault::zone_cut_off: {
        auto zone = static_cast<int>(uniform_below(random_, zones));
        cut_off([&](const instance& it) { return it.zone == zone; });
        break;
    }
    case quota_fault::many_killed: {
        auto delay = between(500, 6'000);
        for (auto& it : instances_) {
            if (it->is_up && chance(0.4)) {
                kill(*it);
                restart_later(*it, delay + between(0, 1'000));
            }
        }
        at(seconds{3}, [this] { set_members(); });
        break;
    }
    case quota_fault::one_restarted: {
        auto& it = *instances_[uniform_below(random_, instances_.size())];
        if (it.is_up) {
            kill(it);
            restart_later(it, between(200, 4'000));
        }
        break;
    }
    case quota_fault::instances_added:
        for (std::size_t n = 0; n < options_.instances / 10; ++n) {
            add_instance();
        }
        at(between(300, 2'000), [this] { set_members(); });
        break;
    }
}

auto quota_model::change_load() -> void
{
    rate_ = options_.usual_rate * (0.6 + 0.4 * uniform_real(random_));
    if (chance(0.3)) {
        rate_ = options_.usual_rate * options_.burst_factor;
    }
    at(between(500, 8'000), [this] { change_load(); });
}

auto quota_model::choose_instance() -> instance*
{
    if (now_ >= next_hot_) {
        next_hot_ = now_ + seconds{1};
        hot_ = uniform_below(random_, instances_.size());
    }
    auto index =
        options_.is_uneven && chance(0.9) ? hot_ : uniform_below(random_, instances_.size());
    auto* it = instances_[index].get();
    for (int n = 0; n < 20 && !it->is_up; ++n) {
        it = instances_[uniform_below(random_, instances_.size())].get();
    }
    return it->is_up ? it : nullptr;
}

auto quota_model::count_request(bool is_admitted, time_point now) -> void
{
    ++result_.offered;
    const auto& quota = options_.quota;
    auto elapsed = std::chrono::duration<double>{now - ideal_at_}.count();
    ideal_tokens_ = std::min(quota.burst, ideal_tokens_ + quota.per_second * elapsed);
    ideal_at_ = now;
    if (ideal_tokens_ >= 1) {
        ideal_tokens_ -= 1;
    } else {
        exceeded_at_ = now;
    }
    if (now - exceeded_at_ > bounds_.window) {
        ++result_.offered_within_quota;
        if (!is_admitted) {
            undecided_.push_back(now);
        }
    }
    while (!undecided_.empty() && undecided_.front() < now - seconds{1}) {
        if (undecided_.front() > exceeded_at_) {
            ++(undecided_.front() < faults_until_ ? result_.refused_within_quota_in_faults
                                                  : result_.refused_within_quota);
        }
        undecided_.pop_front();
    }
    if (!is_admitted) {
        ++result_.refused;
        return;
    }
    ++result_.admitted;
    admitted_.push_back(now);
    while (admitted_.front() <= now - bounds_.window) {
        admitted_.pop_front();
    }
    auto allowed =
        quota.per_second * std::chrono::duration<double>{bounds_.window}.count() + quota.burst;
    auto count = static_cast<double>(admitted_.size());
    result_.overrun = std::max(result_.overrun, count - allowed);
    result_.excess =
        std::max(result_.excess, count - (allowed * (1 + bounds_.overrun) + bounds_.slack));
}

auto quota_model::offer(time_point now) -> void
{
    pending_requests_ += rate_ * std::chrono::duration<double>{step}.count();
    while (pending_requests_ > 0) {
        // Exponential distances between the requests.
        pending_requests_ += std::log(1 - uniform_real(random_));
        auto* it = choose_instance();
        if (it == nullptr) {
            continue;
        }
        bool is_admitted = it->limiter->admit(workspace_, now).is_admitted;
        if (it->limiter->needs_report(now)) {
            send_report(*it);
        }
        if (is_admitted && chance(given_back)) {
            at(between(1, 600), [this, it, boot = it->boot] {
                if (it->is_up && it->boot == boot) {
                    it->limiter->give_back(workspace_, now_);
                }
            });
            continue;
        }
        count_request(is_admitted, now);
    }
}

auto quota_model::run() -> quota_model_result
{
    ideal_tokens_ = options_.quota.burst;
    ideal_at_ = now_;
    exceeded_at_ = now_ - bounds_.window;
    for (std::size_t n = 0; n < options_.instances; ++n) {
        add_instance();
    }
    set_members();
    elect(0);
    // The requests begin when all instances have found the allocator.
    auto end = now_ + options_.length;
    at(milliseconds{600}, [this] { change_load(); });
    std::function<void()> next_fault = [&] {
        // One partition at a time.
        if (now_ + fault_effect >= faults_until_) {
            inject_fault();
        }
        at(between(1'000, 9'000), next_fault);
    };
    if (!options_.faults.empty()) {
        at(seconds{3}, next_fault);
    }
    while (now_ < end) {
        now_ += step;
        while (!events_.empty() && events_.begin()->first <= now_) {
            auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        offer(now_);
        for (auto& it : instances_) {
            if (it->allocator) {
                result_.largest_sum_of_shares = std::max(
                    result_.largest_sum_of_shares, it->allocator->sum_of_shares(workspace_, now_));
            }
        }
    }
    return result_;
}

} // namespace cornelswitch::test
