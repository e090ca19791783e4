#pragma once

#include "core/epoch.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Documents that an instance serves to operators; docs/OPERATIONS.md describes the JSON form.
/// Ages and remaining times are in milliseconds.
namespace cornelswitch {

/// Another member of the instance's cell.
struct member_status {
    instance_id instance;
    /// Time since the member's last response; none when it has not responded yet.
    std::optional<std::uint64_t> heard_age_ms;
};

struct cell_document {
    cell_id id;
    /// Epoch of the active membership.
    std::uint64_t epoch{0};
    std::vector<member_status> members;
    bool has_majority{false};
};

/// A backend server for which the instance dispatches.
struct server_status {
    server_id id;
    service_id service;
    zone_id zone;
    lease_term term;
    /// `serving`, `draining`, `lost` or `waiting`.
    std::string state;
    /// Remaining time of the dispatcher lease.
    std::uint64_t lease_ms{0};
    std::uint32_t slots{0};
    std::uint32_t in_flight{0};
    std::uint32_t queued{0};
    /// Current concurrency limit, which is lower during warm-up.
    std::uint32_t limit{0};
    bool checks_grants{true};
    bool straggler{false};
};

struct instance_status {
    instance_id id;
    zone_id zone;
    /// `live`, `leaving`, `out` or `silent`.
    std::string state;
};

struct service_status {
    service_id name;
    std::uint32_t slots{0};
    /// Slots that are not routed to any server.
    std::uint32_t unowned_slots{0};
    std::uint32_t moving_slots{0};
    /// Keys with a slot of their own.
    std::uint32_t split_keys{0};
};

struct request_counts {
    std::uint64_t in_progress{0};
    std::uint64_t answered{0};
    std::uint64_t refused_not_run{0};
    std::uint64_t refused_unknown{0};
    std::uint64_t retries{0};
    std::uint64_t hedges{0};
};

struct log_status {
    bool reachable{false};
    /// Time since the last response of the log service; none when there was none.
    std::optional<std::uint64_t> age_ms;
};

/// Response to `GET /status`.
struct status_document {
    instance_id instance;
    boot_id boot;
    zone_id zone;
    /// `starting`, `serving`, `out` or `draining`.
    std::string state;
    std::uint64_t uptime_ms{0};
    config_version version;
    log_offset ownership_end;
    log_status log;
    std::optional<cell_document> cell;
    std::vector<server_status> servers;
    std::vector<instance_status> instances;
    std::vector<service_status> services;
    request_counts requests;
    /// Current faults as readable text, for example `log unreachable for 12 s`.
    std::vector<std::string> problems;
};

/// Response to `GET /owner?service=S&key=K`.
struct owner_document {
    service_id service;
    std::string key;
    slot_index slot;
    /// The key has a slot of its own.
    bool split{false};
    std::optional<server_id> server;
    slot_epoch epoch;
    std::optional<instance_id> dispatcher;
    /// `owned`, `moving` or `unassigned`.
    std::string state;
};

/// Requests with a duration of at most `upper_ms` and above that of the previous bucket.
struct histogram_bucket {
    double upper_ms{0};
    std::uint64_t count{0};
};

struct latency_histogram {
    /// `latency` (until the last byte of the response was forwarded) or `queue_time` (in the
    /// dispatcher's queue).
    std::string quantity;
    tenant_id tenant;
    /// `interactive` or `bulk`.
    std::string request_class;
    std::uint64_t count{0};
    double sum_ms{0};
    double p50_ms{0};
    double p90_ms{0};
    double p99_ms{0};
    double p999_ms{0};
    std::vector<histogram_bucket> buckets;
};

/// Response to `GET /histograms?tenant=T&class=C`.
struct histograms_document {
    std::vector<latency_histogram> histograms;
};

} // namespace cornelswitch
