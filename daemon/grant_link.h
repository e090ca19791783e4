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

/// Renews the grants of one backend server, and finds out when the server does not answer and when
/// it is back. Servers that do not check grants get health requests instead.
class grant_link {
public:
    /// A server is lost when it owes an answer for this long and sent nothing else meanwhile.
    static constexpr duration silence_limit = std::chrono::milliseconds{200};

    /// Connections to the server besides those for requests.
    static constexpr std::size_t control_connections = 4;

    struct hooks {
        /// The server answered; `boot` is 0 when it did not say.
        std::function<void(boot_id boot, std::optional<std::uint32_t> running)> answered;
        std::function<void()> lost;
        /// Another dispatcher has a higher term.
        std::function<void(lease_term)> superseded;
    };

    grant_link(worker_context& context, const server_duty& duty, hooks events);
    grant_link(const grant_link&) = delete;
    auto operator=(const grant_link&) -> grant_link& = delete;
    ~grant_link();

    auto set_slots(const std::vector<slot_grant>& slots) -> void { tracker_.set_slots(slots); }
    auto set_availability_reports_handled(std::uint64_t n) -> void
    {
        availability_reports_handled_ = n;
    }
    auto set_valid_until(time_point at) -> void { valid_until_ = at; }
    /// Sends what is due. Called about every 20 ms, and after changes of the slots.
    auto tick() -> void;
    /// Asks the server at once how many requests it runs; `answered` gets it.
    auto ask_for_report() -> void;
    /// Tells the server that a request is canceled. `released` runs when the server confirmed.
    auto cancel_request(const std::string& id, std::function<void()> released) -> void;

    /// Bytes of a response arrived, so the server is not silent.
    auto note_received(time_point now) -> void { received_at_ = now; }
    auto on_request_sent(time_point now, time_point deadline) -> void
    {
        tracker_.on_request_sent(now, deadline);
    }
    auto version() const -> std::uint64_t { return tracker_.version(); }
    /// Whether a request may be written now: the lease is valid, the server is there, and the agent
    /// knows everything that was reported about it.
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
    auto is_blocked() const -> bool { return lost_ || availability_reports_handled_ < reports_; }
    auto send_grants(time_point now) -> void;
    auto send_health(time_point now) -> void;
    auto on_grant_answer(std::uint64_t ticket, const unary_result& answer) -> void;
    auto on_health_answer(const unary_result& answer) -> void;
    auto check_silence(time_point now) -> void;

    worker_context& context_;
    server_id server_;
    hooks hooks_;
    grant_tracker tracker_;
    http_client control_;
    bool checks_grants_;
    time_point valid_until_;
    time_point received_at_;
    time_point ticked_at_;
    /// When this task went on after it had not run for a while; silence is counted from here.
    time_point resumed_at_;
    bool health_in_progress_{false};
    time_point next_health_;
    std::optional<time_point> health_unanswered_since_;
    bool lost_{false};
    /// Messages `server_lost` and `server_available` sent under this term.
    std::uint64_t reports_{0};
    std::uint64_t availability_reports_handled_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
