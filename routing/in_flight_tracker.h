#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "routing/request_info.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Counts the requests that a backend server may be running. There are three kinds: active (a
/// response is awaited), abandoned (the caller has its result, but the server may still be working
/// on the request) and inherited (sent by the previous dispatcher). Abandoned and inherited
/// requests are counted until the server's reports rule them out or their time limit passes.
class in_flight_tracker {
public:
    /// Maximum network delay of a request or report between this instance and the server.
    static constexpr duration transit_bound = std::chrono::milliseconds{25};
    /// A server stops a request at its deadline, which clock skew and scheduling may delay by up to
    /// this time.
    static constexpr duration abandoned_margin = std::chrono::seconds{1};

    auto add(const request_info& request, time_point now) -> void;
    /// The request ended. Returns false if it is unknown.
    auto finish(request_id id) -> bool;
    /// The caller no longer waits for the request. Returns false if the request is not active.
    auto abandon(request_id id, time_point now) -> bool;
    /// The server runs `running` requests of the previous dispatcher, at most until `bound`.
    auto set_inherited(std::uint32_t running, time_point bound) -> void;
    /// The server restarted, so it no longer runs any earlier request.
    auto on_restart() -> void;
    /// The server reported that `running` requests are in progress.
    auto on_report(std::uint32_t running, time_point now) -> void;
    /// Drops requests whose time limit has passed and applies a pending report that is due.
    auto advance(time_point now) -> void;
    struct overdue_request {
        request_id id;
        /// Time since the request was sent.
        duration age{0};
    };
    /// Active requests whose deadline has passed.
    auto overdue(time_point now) const -> std::vector<overdue_request>;
    /// Earliest time at which a deadline or time limit passes or a report becomes due.
    auto next_event() const -> std::optional<time_point>;

    auto total() const -> std::uint32_t;
    auto active() const -> std::uint32_t { return static_cast<std::uint32_t>(active_.size()); }
    auto inherited() const -> std::uint32_t { return inherited_; }

private:
    struct active_request {
        request_info info;
        time_point sent;
    };
    struct abandoned_request {
        time_point sent;
        time_point bound;
    };
    struct pending_report {
        std::uint32_t running{0};
        time_point at;
    };

    auto limit_unconfirmed(std::uint32_t max_unconfirmed, time_point report) -> void;

    std::unordered_map<request_id, active_request> active_;
    std::unordered_map<request_id, abandoned_request> abandoned_;
    std::uint32_t inherited_{0};
    time_point inherited_bound_;
    std::optional<pending_report> report_;
};

} // namespace cornelswitch
