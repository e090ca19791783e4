#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// What may be repeated when the outcome of a request is unknown.
enum class request_kind : std::uint8_t {
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// Idempotent with a large response.
    download,
};

struct weighted_service {
    service_id service;
    std::uint32_t weight{1};
};

struct gateway_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind{request_kind::non_idempotent};
    /// Longest time a request is kept waiting; zero means no limit of its own.
    duration timeout{0};
    duration latency_objective{0};
    /// 0 is the most urgent.
    std::uint32_t priority{0};
    /// Servers to which one request may be sent.
    std::uint32_t max_attempts{1};
    std::vector<weighted_service> targets;
};

struct gateway_service {
    service_id name;
    /// Path of health checks.
    std::string health_path;
    /// Connections a server accepts from all callers combined.
    std::uint32_t max_connections{100};
    /// Time for which a started server is cold.
    duration cold{0};
    /// Requests per second that a cold server tolerates.
    double cold_rate{1.0};
    /// Whether servers own keys.
    bool is_keyed{false};
    /// Time for which keys are slow that arrive without their handover token.
    duration warmup{0};
};

/// Bounds on what callers send.
struct caller_limits {
    std::size_t max_header_bytes{16 * 1024};
    std::uint64_t max_body_bytes{64 * 1024 * 1024};
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};
};

/// The operators' configuration as it is in force.
struct gateway_configuration {
    std::uint64_t version{0};
    std::vector<gateway_route> routes;
    std::map<service_id, gateway_service> services;
    caller_limits limits;
};

/// Finds routes by host and longest path prefix.
class route_table {
public:
    route_table() = default;
    explicit route_table(const std::vector<gateway_route>& routes);

    /// Null when no route matches. `host` may carry a port and is compared without case.
    auto find(std::string_view host, std::string_view path) const -> const gateway_route*;

private:
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<gateway_route>> by_host_;
};

} // namespace cornelswitch
