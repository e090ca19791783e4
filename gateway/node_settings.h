#pragma once

#include "config/configuration.h"
#include "core/clock.h"
#include "core/ids.h"
#include "routing/quota/request_quota.h"

#include <cstdint>
#include <string>

namespace cornelswitch {

/// Limits on server responses whose length or end is not known in advance.
struct response_limit_settings {
    /// Largest body of a response without a content length.
    std::uint64_t max_bytes_without_length{64ULL * 1024 * 1024};
    /// Time after a request's deadline during which the rest of its response is still passed on.
    duration late_timeout{std::chrono::seconds{30}};
};

/// Limits on request bodies that are being received.
struct body_limit_settings {
    /// A body of which no byte arrives for this long is given up. Callers send a head within three
    /// seconds and leave a connection idle for up to twelve.
    duration timeout{std::chrono::seconds{30}};
    /// When memory or descriptors are short, a body or a response without substantial progress for
    /// this long may be dropped.
    duration stall_timeout{std::chrono::seconds{1}};
};

/// Settings of one gateway instance, read from the settings file of its machine.
struct node_settings {
    instance_id node;
    zone_id zone;
    /// Listen address for callers.
    endpoint caller_address;
    /// Listen address for readiness checks; it also serves metrics.
    endpoint readiness_address;
    /// Listen address for other instances.
    endpoint peer_address;
    /// Address of the metadata store.
    endpoint store_address;
    /// CPU time available to this instance, in cores.
    double cpu_share{1.0};
    /// Memory limit of the process in megabytes.
    std::uint32_t memory_mb{256};
    /// Most descriptors that the process may open; zero is no limit.
    std::uint32_t max_descriptors{0};
    body_limit_settings body_limits;
    /// Partitions of the store topic that assigns services to coordinators.
    std::uint32_t store_partitions{8};
    /// Shortest time to live of a group membership that the store accepts.
    duration min_membership_ttl{std::chrono::seconds{1}};
    /// Whether the whole deployment starts for the first time.
    bool is_first_start{false};
    /// Interval between two heartbeats of a backend server.
    duration heartbeat_interval{std::chrono::seconds{1}};
    /// Longest key lease that a server accepts.
    duration max_key_lease{std::chrono::seconds{10}};
    /// Time from SIGTERM to SIGKILL.
    duration shutdown_grace{std::chrono::seconds{6}};
    /// Retries that an instance may send within `retry_window`, as a share of its requests.
    double retry_ratio{0.1};
    /// Retries that all instances together may send within `retry_window` in addition.
    double retry_budget_burst{10};
    duration retry_window{std::chrono::seconds{10}};
    /// A cold server may get `cold_rate * cold_tolerance + cold_burst` requests in one second.
    double cold_tolerance{1.0};
    double cold_burst{0};
    /// How exactly the quotas of workspaces are kept.
    quota_bounds quota;
    response_limit_settings response_limits;
};

} // namespace cornelswitch
