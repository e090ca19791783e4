#pragma once

#include "gateway/backend_entry.h"
#include "gateway/event_log.h"
#include "routing/admission_scheduler.h"
#include "routing/server_notices.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelswitch {

/// A server's newest entry, and its state as seen by this instance.
struct directory_server {
    backend_entry entry;
    time_point last_heartbeat_at{};
    time_point cold_until{};
    /// Until then the server may be cold although it has not reported so.
    time_point presumed_cold_until{};
    std::optional<time_point> draining_since;
    /// Time at which the server is removed unless its entry is written again. Set when the entry
    /// has expired after an outage of the store.
    std::optional<time_point> removal_at;
};

/// Backend servers that are registered in service discovery, and which of them may get requests.
///
/// Other writers may leave entries in service discovery too. An entry whose service no
/// configuration has named may be one of these, so it is kept aside: it neither adds, changes nor
/// ends a server.
class backend_directory {
public:
    /// Entries that expired during an outage of the store are written again within two seconds.
    static constexpr duration reregistration_grace = std::chrono::milliseconds{2200};
    /// The servers of a zone that returns from evacuation count as cold until a heartbeat reports
    /// otherwise, at most for this long.
    static constexpr duration max_presumed_cold_time = std::chrono::seconds{3};
    /// A heartbeat read sooner after the return of its zone may have been written before it.
    static constexpr duration max_heartbeat_delay = std::chrono::milliseconds{800};
    /// Time for which a server that leaves still serves its keys, while they are moved.
    static constexpr duration key_drain_time = server_notices::key_drain_time;

    using ended_callback =
        std::function<void(const service_id&, const server_id&, std::int64_t incarnation)>;

    explicit backend_directory(event_log& log) : log_{log} {}

    /// `on_ended` receives each server whose process is known to have ended, because a process of a
    /// configured service that started later has registered the same address.
    auto set_on_ended(ended_callback on_ended) -> void { on_ended_ = std::move(on_ended); }

    /// Adds services that a configuration names, and applies the entries that were kept aside for
    /// them. Services that later configurations drop stay known, because their servers may still
    /// run.
    auto add_services(const std::set<service_id>& services) -> void;
    /// Applies the newest record of a server; an empty value removes the server.
    auto apply(const std::string& id, const std::string& value, time_point now) -> void;
    /// A server reported in a health check how long it stays cold.
    auto set_cold(const server_id& id, duration cold_left, time_point now) -> void;
    /// A server announced its shutdown in a response; this overrides its entry. Returns whether it
    /// was not known yet.
    auto on_shutdown_announced(const server_id& id, std::int64_t incarnation, time_point now)
        -> bool;
    /// A server refused a request of this instance and wants no further one for `time`.
    auto on_hold_off(const server_id& id, duration time, time_point now) -> void;
    auto set_store_available(bool is_available, time_point now) -> void;
    /// Takes all servers of these zones, and only of these, out of service.
    auto set_evacuated(std::set<zone_id> zones, time_point now) -> void;
    /// Removes servers whose entries were not written again in time. Returns whether anything
    /// changed.
    auto tick(time_point now) -> bool;

    auto find(const server_id& id) const -> const directory_server*;
    auto notices() const -> const server_notices& { return notices_; }
    /// Servers of a service for its scheduler.
    auto schedulable(const service_id& service, bool is_keyed, time_point now) const
        -> std::vector<schedulable_server>;
    /// Servers of a service that may own keys.
    auto eligible_owners(const service_id& service, time_point now) const
        -> std::vector<const directory_server*>;
    auto servers_of(const service_id& service) const -> std::vector<const directory_server*>;
    auto size() const -> std::size_t { return servers_.size(); }
    /// Incremented with each change that matters for routing.
    auto revision() const -> std::uint64_t { return revision_; }

private:
    struct unassigned_entry {
        backend_entry entry;
        time_point read_at{};
    };

    auto is_evacuated(const backend_entry& it) const -> bool;
    auto keep_aside(backend_entry entry, time_point now) -> void;
    /// Applies an entry of a configured service that was read at `now`.
    auto apply_entry(const backend_entry& entry, time_point now) -> void;
    auto remove(const std::string& id, time_point now) -> void;
    /// Removes the servers whose address `successor` has taken over.
    auto remove_replaced(const backend_entry& successor, time_point now) -> void;
    auto erase(std::map<server_id, directory_server>::iterator it) -> void;

    event_log& log_;
    ended_callback on_ended_;
    std::map<server_id, directory_server> servers_;
    std::set<service_id> services_;
    /// Newest entry of each id whose service no configuration has named yet.
    std::map<server_id, unassigned_entry> unassigned_;
    server_notices notices_;
    /// Newest incarnation and sequence of each removed server, so that a late record of an earlier
    /// heartbeat does not add it again.
    std::map<server_id, std::pair<server_incarnation, std::uint64_t>> removed_servers_;
    std::set<std::string> reported_malformed_;
    std::set<zone_id> evacuated_;
    std::map<zone_id, time_point> evacuated_since_;
    std::map<zone_id, time_point> returned_at_;
    bool is_store_available_{true};
    time_point reregistration_until_{};
    std::uint64_t revision_{0};
};

} // namespace cornelswitch
