#pragma once

#include "core/clock.h"
#include "routing/request_rate.h"

#include <algorithm>
#include <optional>

namespace cornelswitch {

/// What a response says about the rate limit of the server that made it.
struct rate_limit_notice {
    /// Limit for the requests of all instances together; none if the response names no limit.
    std::optional<request_rate> limit;
    /// Time since the head of the response arrived.
    duration age{0};
};

/// A rate limit that is in force, and where it comes from.
struct rate_limit_status {
    /// A lower limit is raised to this rate, in requests per second, because only the responses to
    /// requests show that a limit has ended.
    static constexpr double min_rate = 0.25;

    /// Rate at which all instances together may send.
    auto sending_rate() const -> request_rate { return std::max(limit, request_rate{min_rate}); }

    request_rate limit;
    /// When the request was admitted whose response named the limit last.
    time_point requested_at{};
    /// When the head of that response arrived.
    time_point answered_at{};
};

/// Rate limit that a backend server names in its responses and that holds for as long as they name
/// it.
///
/// Responses may overtake each other. The request of a newer response was admitted after the older
/// response had arrived; such a response always replaces what the older one said. If that isn't
/// known, the lower limit is assumed.
class server_rate_limit {
public:
    /// Applies what a response says. Returns whether the limit has changed.
    auto on_notice(const std::optional<request_rate>& limit, time_point requested_at,
                   time_point answered_at) -> bool;
    /// The limit in force, if there is one.
    auto status() const -> std::optional<rate_limit_status>;

private:
    std::optional<request_rate> limit_;
    /// Times of the newest response that named `limit_`, or no limit.
    time_point requested_at_{};
    time_point answered_at_{};
};

} // namespace cornelswitch
