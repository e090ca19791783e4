#include "daemon/planner_driver.h"

#include "adapters/http_message.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

constexpr duration membership_query_interval = std::chrono::milliseconds{500};
constexpr duration control_timeout = std::chrono::milliseconds{500};
constexpr duration append_timeout = std::chrono::seconds{10};

} // namespace

planner_driver::planner_driver(event_loop& loop, instance_id self, log_driver& log,
                               control_network& network, logger& diagnostics, hooks handlers)
    : loop_{loop}, self_{std::move(self)}, log_{log}, network_{network},
      diagnostics_{diagnostics}, hooks_{std::move(handlers)}, planner_{self_}
{
}

auto planner_driver::plan(const input& in) -> void
{
    planner_view view{in.config, in.version, in.instances, in.state, active_epochs_, loop_.now()};
    is_leader_ = planner_.is_leader(view);
    log_.follower().set_snapshot_writer(is_leader_);
    if (!is_leader_) {
        return;
    }
    query_active_memberships(in.state);
    for (const auto& action : planner_.plan(view)) {
        std::visit([&](const auto& it) { run(in.state, it); }, action);
    }
}

auto planner_driver::run(const ownership_state&, const propose_record& action) -> void
{
    // Only the first outcome is reported to the planner: after `unknown` the next plan starts from
    // the applied state.
    auto is_pending = std::make_shared<bool>(true);
    auto on_settled = [this, is_pending](const append_settled& settled) {
        if (std::exchange(*is_pending, false)) {
            planner_.on_settled();
        }
        if (settled.outcome == append_outcome::dropped) {
            diagnostics_.log(log_level::info, "plan", "",
                             "record dropped: " + std::string{to_string(settled.result.reason)});
        }
    };
    auto submitted = log_.submit(action.body, append_timeout, on_settled);
    if (submitted.has_error()) {
        diagnostics_.log(log_level::warning, "plan", "", submitted.error().message);
        planner_.on_settled();
    }
}

auto planner_driver::run(const ownership_state& state, const request_release& action) -> void
{
    release_request message{action.service, action.server, action.slots};
    hooks_.release_locally(action.cell, message);
    const auto* cell = state.find_cell(action.cell);
    if (cell == nullptr) {
        return;
    }
    for (const auto& it : cell->current.members) {
        if (it.instance != self_) {
            network_.call(it.instance, action.cell, std::string{control_path(message)},
                          encode_cell_message(message), control_timeout,
                          [](const result<control_message>&) {});
        }
    }
}

auto planner_driver::query_active_memberships(const ownership_state& state) -> void
{
    if (loop_.now() < next_query_at_) {
        return;
    }
    next_query_at_ = loop_.now() + membership_query_interval;
    std::erase_if(active_epochs_,
                  [&](const auto& it) { return state.find_cell(it.first) == nullptr; });
    for (const auto& [id, cell] : state.cells()) {
        record_active_membership(id, hooks_.local_active_membership(id));
        if (active_epochs_[id] >= cell.current.epoch) {
            continue;
        }
        for (const auto& it : cell.current.members) {
            auto on_answer = [this, id = id](const result<control_message>& answer) {
                auto epoch = answer ? parse_decimal(answer.value().body) : std::nullopt;
                record_active_membership(id, epoch.value_or(0));
            };
            if (it.instance != self_) {
                network_.call(it.instance, id, std::string{active_membership_path}, {},
                              control_timeout, on_answer);
            }
        }
    }
}

auto planner_driver::record_active_membership(cell_id id, std::uint64_t epoch) -> void
{
    auto& known = active_epochs_[id];
    known = std::max(known, epoch);
}

} // namespace cornelswitch
