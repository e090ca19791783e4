#pragma once

#include "adapters/exchange.h"
#include "adapters/nghttp2/peer_client.h"
#include "core/clock.h"
#include "core/ids.h"
#include "daemon/peer_protocol.h"
#include "routing/download_resume.h"
#include "routing/entry_router.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornelswitch {

/// One attempt of a request, sent to a dispatcher.
struct entry_attempt {
    send_attempt sent;
    /// Null when the address of the dispatcher is unknown.
    std::shared_ptr<peer_client> peer;
    peer_client::call_id call{0};
    /// The dispatcher refused the attempt; the rest of the response is ignored.
    bool refused{false};
};

/// A request of a caller, from its arrival to the end of its response.
struct entry_request {
    request_id id;
    std::shared_ptr<exchange> caller;
    std::size_t body_bytes{0};
    time_point received;
    tenant_id tenant{"default"};
    request_class priority{request_class::interactive};
    std::vector<std::shared_ptr<entry_attempt>> attempts;
    /// The attempt whose response is forwarded to the caller; null until a response head arrives.
    std::shared_ptr<entry_attempt> selected;
    bool idempotent{false};
    bool ended{false};
    /// Last refusal or failure of an attempt; explains the final refusal to the caller.
    std::optional<refusal_answer> last_refusal;

    /// Set once a response is forwarded that can be resumed after an interruption.
    std::optional<download_resume> resume;
    /// The download was interrupted; its remaining bytes are being requested.
    bool resuming{false};
    /// Bytes at the start of the response that the caller has already received.
    std::uint64_t skip_bytes{0};
    std::uint32_t resumptions{0};
    bool has_length{false};
    /// Bytes written to the caller's exchange and not sent yet: in total, and those from calls that
    /// have ended. The latter must not be counted as consumed for the current call.
    std::size_t unsent{0};
    std::size_t unsent_of_ended_calls{0};

    auto find_attempt(std::uint32_t number) const -> std::shared_ptr<entry_attempt>
    {
        for (const auto& it : attempts) {
            if (it->sent.attempt == number) {
                return it;
            }
        }
        return nullptr;
    }
};

} // namespace cornelswitch
