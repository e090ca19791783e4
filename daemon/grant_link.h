#pragma once

#include "adapters/h2o/http_client.h"
#include "daemon/worker_context.h"
#include "ownership/grant_tracker.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cornelswitch {

/// Renews the grants of one backend server and detects when the server stops answering and when it
/// answers again. Servers that do not check grants get health requests instead.
class grant_link {
public:
    /// A server is reported as lost when a message has been unanswered for this long and the server
    /// has sent nothing else in the meantime.
    static constexpr duration server_loss_timeout = std::chrono::milliseconds{200};

    /// Connections to the server in addition to those for requests.
    static constexpr std::size_t control_connections = 4;

    struct hooks {
        /// The server answered. `boot` is 0 and `running` empty when the answer does not contain
        /// them.
        std::function<void(boot_id boot, std::optional<std::uint32_t> running)> on_answer;
        std::function<void()> on_server_lost;
        /// The server knows another dispatcher, whose higher term is the argument.
        std::function<void(lease_term)> on_superseded;
    };

    grant_link(worker_context& context, const dispatcher_assignment& assignment, hooks handlers);
    grant_link(const grant_link&) = delete;
    auto operator=(const grant_link&) -> grant_link& = delete;
    ~grant_link();

    auto set_slots(const std::vector<slot_grant>& slots) -> void { tracker_.set_slots(slots); }
    auto set_availability_reports_handled(std::uint64_t n) -> void
    {
        availability_reports_handled_ = n;
    }
    auto set_valid_until(time_point at) -> void { valid_until_ = at; }
    /// Sends the messages that are due. Called about every 20 ms, and after changes of the slots.
    auto tick() -> void;
    /// Requests the number of running requests from the server at once; `on_answer` receives it.
    /// Does nothing while no request may be written.
    auto request_report() -> void;
    /// Cancels a request at the server. `on_confirmed` is called when the server confirms it, and
    /// never when the call fails.
    auto cancel_request(const std::string& id, std::function<void()> on_confirmed) -> void;

    /// Bytes of a response arrived, which shows that the server is alive.
    auto on_bytes_received(time_point now) -> void { received_at_ = now; }
    auto on_request_sent(time_point now, time_point deadline) -> void
    {
        tracker_.on_request_sent(now, deadline);
    }
    auto version() const -> std::uint64_t { return tracker_.version(); }
    /// Whether a request may be written now: the lease is valid, the server answers, and the agent
    /// has handled all reports about its availability.
    auto may_write(time_point now) const -> bool { return now < valid_until_ && !is_blocked(); }
    auto may_send(const slot_grant& slot, time_point now) const -> bool
    {
        return may_write(now) && tracker_.may_send(slot, now, valid_until_);
    }
    auto is_revoked(slot_index slot, time_point now) const -> bool
    {
        return tracker_.is_revoked(slot, now);
    }
    auto is_lost() const -> bool { return lost_; }

private:
    auto is_blocked() const -> bool
    {
        return lost_ || availability_reports_handled_ < availability_reports_sent_;
    }
    auto send_grants(time_point now) -> void;
    auto send_health(time_point now) -> void;
    auto on_grant_answer(std::uint64_t ticket, const unary_result& answer) -> void;
    auto on_health_answer(const unary_result& answer) -> void;
    auto detect_server_loss(time_point now) -> void;

    worker_context& context_;
    server_id server_;
    hooks hooks_;
    grant_tracker tracker_;
    http_client control_;
    bool checks_grants_;
    time_point valid_until_;
    time_point received_at_;
    time_point ticked_at_;
    /// When this task last resumed after a pause of more than `max_tick_gap`. The server's answer
    /// time is counted from then on, because no answer could be read during the pause.
    time_point resumed_at_;
    bool health_in_progress_{false};
    time_point next_health_;
    std::optional<time_point> health_unanswered_since_;
    bool lost_{false};
    /// Number of `server_lost` and `server_available` messages sent under this term.
    std::uint64_t availability_reports_sent_{0};
    std::uint64_t availability_reports_handled_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
