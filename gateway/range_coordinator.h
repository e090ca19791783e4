#pragma once

#include "gateway/backend_directory.h"
#include "gateway/unary_client.h"
#include "ownership/initial_assignment_delay.h"
#include "ownership/range_authority.h"
#include "routing/key_rate_estimator.h"
#include "routing/range_planner.h"

#include <deque>
#include <map>
#include <memory>

namespace cornelswitch {

/// Sends lease calls to one server. Grants are sent one after the other over one connection,
/// however many ranges are renewed. Each release uses a connection of its own, as it waits for
/// running requests.
class lease_channel {
public:
    lease_channel(event_loop& loop, const endpoint& address, std::function<void()> on_lost);
    lease_channel(const lease_channel&) = delete;
    auto operator=(const lease_channel&) -> lease_channel& = delete;
    /// Drops all outstanding calls without calling their handlers.
    ~lease_channel();

    /// `deadline` bounds the time in the queue and the call.
    auto grant(http_request request, time_point deadline, unary_client::handler done) -> void;
    auto release(http_request request, duration timeout, unary_client::handler done) -> void;
    auto address() const -> const endpoint& { return grants_.server(); }

private:
    struct queued_grant {
        http_request request;
        time_point deadline;
        unary_client::handler done;
    };

    auto start_next_grant() -> void;

    event_loop& loop_;
    unary_client grants_;
    unary_client releases_;
    std::deque<queued_grant> queue_;
    bool is_busy_{false};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

/// Runs the range authority of one keyed service: sends its lease calls to the servers, measures
/// the load of the keys and plans moves.
class range_coordinator {
public:
    /// `on_refused` is called when a server refuses a grant because it knows a later coordinator.
    range_coordinator(event_loop& loop, const clock& time, event_log& log,
                      const backend_directory& directory, service_id service,
                      range_lease_settings settings, std::function<void()> on_refused);
    range_coordinator(const range_coordinator&) = delete;
    auto operator=(const range_coordinator&) -> range_coordinator& = delete;
    ~range_coordinator();

    auto authority() -> range_authority& { return authority_; }
    auto authority() const -> const range_authority& { return authority_; }
    /// Reads the servers from the changed directory.
    auto update_servers(time_point now) -> void;
    auto on_request(std::uint16_t key, time_point now) -> void { key_rates_.add(key, now); }
    /// Renews leases and plans moves.
    auto tick(time_point now, const admission_scheduler& scheduler) -> void;
    /// Whether calls to most of the servers fail.
    auto is_cut_off(time_point now) const -> bool;

private:
    struct server_health {
        std::uint32_t failures{0};
        time_point failed_at{};
    };

    auto channel(const server_id& server) -> lease_channel*;
    auto plan(time_point now, const admission_scheduler& scheduler) -> void;
    auto record_outcome(const server_id& server, bool is_answered) -> void;
    auto is_failing(const server_id& server, time_point now) const -> bool;
    auto make_hooks() -> range_authority::hooks;

    event_loop& loop_;
    const clock& time_;
    event_log& log_;
    const backend_directory& directory_;
    service_id service_;
    range_lease_settings settings_;
    std::function<void()> on_refused_;
    std::map<server_id, std::unique_ptr<lease_channel>> channels_;
    std::map<server_id, server_health> health_;
    range_authority authority_;
    range_planner planner_;
    key_rate_estimator key_rates_;
    time_point next_plan_{};
    initial_assignment_delay initial_assignment_delay_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
