#pragma once

#include "adapters/h2o/http_client.h"
#include "standins/execution_audit.h"

#include <memory>
#include <string>
#include <vector>

namespace cornelswitch {

/// Reads the records of the stand-in backend servers into an audit. Records are read repeatedly
/// during a run, so that few are lost if a server is killed.
class server_records {
public:
    server_records(event_loop& loop, execution_audit& audit,
                   const std::vector<std::pair<std::string, endpoint>>& servers);

    /// Starts to read from all servers that have no read in progress.
    auto poll() -> void;
    /// Whether all reads have ended.
    auto idle() const -> bool;
    /// Names of the servers whose last read failed.
    auto failed_servers() const -> std::vector<std::string>;

private:
    struct source {
        std::string name;
        std::unique_ptr<http_client> client;
        std::uint64_t next_execution{0};
        int reads_in_progress{0};
        bool failed{false};
    };

    auto read_executions(source& from) -> void;
    auto read_holdings(source& from) -> void;
    auto add_executions(source& from, const std::string& body) -> void;
    auto add_holdings(source& from, const std::string& body) -> void;

    execution_audit& audit_;
    std::vector<std::unique_ptr<source>> sources_;
};

} // namespace cornelswitch
