#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch {

/// IP address and TCP port. Example of the text form: `127.0.0.1:8080`.
struct endpoint {
    std::string address;
    std::uint16_t port{0};

    auto to_text() const -> std::string { return address + ":" + std::to_string(port); }
    friend auto operator==(const endpoint&, const endpoint&) -> bool = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Named policy that services refer to. Every field has a default; see docs/configuration.md.
struct profile {
    profile_id name;
    /// Time limit of a request whose caller specifies none.
    duration default_deadline{std::chrono::seconds{2}};
    /// Maximum time limit that a caller can request. Takeover of a server that does not check
    /// grants must wait for this time, because earlier requests may run until then.
    duration max_deadline{std::chrono::seconds{30}};
    /// Maximum number of queued requests for one backend server.
    std::uint32_t queue_limit{64};
    /// Concurrent requests to which a cold backend server is limited at first.
    std::uint32_t warmup_start{1};
    /// Successful responses after which the limit of a cold backend server grows by one.
    std::uint32_t warmup_successes{8};
    /// Retry budget, in percent of the requests.
    std::uint32_t retry_budget_percent{10};
    /// Budget for hedged requests, in percent of the requests; 0 disables hedging.
    std::uint32_t hedge_budget_percent{0};
    /// A backend server is a straggler when its latency exceeds that of its peers by this factor.
    double straggler_factor{3.0};
    /// A slot is moved only if the balance improves by more than this, in percent of the mean load.
    std::uint32_t move_price_percent{10};
    /// Load of a server above which slots are moved away, in percent of the mean load.
    std::uint32_t load_bound_percent{125};
    /// Maximum number of planned slot moves of one service that are in progress at the same time.
    std::uint32_t concurrent_moves{4};
    /// Time without log contact after which a cell stops granting its slots; null means that it
    /// never stops.
    std::optional<duration> yield_after;

    friend auto operator==(const profile&, const profile&) -> bool = default;
};

/// Configuration of one backend server.
struct server_config {
    server_id id;
    zone_id zone;
    endpoint address;
    /// Maximum number of requests that the server can run at the same time.
    std::uint32_t concurrency{1};
    /// Maximum number of connections that the server accepts.
    std::uint32_t connections{100};
    /// Whether the server itself verifies the slot epoch and the lease term of its requests.
    bool checks_grants{true};

    friend auto operator==(const server_config&, const server_config&) -> bool = default;
};

/// A service and its backend servers.
struct service_config {
    service_id name;
    profile_id profile;
    /// Whether each key is owned by one server; otherwise any server can handle a request.
    bool keyed{true};
    /// Number of hash slots, 1 to 65,536.
    std::uint32_t hash_slots{1024};
    /// Methods of requests that may be sent to servers more than once.
    std::set<std::string> idempotent_methods{"GET", "HEAD", "OPTIONS"};
    /// Maximum size of a request body, in bytes; larger requests are refused with status 413.
    std::uint64_t max_request_body{1 << 20};
    std::vector<server_config> servers;

    friend auto operator==(const service_config&, const service_config&) -> bool = default;
};

/// Parts of the deployment that operators have taken out of service.
struct out_of_service_parts {
    std::set<zone_id> zones;
    std::set<instance_id> instances;
    /// Backend servers that are being drained.
    std::set<server_id> servers;
    /// Zones that an operator declares as stopped, so that their slots can be taken over.
    std::set<zone_id> stopped_zones;

    friend auto operator==(const out_of_service_parts&, const out_of_service_parts&)
        -> bool = default;
};

/// The published configuration of a deployment.
struct configuration {
    std::vector<zone_id> zones;
    std::vector<profile> profiles;
    std::vector<service_config> services;
    out_of_service_parts out_of_service;

    /// The `find` functions return null if there is no match.
    auto find_service(const service_id& name) const -> const service_config*;
    auto find_profile(const profile_id& name) const -> const profile*;
    auto find_server(const server_id& id) const -> const server_config*;

    friend auto operator==(const configuration&, const configuration&) -> bool = default;
};

} // namespace cornelswitch
