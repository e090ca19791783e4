#include "routing/admission_value.h"

#include "core/milliseconds.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace cornelswitch {

namespace {

/// Value of a late response relative to one in time.
constexpr double late_gain = 0.5;
/// A second refusal is the worst outcome for a caller, so a returning request precedes new ones of
/// similar work. Requests of much less work still precede it: with a factor of 4, those of most
/// work took the place of others of the same priority.
constexpr double returning_factor = 1.5;
/// A request is refused in favour of one that is worth at least this many times as much.
constexpr double min_advantage = 1.25;
/// Shortest work that is counted, because estimates of shorter work scatter.
constexpr double min_work_ms = 5.0;

auto current_value(const valued_request& it, bool is_late) -> double
{
    return is_late ? it.value * late_gain : it.value;
}

/// The requests that are kept although they are late, and the values that the selection needs.
class late_places {
public:
    explicit late_places(std::size_t max_size) : max_size_{max_size} {}

    /// Adds a request. Returns the index of the least valuable one if there are too many now.
    auto add(std::span<const valued_request> queue, std::size_t index)
        -> std::optional<displaced_request>
    {
        indexes_.push_back(index);
        if (indexes_.size() <= max_size_) {
            return std::nullopt;
        }
        // A later request displaces an earlier one only if it is clearly worth more.
        auto least = indexes_.size() - 1;
        for (std::size_t n = indexes_.size() - 1; n-- > 0;) {
            if (admission_value::is_worth_more(queue[indexes_[least]].value,
                                               queue[indexes_[n]].value)) {
                least = n;
            }
        }
        displaced_request out{indexes_[least], 0};
        indexes_.erase(indexes_.begin() + static_cast<std::ptrdiff_t>(least));
        for (auto it : indexes_) {
            double value = current_value(queue[it], true);
            out.favoured_value =
                out.favoured_value > 0 ? std::min(out.favoured_value, value) : value;
        }
        return out;
    }

private:
    std::size_t max_size_;
    std::vector<std::size_t> indexes_;
};

} // namespace

auto admission_value::value(const value_inputs& inputs) const -> double
{
    double weight = inputs.is_underserved ? settings_.priority_step
                                          : std::pow(settings_.priority_step, -1.0 * inputs.level);
    if (inputs.is_returning) {
        weight *= returning_factor;
    }
    double work_s = std::max(min_work_ms, to_ms(inputs.work)) / 1000.0;
    return settings_.counts_work ? weight / work_s : weight;
}

auto admission_value::counted_wait(const valued_request& it, duration wait) const -> duration
{
    return it.is_arriving ? wait : from_ms(to_ms(wait) * (1.0 - settings_.wait_tolerance));
}

auto admission_value::is_expected_late(const valued_request& it, duration wait,
                                       time_point now) const -> bool
{
    return it.is_late || now + counted_wait(it, wait) + it.work > it.objective;
}

auto admission_value::is_worth_more(double left, double right) -> bool
{
    return right * min_advantage <= left;
}

auto admission_value::is_endangered(const valued_request& it, duration wait, time_point now) const
    -> bool
{
    return (!it.is_late && is_expected_late(it, wait, now)) || is_hopeless(it, wait, now);
}

auto admission_value::is_hopeless(const valued_request& it, duration wait, time_point now) const
    -> bool
{
    return now + counted_wait(it, wait) + it.work > it.deadline;
}

auto admission_value::find_displaced(std::span<const valued_request> queue, const queue_room& room,
                                     time_point now) const -> std::vector<displaced_request>
{
    std::vector<displaced_request> out;
    late_places late{room.max_late};
    // Requests that are sent in time; a heap, with the least valuable first, once one is late.
    std::vector<std::size_t> in_time;
    in_time.reserve(queue.size());
    bool is_heap = false;
    auto has_more_value = [&](std::size_t left, std::size_t right) {
        return queue[left].value > queue[right].value;
    };
    auto add_in_time = [&](std::size_t n) {
        in_time.push_back(n);
        if (is_heap) {
            std::ranges::push_heap(in_time, has_more_value);
        }
    };
    auto wait = room.wait;
    auto displace = [&](const displaced_request& it) {
        out.push_back(it);
        wait -= queue[it.index].delay;
    };
    for (std::size_t n = 0; n < queue.size(); ++n) {
        const auto& it = queue[n];
        auto wait_before = wait;
        wait += it.delay;
        if (!is_expected_late(it, wait_before, now)) {
            add_in_time(n);
            continue;
        }
        if (!it.is_late && !in_time.empty()) {
            if (!is_heap) {
                std::ranges::make_heap(in_time, has_more_value);
                is_heap = true;
            }
            auto least = in_time.front();
            auto shorter_wait = wait_before - queue[least].delay;
            if (is_worth_more(it.value, queue[least].value) &&
                !is_expected_late(it, shorter_wait, now)) {
                displace({least, it.value});
                std::ranges::pop_heap(in_time, has_more_value);
                in_time.pop_back();
                add_in_time(n);
                continue;
            }
        }
        if (is_hopeless(it, wait_before, now)) {
            displace({n, 0});
        } else if (auto least = late.add(queue, n)) {
            displace(*least);
        }
    }
    return out;
}

} // namespace cornelswitch
