#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "routing/routing_view.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace cornelswitch {

/// Finds the instance that dispatches for a backend server: from redirects, from the hints of the
/// view, or by trying the members of the server's cell. Instances that refused a connection are
/// skipped for a while, because the list of live instances is updated with a delay.
class dispatcher_directory {
public:
    /// Time for which an unreachable instance is skipped. It is about the time after which other
    /// instances hold the leases of a lost one.
    static constexpr duration unreachable_retry_delay = std::chrono::milliseconds{600};

    auto set_view(std::shared_ptr<const routing_view> view) -> void;
    auto note_redirect(const server_id& server, const instance_id& instance) -> void;
    auto forget_redirect(const server_id& server) -> void { redirects_.erase(server); }
    auto note_unreachable(const instance_id& instance, time_point now) -> void;
    auto note_reached(const instance_id& instance) -> void { unreachable_until_.erase(instance); }

    /// Returns none if no instance of the server's cell is known.
    auto find(const server_id& server, time_point now) const -> std::optional<instance_id>;

private:
    auto is_reachable(const instance_id& instance, time_point now) const -> bool;

    std::shared_ptr<const routing_view> view_{std::make_shared<routing_view>()};
    std::unordered_map<server_id, instance_id> redirects_;
    /// Unreachable instances, and until when they are skipped.
    std::unordered_map<instance_id, time_point> unreachable_until_;
};

} // namespace cornelswitch
