#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "gateway/workspace.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Whether a request may be retried when the outcome of an attempt is unknown.
enum class request_kind : std::uint8_t {
    idempotent,
    /// Must run at most once.
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
    /// Upper bound on the deadline of a request; zero sets none.
    duration timeout{0};
    /// Target latency; zero derives it from the deadline.
    duration latency_objective{0};
    /// 0 is the most urgent.
    std::uint32_t priority{0};
    /// Number of times that one request may be sent to servers.
    std::uint32_t max_attempts{1};
    std::vector<weighted_service> targets;
    /// Requests need no API key.
    bool is_public{false};
};

struct gateway_service {
    service_id name;
    /// Path of health checks.
    std::string health_path;
    /// Connections a server accepts from all callers combined.
    std::uint32_t max_connections{100};
    /// Time after its start during which a server is cold, which means that it tolerates little
    /// load.
    duration cold_duration{0};
    /// Requests per second that a cold server can handle.
    double cold_rate{1.0};
    /// Whether servers own keys.
    bool is_keyed{false};
    /// Time during which requests for a key are slow after the key moved without a handover token.
    duration warmup_duration{0};
};

/// Limits on connections and requests of callers.
struct caller_limits {
    std::size_t max_header_bytes{16 * 1024};
    std::uint64_t max_body_bytes{64 * 1024 * 1024};
    duration header_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};
};

/// Configuration that the operators published.
struct gateway_configuration {
    std::uint64_t version{0};
    std::vector<gateway_route> routes;
    std::map<service_id, gateway_service> services;
    caller_limits limits;
    /// Set when requests need an API key. The definitions are moved to a `workspace_directory`
    /// before the configuration is used.
    std::optional<std::vector<workspace_definition>> workspaces;
};

/// Finds routes by host and longest path prefix.
class route_table {
public:
    route_table() = default;
    explicit route_table(const std::vector<gateway_route>& routes);

    /// Returns null when no route matches. `host` may include a port and is compared
    /// case-insensitively.
    auto find(std::string_view host, std::string_view path) const -> const gateway_route*;

private:
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<gateway_route>> by_host_;
};

} // namespace cornelswitch
