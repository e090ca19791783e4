#pragma once

#include "config/configuration.h"
#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelswitch::bench {

/// One service of a deployment, and the requests that it gets.
struct service_workload {
    service_config config;
    /// Whether the requests are idempotent reads; otherwise each one must run at most once.
    bool idempotent{true};
    /// Mean service time of a request at a warm server.
    duration service_time{0};

    /// Requests per second that all servers can complete.
    auto capacity() const -> double;
};

/// Input of a run: the services and delays of one of the two deployments of the design.
struct deployment {
    std::string name;
    std::vector<zone_id> zones;
    /// One-way delay between two zones of the region.
    duration zone_delay{0};
    /// One-way delay within a zone.
    duration local_delay{0};
    /// One-way delay between callers and entries.
    duration caller_delay{0};
    std::uint32_t instances{10};
    std::vector<service_workload> services;
    profile policy;
};

/// Profile with a high move price and no hedges.
auto churn_averse() -> profile;
/// Profile with a low move price and hedges for up to 5% of the requests.
auto tail_averse() -> profile;

auto hengyu() -> deployment;
auto mwangaza() -> deployment;

} // namespace cornelswitch::bench
