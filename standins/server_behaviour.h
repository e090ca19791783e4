#pragma once

#include "core/clock.h"
#include "core/error.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>

namespace cornelswitch {

/// What a stand-in backend server does when more requests arrive than its concurrency allows.
enum class overload_reaction : std::uint8_t {
    /// Refuses with 503 and outcome not-run.
    shed,
    /// Accepts; the time of a new request grows in proportion to the number of requests in
    /// progress.
    slow,
    /// Crashes, as a cold server over its limit does: aborts all requests and restarts.
    fall_over,
};

/// Behaviour of a stand-in backend server that can be changed while it runs, see
/// `POST /_standin/behaviour`.
struct server_behaviour {
    duration service_time{std::chrono::milliseconds{1}};
    /// Requests that can run at the same time when the server has warmed up.
    std::uint32_t concurrency{2};
    overload_reaction overload{overload_reaction::shed};
    /// Requests that a cold server can run at the same time.
    std::uint32_t cold_limit{1};
    /// Successful requests after which the cold limit grows by one.
    std::uint32_t warm_after{4};
    /// Downtime after a simulated crash.
    duration restart_time{std::chrono::seconds{1}};
    /// Requests refused as not run, in percent.
    std::uint32_t shed_percent{0};
    /// Requests answered with 500 and not executed, in percent.
    std::uint32_t error_percent{0};
    /// Refuses new requests as not run.
    bool draining{false};
    /// Number of running requests to report; none reports the actual number.
    std::optional<std::uint32_t> reported_running;
    /// Status of the health endpoint.
    int health_status{200};
    /// Pause between two chunks of a download; zero sends downloads at once.
    duration chunk_pause{0};
    /// Number of further downloads that are aborted within their first chunk.
    std::uint32_t cut_downloads{0};

    /// Applies the fields of a JSON object: `service_ms`, `concurrency`, `overload` (`shed`,
    /// `slow`, `fall-over`), `cold_limit`, `warm_after`, `restart_ms`, `shed_percent`,
    /// `error_percent`, `draining`, `reported_running` (null: the actual number), `health_status`,
    /// `chunk_pause_ms`, `cut_downloads`. Errors: `invalid_argument` for unknown fields and wrong
    /// types; nothing is changed then.
    auto apply(const nlohmann::json& changes) -> result<void>;
};

} // namespace cornelswitch
