#pragma once

#include "adapters/h2o/http_client.h"
#include "bench/load/load_options.h"
#include "bench/load/load_report.h"
#include "bench/load/server_records.h"
#include "core/random.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelswitch {

/// Sends requests at a fixed rate (open loop) through several instances and checks every answer.
class load_driver {
public:
    load_driver(event_loop& loop, load_options options);

    /// Sends requests for `load_options::time`, waits for the answers and reads the records of the
    /// stand-in servers.
    auto run() -> load_report;

private:
    /// A request as it was sent, to check its answer.
    struct sent_request {
        std::string id;
        std::string service;
        std::string key;
        std::string method;
        std::string body;
        std::uint64_t download_size{0};
        time_point at;
        std::size_t caller{0};
        bool is_probe{false};
    };
    /// Connections to one caller address. Callers are used round robin; after a failed connection a
    /// caller is skipped for a while, as a load balancer does.
    struct caller_state {
        std::unique_ptr<http_client> client;
        time_point usable_from{};
    };

    auto send_due() -> void;
    auto make_request() -> sent_request;
    /// Sends a GET for a key that failed, and repeats it until the key is served. Without probes
    /// the measured time until then would depend on when the load next uses the key.
    auto probe(const std::string& key) -> void;
    auto next_caller() -> std::size_t;
    auto send(sent_request it) -> void;
    auto on_answer(const sent_request& it, const unary_result& answer) -> void;
    auto on_connection_failure(const sent_request& it, const call_failure& failure) -> void;
    auto on_refusal(const sent_request& it, const http_response& response) -> void;
    auto on_success(const sent_request& it, const http_response& response) -> void;
    /// Describes how the answer differs from the expected one; none if it is correct.
    auto check(const sent_request& it, const http_response& response) const
        -> std::optional<std::string>;
    auto record_success(const sent_request& it) -> void;
    auto record_failure(const sent_request& it) -> void;
    auto count_unserved(time_point end) -> void;
    auto add_example(std::string text) -> void;

    event_loop& loop_;
    load_options options_;
    random_engine random_;
    execution_audit audit_;
    server_records records_;
    std::vector<caller_state> callers_;
    load_report report_;
    /// Time of the first failed request, for keys that have not been served since.
    std::map<std::string, time_point> first_failure_at_;
    time_point started_;
    /// Prefix of the request ids of this run.
    std::string id_prefix_;
    time_point stop_probes_at_;
    std::size_t probed_keys_{0};
    /// Number of requests that were due so far.
    std::uint64_t due_{0};
    std::size_t in_flight_{0};
    std::size_t last_caller_{0};
};

} // namespace cornelswitch
