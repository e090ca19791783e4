#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornelswitch {

/// Checks the execution and holding histories of all stand-in backend servers on one machine
/// against each other and against the outcomes that callers received. Times are in nanoseconds
/// since the machine's boot.
class execution_audit {
public:
    /// A request that a server executed, or a slot that it held, from `from_ns` to `until_ns`.
    struct interval {
        std::int64_t from_ns{0};
        std::int64_t until_ns{0};
        std::string server;
    };
    /// One execution of a request, as the server recorded it.
    struct audited_execution {
        std::string request;
        std::string service;
        std::string key;
        std::string method;
        interval when;
    };
    /// Result of the audit.
    struct findings {
        std::uint64_t executions{0};
        /// Requests with a non-idempotent method that were executed more than once.
        std::uint64_t double_executions{0};
        /// Requests that were refused as not run although a server executed them.
        std::uint64_t false_not_run{0};
        /// Keys of keyed services that were used.
        std::uint64_t keys{0};
        /// Keys of keyed services for which two servers executed requests at the same time.
        std::uint64_t keys_with_two_owners{0};
        /// Slots that two servers held at the same time.
        std::uint64_t slots_with_two_owners{0};
        /// Keys whose requests were executed by more than one server.
        std::uint64_t keys_with_several_servers{0};
        /// Largest number of servers that executed requests of one key.
        std::uint64_t max_successive_owners{0};
        /// Descriptions of violations, at most 10 of each kind.
        std::vector<std::string> examples;
    };

    /// Declares a service in which every key must have one owner at a time. Called before the
    /// executions of the service are added.
    auto add_keyed_service(const std::string& service) -> void { keyed_.insert(service); }
    auto add(const audited_execution& it) -> void;
    /// Replaces all holdings of one server; each has the name of its slot.
    auto set_holdings(const std::string& server,
                      std::vector<std::pair<std::string, interval>> by_slot) -> void
    {
        holdings_[server] = std::move(by_slot);
    }
    /// Adds a request whose caller received outcome `not-run`.
    auto add_not_run_refusal(const std::string& request) -> void { not_run_.insert(request); }

    auto evaluate() const -> findings;

private:
    struct request_executions {
        std::uint64_t count{0};
        bool idempotent{true};
    };

    std::set<std::string> keyed_;
    std::set<std::string> not_run_;
    std::map<std::string, request_executions> by_request_;
    /// By service and key.
    std::map<std::pair<std::string, std::string>, std::vector<interval>> by_key_;
    /// By server; the slots are named by service and number.
    std::map<std::string, std::vector<std::pair<std::string, interval>>> holdings_;
    std::uint64_t executions_{0};
};

} // namespace cornelswitch
