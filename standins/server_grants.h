#pragma once

#include "adapters/http_message.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/ids.h"
#include "ownership/grant_table.h"
#include "standins/holding_history.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace cornelswitch {

/// Grants of a stand-in backend server. Applies the fencing rules of `grant_table` to the HTTP
/// messages of the grant endpoints and to the headers of requests, and keeps the history of held
/// slots.
class server_grants {
public:
    explicit server_grants(boot_id boot) : table_{boot} {}

    struct response {
        int status{200};
        std::string body;
    };
    struct load {
        std::uint32_t running{0};
        bool draining{false};
    };
    /// Handles `POST /_cornelswitch/grants`. The status is 400 for a malformed body and 409 for an
    /// older term.
    auto set(const std::string& body, load load, time_point now) -> response;
    /// Handles `GET /_cornelswitch/grants` and returns the body.
    auto list(load load, time_point now) const -> std::string;
    /// Drops all grants, as a restart of the server does; the history is kept.
    auto restart(boot_id boot, time_point now) -> void;

    /// Checks whether a request with these headers may run now. Errors: `conflict` with the reason;
    /// `invalid_message` for a malformed epoch.
    auto admit(const service_id& service, const header_list& headers, time_point now)
        -> result<void>;

    /// Adds the slots held now to the history.
    auto sample(time_point now) -> void { holdings_.sample(table_.held(now), now); }
    auto holdings() const -> const holding_history& { return holdings_; }

private:
    grant_table table_;
    holding_history holdings_;
};

} // namespace cornelswitch
