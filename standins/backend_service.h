#pragma once

#include "adapters/exchange.h"
#include "core/clock.h"
#include "core/random.h"
#include "standins/execution_history.h"
#include "standins/server_behaviour.h"
#include "standins/server_grants.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace cornelswitch {

/// HTTP interface of the stand-in backend server. The server keeps a counter for each key, executes
/// requests only under a valid grant, and records each execution.
class backend_service {
public:
    using function = std::function<void()>;

    struct environment {
        std::function<time_point()> now;
        /// Calls the function once after the given time on the same thread.
        std::function<void(duration, function)> schedule;
        /// Blocks the thread for the given time, to simulate a suspended process.
        std::function<void(duration)> freeze;
    };

    struct options {
        server_id id;
        /// Whether requests without a valid grant are refused.
        bool checks_grants{true};
        std::uint64_t seed{1};
        server_behaviour behaviour;
        /// Maximum number of counters; when it is reached, all requests are refused as not run.
        std::size_t max_keys{1'000'000};
    };

    backend_service(const options& options, environment environment);

    auto handle(std::shared_ptr<exchange> call) -> void;
    /// Adds the slots held now to the history. Called periodically, every few milliseconds.
    auto sample_grants() -> void { grants_.sample(environment_.now()); }
    /// Requests in progress.
    auto running() const -> std::uint32_t { return static_cast<std::uint32_t>(running_.size()); }

private:
    using call_ptr = std::shared_ptr<exchange>;

    /// A request in progress.
    struct job {
        call_ptr call;
        execution record;
        /// Value of the header `cornelswitch-request-id`; empty when absent.
        std::string id;
        /// The request must not take effect at or after this time.
        time_point deadline;
    };

    auto handle_control(const call_ptr& call) -> void;
    auto handle_test_control(const call_ptr& call) -> void;
    auto cancel(const call_ptr& call) -> void;
    auto change_behaviour(const call_ptr& call) -> void;
    auto freeze(const call_ptr& call) -> void;
    auto handle_request(const call_ptr& call) -> void;
    /// Responds and returns true when the request must not run for a reason other than its grant.
    auto refuse_early(const call_ptr& call) -> bool;
    /// Refuses or aborts the request and returns true when too many requests are in progress.
    auto reject_on_overload(const call_ptr& call) -> bool;
    auto start_job(const call_ptr& call, execution record) -> void;
    auto finish_job(std::uint64_t number) -> void;
    auto send_result(const job& it) -> void;
    auto send_download(const call_ptr& call, const std::string& name) -> void;
    auto send_chunks(const call_ptr& call, std::string data, bool cut) -> void;
    auto refuse(const call_ptr& call, int status, const std::string& reason) -> void;
    /// Aborts the requests in progress and drops the state that a restarted process loses; the
    /// histories are kept. Connections are aborted for `downtime`.
    auto restart(duration downtime) -> void;
    auto status_headers() const -> header_list;
    auto reported_load() const -> server_grants::load;
    /// Requests that can run at the same time without a simulated crash; grows while the server
    /// warms up.
    auto cold_limit() const -> std::uint32_t;
    /// True with a probability of `percent` / 100.
    auto random_chance(std::uint32_t percent) -> bool;

    options options_;
    environment environment_;
    server_behaviour behaviour_;
    random_engine random_;
    boot_id boot_;
    server_grants grants_;
    execution_history executions_;
    std::map<std::uint64_t, job> running_;
    std::uint64_t last_job_{0};
    /// Counter for each service and key.
    std::unordered_map<std::string, std::uint64_t> counters_;
    /// Requests executed since the server was last cold: since its last start, simulated restart
    /// or request to `/_standin/cold`. They raise `cold_limit`.
    std::uint32_t successes_{0};
    /// Connections are aborted until this time, as if the process did not run.
    time_point down_until_{};
    /// Simulated crashes because of overload.
    std::uint64_t crashes_{0};
    std::uint64_t refusals_{0};
};

} // namespace cornelswitch
