#include "tests/ownership/succession_model.h"

#include "tests/ownership/succession_model_parts.h"

#include <algorithm>
#include <utility>

namespace cornelswitch::test {

namespace {

using std::chrono::milliseconds;

/// Restores of one run come in groups, so that instances meet several in a row.
constexpr double grouped_restores = 0.3;
constexpr double repeated_appends = 0.1;
constexpr double replaced_coordinators = 0.3;
constexpr duration longest_replacement = milliseconds{12'000};

} // namespace

auto succession_model::start_restores() -> void
{
    if (time_.now() >= faults_end_) {
        return;
    }
    if (chance(replaced_coordinators)) {
        restore_at_replaced_coordinator();
    } else {
        // Some copies are so recent that they lose only the last record or none.
        restore_store(chance(0.3) ? between(0, 300) : between(0, 10'000));
    }
    at(chance(grouped_restores) ? between(10, 3000) : between(4000, 15'000),
       [this] { start_restores(); });
}

auto succession_model::restore_store(duration age) -> void
{
    auto lost = store_.restore(time_.now() - age);
    ++result_.restores;
    trace("the store is restored to era " + std::to_string(store_.era()) + " and loses " +
          std::to_string(lost) + " records");
    if (chance(0.5)) {
        store_down_until_ = std::max(store_down_until_, time_.now() + between(1, 3000));
    }
    if (chance(0.3)) {
        assigned_ = uniform_below(random_, instance_count);
    }
}

auto succession_model::restore_at_replaced_coordinator() -> void
{
    auto* current = leader();
    if (current == nullptr || time_.now() + longest_replacement >= faults_end_) {
        return;
    }
    auto length = between(8500, 11'500);
    current->cut_until = time_.now() + length;
    assigned_ = (current->index + 1) % instance_count;
    trace(current->id.value() + " is cut off until the store is restored");
    at(length, [this] { restore_store(between(7500, 10'000)); });
}

auto succession_model::named_era() const -> store_era
{
    return store_era{options_.restores_store ? store_.era() : 0};
}

auto succession_model::classify(instance& it, store_era era) -> era_class
{
    auto named = era == store_era{} ? std::optional<store_era>{} : std::optional{era};
    auto out = it.eras.on_response(named, "store", it.time->now());
    if (out == era_class::new_era) {
        on_new_era(it);
    }
    return out;
}

auto succession_model::on_peer_era(instance& it, store_era era) -> void
{
    if (it.eras.on_peer_era(era, "peer", it.time->now())) {
        on_new_era(it);
    }
}

auto succession_model::on_new_era(instance& it) -> void
{
    trace(it.id.value() + " sees era " + std::to_string(it.eras.era().value()));
    it.succession->on_store_era(it.eras.era(), it.ranges.get(), it.time->now());
    // The copy is read as a whole again, and conditions that were read before are void.
    it.read_end = 0;
    it.append_end = 0;
    it.is_loaded = false;
    it.needs_read = true;
    it.next_read = {};
}

auto succession_model::repeat_append(const coordinator_record& record, std::size_t expected_end)
    -> void
{
    if (!options_.restores_store || !chance(repeated_appends)) {
        return;
    }
    at(between(20, 8000), [this, record, expected_end] {
        if (time_.now() >= store_down_until_ && store_.append(record, expected_end, time_.now())) {
            trace("a repeated append of term " + std::to_string(record.term.value()) +
                  " is stored");
        }
    });
}

} // namespace cornelswitch::test
