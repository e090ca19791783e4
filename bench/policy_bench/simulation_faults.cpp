#include "bench/policy_bench/simulation.h"

#include "core/intervals.h"

#include <algorithm>

namespace cornelswitch::bench {

using namespace std::chrono_literals;

namespace {

constexpr duration plan_interval = 500ms;
// Time for a quorum write of a transfer register within the cell, and time to distribute the
// result.
constexpr duration transfer_time = 5ms;
constexpr duration publish_time = 1ms;
// Time until the load balancer of the callers stops using an instance that is taken out.
constexpr duration balancer_delay = 1s;
// Load bound for which the minimum number of moves is computed. It is the same for all profiles.
constexpr double reference_bound = 1.25;

} // namespace

auto simulation::plan() -> void
{
    auto moves = table_.plan(input_.policy);
    for (const auto& it : moves) {
        table_.begin_move(it);
    }
    if (!moves.empty()) {
        events_.after(simulated_slot_table::move_time, [this, moves] {
            for (const auto& it : moves) {
                table_.end_move(it);
            }
            publish_view();
        });
    }
    events_.after(plan_interval, [this] { plan(); });
}

auto simulation::zone_out(std::uint32_t zone) -> void
{
    out_of_service_.zones.insert(input_.zones[zone]);
    for (std::uint32_t n = 0; n < entries_.size(); ++n) {
        instance_accepts_[n] = instance_accepts_[n] && entries_[n].zone != zone;
    }
    const auto& keyed = input_.services[keyed_service_].config;
    for (std::uint32_t n = 0; n < keyed.servers.size(); ++n) {
        if (zone_of(keyed_service_, n) == zone) {
            table_.set_server_state(n, server_state::draining);
        }
    }
    count_minimum_moves();
    publish_view();
    events_.after(balancer_delay, [this, zone] {
        for (auto& it : entries_) {
            it.gets_arrivals = it.gets_arrivals && it.zone != zone;
        }
    });
    events_.after(2s, [this, zone] {
        for (std::size_t n = 0; n < servers_.size(); ++n) {
            if (zone_of(servers_[n].service, servers_[n].index) == zone) {
                servers_[n].schedulers.front()->scheduler->drain(events_.now());
            }
        }
    });
}

auto simulation::zone_in(std::uint32_t zone) -> void
{
    out_of_service_.zones.erase(input_.zones[zone]);
    for (std::uint32_t n = 0; n < entries_.size(); ++n) {
        if (entries_[n].zone == zone) {
            instance_accepts_[n] = true;
            entries_[n].gets_arrivals = true;
        }
    }
    for (auto& it : servers_) {
        if (zone_of(it.service, it.index) == zone) {
            it.schedulers.front()->scheduler->resume();
        }
    }
    const auto& keyed = input_.services[keyed_service_].config;
    for (std::uint32_t n = 0; n < keyed.servers.size(); ++n) {
        if (zone_of(keyed_service_, n) == zone) {
            table_.set_server_state(n, server_state::active);
        }
    }
    count_minimum_moves();
    publish_view();
}

auto simulation::hand_over_instance(std::uint32_t instance) -> void
{
    instance_accepts_[instance] = false;
    publish_view();
    events_.after(handover_time, [this, instance] { switch_dispatchers(instance, true); });
    events_.after(balancer_delay, [this, instance] { entries_[instance].gets_arrivals = false; });
}

auto simulation::kill_instance(std::uint32_t instance) -> void
{
    entries_[instance].alive = false;
    entries_[instance].gets_arrivals = false;
    for (const auto& backend : servers_) {
        if (backend.dispatcher == instance) {
            // The dispatcher sends no more requests, and its refusals reach no entry.
            backend.schedulers.front()->scheduler->stop();
        }
    }
    for (std::size_t n = 0; n < records_.size(); ++n) {
        if (records_[n].entry == instance) {
            finish_request(n, request_result::entry_lost, {});
        }
    }
    for (std::uint64_t n = 0; n < attempts_.size(); ++n) {
        if (attempts_[n].pending && attempts_[n].instance == instance) {
            auto entry = records_[attempts_[n].request].entry;
            fail(n, failure_kind::connection_lost, link_delay(entry, instance));
        }
    }
    events_.after(lengthened_by_drift(lease_duration) + transfer_time,
                  [this, instance] { switch_dispatchers(instance, false); });
}

auto simulation::switch_dispatchers(std::uint32_t from, bool graceful) -> void
{
    for (std::size_t n = 0; n < servers_.size(); ++n) {
        auto& backend = servers_[n];
        if (backend.dispatcher != from) {
            continue;
        }
        backend.dispatcher = successor(from);
        auto old = backend.schedulers.front();
        backend.schedulers.front() = make_scheduler(backend);
        auto& added = *backend.schedulers.front()->scheduler;
        added.take_over(backend.fake->in_progress(), events_.now());
        if (!graceful) {
            continue;
        }
        for (const auto& it : old->scheduler->stop()) {
            const auto& record = records_[attempts_[it.id.value()].request];
            fail(it.id.value(), failure_kind::wrong_dispatcher, link_delay(record.entry, from));
        }
    }
    events_.after(publish_time, [this] { publish_view(); });
}

auto simulation::successor(std::uint32_t instance) const -> std::uint32_t
{
    auto zones = static_cast<std::uint32_t>(input_.zones.size());
    for (auto n = instance % zones; n < entries_.size(); n += zones) {
        if (n != instance && entries_[n].alive && instance_accepts_[n]) {
            return n;
        }
    }
    return (instance + 1) % static_cast<std::uint32_t>(entries_.size());
}

auto simulation::freeze_server(std::uint32_t service, std::uint32_t index) -> void
{
    auto server = server_position(service, index);
    servers_[server].fake->freeze();
    events_.after(detection_time, [this, server] {
        auto& backend = servers_[server];
        backend.lost = true;
        for (const auto& it : backend.schedulers) {
            handle_refusals(server, it->scheduler->stop());
        }
        for (std::uint64_t n = 0; n < attempts_.size(); ++n) {
            if (attempts_[n].pending && attempts_[n].running && attempts_[n].server == server) {
                auto entry = records_[attempts_[n].request].entry;
                fail(n, failure_kind::unknown_outcome, link_delay(entry, attempts_[n].instance));
            }
        }
    });
    events_.after(detection_time + lengthened_by_drift(grant_ttl) + transfer_time, [this, index] {
        table_.set_server_state(index, server_state::lost);
        minimum_moves_ += table_.minimum_moves(1e9);
        table_.add_unavailable(index, detection_time + lengthened_by_drift(grant_ttl));
        table_.transfer_lost(input_.policy);
        events_.after(publish_time, [this] { publish_view(); });
    });
}

auto simulation::change_hot_keys() -> void
{
    keys_.change_hot_keys(random_);
    count_minimum_moves();
}

auto simulation::count_minimum_moves() -> void
{
    minimum_moves_ += table_.minimum_moves(reference_bound);
}

} // namespace cornelswitch::bench
