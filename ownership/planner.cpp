#include "ownership/planner.h"

#include "core/hash.h"

#include <algorithm>

namespace cornelswitch {

auto planner::is_leader(const planner_view& view) const -> bool
{
    auto weight = [](const instance_id& it) { return rendezvous_weight("planner", it.value()); };
    auto has_higher_weight = [&](const instance_info& it) {
        return it.id != self_ && it.state == instance_state::live &&
               !view.config.out_of_service.instances.contains(it.id) &&
               weight(it.id) > weight(self_);
    };
    auto is_leaving = [&](const instance_info& it) {
        return it.id == self_ && it.state == instance_state::leaving;
    };
    const auto& list = view.instances;
    return !view.config.out_of_service.instances.contains(self_) &&
           std::none_of(list.begin(), list.end(), has_higher_weight) &&
           std::none_of(list.begin(), list.end(), is_leaving);
}

auto planner::plan(const planner_view& view) -> planner_actions
{
    planner_actions out;
    auto leads = is_leader(view);
    if (!leads || view.now - last_plan_at_ > options_.max_plan_interval) {
        // Earlier observations are out of date after another instance has planned or planning was
        // paused.
        reset();
    }
    last_plan_at_ = view.now;
    if (!leads) {
        return out;
    }
    if (unsettled_proposals_ != 0) {
        return out;
    }
    takeover_planner_.plan(view, out);
    cells_.plan(view, out);
    slots_.plan(view, takeover_planner_, out);
    auto is_proposal = [](const auto& it) { return std::holds_alternative<propose_record>(it); };
    unsettled_proposals_ =
        static_cast<std::size_t>(std::count_if(out.begin(), out.end(), is_proposal));
    return out;
}

auto planner::reset() -> void
{
    takeover_planner_ = cell_takeover_planner{options_};
    cells_ = cell_planner{options_};
    slots_ = slot_planner{options_};
}

auto planner::change_key(const service_id& service, key_hash key, key_changes::kind change_kind,
                         time_point now) -> void
{
    slots_.keys().request(service, key, change_kind, now);
}

auto planner::on_settled() -> void
{
    unsettled_proposals_ -= std::min(unsettled_proposals_, std::size_t{1});
}

} // namespace cornelswitch
