#pragma once

#include "core/ids.h"
#include "routing/admission_scheduler.h"

#include <functional>

namespace cornelswitch {

/// Requests admission from a service's scheduler, which runs in this instance or in the
/// coordinator's.
class admission_client {
public:
    using decision_handler = std::function<void(const admission_decision&)>;

    admission_client() = default;
    admission_client(const admission_client&) = delete;
    auto operator=(const admission_client&) -> admission_client& = delete;
    virtual ~admission_client() = default;

    /// Sets `request.source` and `request.id`. The handler may run before this function returns.
    virtual auto request(const service_id& service, admission_request request,
                         decision_handler handler) -> admission_id = 0;
    /// Cancels a request that has no decision yet.
    virtual auto withdraw(const service_id& service, admission_id id) -> void = 0;
    /// Reports the outcome of an admitted request and releases its admission.
    virtual auto complete(const service_id& service, admission_id id, const attempt_report& report)
        -> void = 0;
    /// A server answered that it does not own `key`.
    virtual auto on_key_not_held(const service_id& service, const server_id& server,
                                 std::uint16_t key) -> void = 0;
    /// Another server answered at the address of `server`, so `server` has ended.
    virtual auto on_server_ended(const service_id& service, const server_id& server,
                                 std::int64_t incarnation) -> void = 0;
    /// A server announced its shutdown in a response.
    virtual auto on_server_leaving(const service_id& service, const server_id& server,
                                   std::int64_t incarnation) -> void = 0;
    /// Counts a new request to the service. Retries are not counted.
    virtual auto count_request(const service_id& service) -> void = 0;
    /// Takes one retry from the service's retry budget. Returns false when none is left.
    virtual auto try_take_retry(const service_id& service) -> bool = 0;
};

} // namespace cornelswitch
