#include "gateway/backend_directory.h"

#include "platform/discovery_codec.h"

namespace cornelswitch {

namespace {

/// Limits the memory for removed servers. The id of a removed server is not used again for a long
/// time.
constexpr std::size_t max_removed_servers = 4096;
constexpr std::size_t max_reported_malformed = 1024;

} // namespace

auto backend_directory::add_services(const std::set<service_id>& services) -> void
{
    services_.insert(services.begin(), services.end());
    std::vector<unassigned_entry> assigned;
    std::erase_if(unassigned_, [&](const auto& it) {
        bool is_assigned = services_.contains(it.second.entry.service);
        if (is_assigned) {
            assigned.push_back(it.second);
        }
        return is_assigned;
    });
    for (const auto& it : assigned) {
        apply_entry(it.entry, it.read_at);
    }
}

auto backend_directory::apply(const std::string& id, const std::string& value, time_point now)
    -> void
{
    if (value.empty()) {
        unassigned_.erase(server_id{id});
        remove(id, now);
        return;
    }
    auto decoded = decode_backend_entry(id, value);
    if (decoded.has_error()) {
        if (reported_malformed_.size() < max_reported_malformed &&
            reported_malformed_.insert(id).second) {
            log_.line("server-entry-malformed")
                .text("server", id)
                .text("cause", decoded.error().message);
        }
        return;
    }
    auto& entry = decoded.value();
    if (!services_.contains(entry.service)) {
        keep_aside(std::move(entry), now);
        return;
    }
    unassigned_.erase(entry.id);
    apply_entry(entry, now);
}

auto backend_directory::keep_aside(backend_entry entry, time_point now) -> void
{
    auto [it, is_new] = unassigned_.try_emplace(entry.id);
    // Before the first configuration all entries are kept aside.
    if (is_new && !services_.empty()) {
        log_.line("server-entry-unassigned")
            .text("server", entry.id.value())
            .text("service", entry.service.value())
            .text("address", entry.address.to_text())
            .number("incarnation", entry.incarnation.value());
    }
    it->second = {std::move(entry), now};
}

auto backend_directory::apply_entry(const backend_entry& entry, time_point now) -> void
{
    auto known = servers_.find(entry.id);
    auto is_older = [&](server_incarnation incarnation, std::uint64_t sequence) {
        return entry.incarnation < incarnation ||
               (entry.incarnation == incarnation && entry.sequence < sequence);
    };
    if (known != servers_.end() &&
        is_older(known->second.entry.incarnation, known->second.entry.sequence)) {
        return;
    }
    if (auto left = removed_servers_.find(entry.id);
        left != removed_servers_.end() && is_older(left->second.first, left->second.second + 1)) {
        return;
    }
    removed_servers_.erase(entry.id);
    directory_server next;
    next.entry = entry;
    next.last_heartbeat_at = now;
    next.cold_until = entry.cold_left > duration::zero() ? now + entry.cold_left : time_point{};
    auto returned = returned_at_.find(entry.zone);
    if (returned != returned_at_.end() && now < returned->second + max_heartbeat_delay) {
        next.presumed_cold_until = returned->second + max_presumed_cold_time;
    }
    bool is_same = known != servers_.end() &&
                   known->second.entry.incarnation == entry.incarnation &&
                   known->second.entry.address == entry.address;
    if (entry.is_draining) {
        bool was_draining = is_same && known->second.draining_since;
        next.draining_since = was_draining ? known->second.draining_since : now;
    }
    bool is_changed = !is_same || known->second.entry.is_draining != entry.is_draining ||
                      known->second.entry.cold_left > duration::zero() ||
                      entry.cold_left > duration::zero() || known->second.removal_at ||
                      known->second.entry.slots != entry.slots;
    bool is_logged =
        !is_same || known->second.entry.is_draining != entry.is_draining ||
        (known->second.entry.cold_left > duration::zero()) != (entry.cold_left > duration::zero());
    if (is_logged) {
        log_.line("server-entry")
            .text("server", entry.id.value())
            .text("service", entry.service.value())
            .text("server_zone", entry.zone.value())
            .text("address", entry.address.to_text())
            .text("state", entry.is_draining ? "draining" : "ready")
            .ms("cold_ms", entry.cold_left)
            .number("sequence", static_cast<std::int64_t>(entry.sequence))
            .number("incarnation", entry.incarnation.value());
    }
    servers_.insert_or_assign(entry.id, std::move(next));
    revision_ += is_changed ? 1 : 0;
    if (!is_same) {
        remove_replaced(entry, now);
    }
}

auto backend_directory::remove_replaced(const backend_entry& successor, time_point now) -> void
{
    std::vector<backend_entry> ended;
    for (auto it = servers_.begin(); it != servers_.end();) {
        const auto& other = it->second.entry;
        // The platform assigns an address again only after the process that had it has ended. An
        // incarnation of 0 is unknown.
        bool is_replaced = other.id != successor.id && other.address == successor.address &&
                           other.incarnation.value() > 0 &&
                           other.incarnation < successor.incarnation;
        auto current = it++;
        if (is_replaced) {
            log_.line("server-replaced")
                .text("server", other.id.value())
                .text("service", other.service.value())
                .text("successor", successor.id.value())
                .ms("age_ms", now - current->second.last_heartbeat_at);
            ended.push_back(other);
            erase(current);
        }
    }
    for (const auto& it : ended) {
        if (on_ended_) {
            on_ended_(it.service, it.id, it.incarnation.value());
        }
    }
}

auto backend_directory::erase(std::map<server_id, directory_server>::iterator it) -> void
{
    if (removed_servers_.size() >= max_removed_servers) {
        removed_servers_.clear();
    }
    removed_servers_[it->first] = {it->second.entry.incarnation, it->second.entry.sequence};
    servers_.erase(it);
    ++revision_;
}

auto backend_directory::remove(const std::string& id, time_point now) -> void
{
    auto it = servers_.find(server_id{id});
    if (it == servers_.end()) {
        return;
    }
    if (now < reregistration_until_ && !it->second.entry.is_draining) {
        it->second.removal_at = reregistration_until_;
        log_.line("server-entry-lapsed")
            .text("server", id)
            .ms("grace_ms", reregistration_until_ - now);
        return;
    }
    log_.line("server-left")
        .text("server", id)
        .text("service", it->second.entry.service.value())
        .ms("age_ms", now - it->second.last_heartbeat_at);
    erase(it);
}

auto backend_directory::set_cold(const server_id& id, duration cold_left, time_point now) -> void
{
    auto it = servers_.find(id);
    if (it == servers_.end()) {
        return;
    }
    bool was_cold = now < it->second.cold_until;
    it->second.cold_until = cold_left > duration::zero() ? now + cold_left : time_point{};
    if (was_cold != (cold_left > duration::zero())) {
        log_.line("server-cold").text("server", id.value()).ms("cold_ms", cold_left);
        ++revision_;
    }
}

auto backend_directory::on_shutdown_announced(const server_id& id, std::int64_t incarnation,
                                              time_point now) -> bool
{
    if (!notices_.on_shutdown_announced(id, incarnation, now)) {
        return false;
    }
    log_.line("server-announced-end").text("server", id.value()).number("incarnation", incarnation);
    ++revision_;
    return true;
}

auto backend_directory::on_hold_off(const server_id& id, duration time, time_point now) -> void
{
    if (time <= duration::zero()) {
        return;
    }
    notices_.on_hold_off(id, time, now);
    log_.line("server-hold-off").text("server", id.value()).ms("time_ms", time);
}

auto backend_directory::set_store_available(bool is_available, time_point now) -> void
{
    if (is_available && !is_store_available_) {
        reregistration_until_ = now + reregistration_grace;
    }
    is_store_available_ = is_available;
}

auto backend_directory::set_evacuated(std::set<zone_id> zones, time_point now) -> void
{
    if (zones == evacuated_) {
        return;
    }
    for (const auto& it : zones) {
        if (!evacuated_.contains(it)) {
            evacuated_since_[it] = now;
            log_.line("zone-evacuated").text("evacuated_zone", it.value());
        }
    }
    for (const auto& it : evacuated_) {
        if (!zones.contains(it)) {
            returned_at_[it] = now;
            for (auto& [id, server] : servers_) {
                if (server.entry.zone == it) {
                    server.presumed_cold_until = now + max_presumed_cold_time;
                }
            }
            log_.line("zone-returned").text("evacuated_zone", it.value());
        }
    }
    evacuated_ = std::move(zones);
    ++revision_;
}

auto backend_directory::tick(time_point now) -> bool
{
    auto before = revision_;
    std::vector<std::string> leaving;
    for (const auto& [id, it] : servers_) {
        if (it.removal_at && now >= *it.removal_at) {
            leaving.push_back(id.value());
        }
    }
    for (const auto& it : leaving) {
        remove(it, now);
    }
    return revision_ != before;
}

auto backend_directory::is_evacuated(const backend_entry& it) const -> bool
{
    return evacuated_.contains(it.zone);
}

auto backend_directory::find(const server_id& id) const -> const directory_server*
{
    auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

auto backend_directory::schedulable(const service_id& service, bool is_keyed, time_point now) const
    -> std::vector<schedulable_server>
{
    std::vector<schedulable_server> out;
    for (const auto& [id, it] : servers_) {
        if (it.entry.service != service) {
            continue;
        }
        auto out_since = it.draining_since;
        if (auto since = notices_.leaving_since(id, it.entry.incarnation.value())) {
            out_since = out_since ? std::min(*out_since, *since) : *since;
        }
        if (is_evacuated(it.entry)) {
            auto since = evacuated_since_.at(it.entry.zone);
            out_since = out_since ? std::min(*out_since, since) : since;
        }
        bool is_usable = !out_since || (is_keyed && now < *out_since + key_drain_time);
        out.push_back({id, it.entry.zone, it.entry.slots, is_usable,
                       std::max(it.cold_until, it.presumed_cold_until),
                       it.entry.incarnation.value(), it.last_heartbeat_at});
    }
    return out;
}

auto backend_directory::servers_of(const service_id& service) const
    -> std::vector<const directory_server*>
{
    std::vector<const directory_server*> out;
    for (const auto& [id, it] : servers_) {
        if (it.entry.service == service) {
            out.push_back(&it);
        }
    }
    return out;
}

auto backend_directory::eligible_owners(const service_id& service, time_point now) const
    -> std::vector<const directory_server*>
{
    std::vector<const directory_server*> out;
    std::vector<const directory_server*> cold;
    for (const auto* it : servers_of(service)) {
        bool is_leaving =
            notices_.leaving_since(it->entry.id, it->entry.incarnation.value()).has_value();
        if (it->draining_since || it->removal_at || is_leaving || is_evacuated(it->entry)) {
            continue;
        }
        bool is_cold = now < std::max(it->cold_until, it->presumed_cold_until);
        (is_cold ? cold : out).push_back(it);
    }
    // Cold servers get keys only when there is no other server.
    return out.empty() ? cold : out;
}

} // namespace cornelswitch
