#pragma once

#include "config/config_problem.h"
#include "config/configuration.h"
#include "core/ids.h"
#include "core/logger.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Addresses of one instance, one for each kind of traffic.
struct instance_addresses {
    /// Requests of callers (HTTP/1.1 and HTTP/2).
    endpoint caller;
    /// Requests that other instances forward.
    endpoint data;
    /// Messages between instances about leases, slot registers and membership.
    endpoint control;
    /// Status, metrics and probes for operators (`operator` in the file).
    endpoint operations;

    friend auto operator==(const instance_addresses&, const instance_addresses&) -> bool = default;
};

/// Limits on the memory and the connections of one instance.
struct instance_limits {
    /// Maximum number of connections from callers.
    std::uint32_t caller_connections{4096};
    /// Maximum number of requests in progress, over all callers together.
    std::uint32_t requests{8192};
    /// Memory for buffered request bodies, in bytes.
    std::uint64_t request_body_memory{std::uint64_t{64} << 20U};
    /// Maximum number of idempotency keys that are remembered.
    std::uint32_t idempotency_keys{65'536};
    /// Memory for responses recorded under idempotency keys, in bytes.
    std::uint64_t idempotency_memory{std::uint64_t{16} << 20U};
    /// Maximum time for which a graceful shutdown waits for requests in progress.
    duration shutdown_timeout{std::chrono::seconds{30}};

    friend auto operator==(const instance_limits&, const instance_limits&) -> bool = default;
};

/// Settings of one `cornelswitchd`, read once when it starts.
struct settings {
    instance_id instance;
    zone_id zone;
    instance_addresses listen;
    /// Addresses at which callers and other instances reach this one; each defaults to the listen
    /// address.
    instance_addresses advertise;
    /// Address of the platform that provides the log and the instance list.
    endpoint platform;
    /// Lowest level that is logged.
    log_level lowest_level{log_level::info};
    /// `stdout`, or the path of a file to which log lines are appended.
    std::string log_output{"stdout"};
    /// Number of threads that handle the requests of callers.
    std::uint32_t entry_threads{1};
    instance_limits limits;

    friend auto operator==(const settings&, const settings&) -> bool = default;
};

/// Reads settings from YAML. Returns all problems; never throws. `file` is the name of the text in
/// problems.
auto read_settings(std::string_view text, const std::string& file) -> checked<settings>;

/// Like `read_settings`, with the text of a file. An unreadable file is a problem too.
auto read_settings_file(const std::string& path) -> checked<settings>;

} // namespace cornelswitch
