#pragma once

#include "adapters/exchange.h"
#include "core/clock.h"
#include "standins/platform_instances.h"
#include "standins/platform_log.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace cornelswitch {

/// HTTP interface of the stand-in platform: log, instance list and fault injection. Requests carry
/// the port on which they arrived, so that faults can be limited to the instances of one zone.
class platform_service {
public:
    using function = std::function<void()>;

    struct environment {
        std::function<time_point()> now;
        /// Calls the function once after the given time on the same thread.
        std::function<void(duration, function)> schedule;
    };

    struct options {
        /// Records that each stream retains.
        std::size_t retained_records{10'000};
        /// Time after which an instance that does not publish itself leaves the list.
        duration instance_lifetime{std::chrono::seconds{3}};
    };

    platform_service(const options& options, environment environment);

    auto handle(std::uint16_t port, std::shared_ptr<exchange> call) -> void;

private:
    using call_ptr = std::shared_ptr<exchange>;

    /// Faults injected on one port.
    struct port_faults {
        /// Connections are aborted without a response.
        bool down{false};
        /// Requests stay open without a response.
        bool hang{false};
        /// Delay before a request is handled.
        duration delay{0};
    };

    /// A long poll that waits for the next record of a stream.
    struct waiting_read {
        std::uint64_t id{0};
        std::uint16_t port{0};
        std::string stream;
        std::uint64_t from{0};
        std::size_t limit{0};
        call_ptr call;
    };

    /// Handles a request that the faults of its port have let through.
    auto dispatch(std::uint16_t port, const call_ptr& call) -> void;
    auto handle_stream(std::uint16_t port, const std::string& stream, const call_ptr& call) -> void;
    auto append(const std::string& stream, const call_ptr& call) -> void;
    auto read(std::uint16_t port, const std::string& stream, const call_ptr& call) -> void;
    auto wait(waiting_read read, duration longest) -> void;
    auto end_wait(std::uint64_t id) -> void;
    auto wake_readers(const std::string& stream) -> void;
    auto send_page(const waiting_read& read) -> void;
    auto handle_instances(const std::string& id, const call_ptr& call) -> void;
    auto set_faults(const call_ptr& call) -> void;
    auto apply_faults(const nlohmann::json& faults) -> void;
    auto apply_port_faults(const nlohmann::json& faults) -> void;
    auto abort_readers_of_faulty_ports() -> void;
    auto faults_of(std::uint16_t port) const -> port_faults;

    platform_log log_;
    platform_instances instances_;
    environment environment_;
    /// Faults of all ports.
    port_faults common_faults_;
    /// Additional faults of single ports.
    std::map<std::uint16_t, port_faults> faults_by_port_;
    /// Number of further appends that take effect but get no response, by stream.
    std::map<std::string, std::uint64_t> lost_append_responses_;
    std::list<waiting_read> waiting_;
    std::uint64_t last_wait_{0};
    /// Requests held open without a response, oldest first.
    std::list<call_ptr> hung_;
};

} // namespace cornelswitch
