#include "routing/server_notices.h"

#include <algorithm>

namespace cornelswitch {

auto server_notices::on_shutdown_announced(const server_id& server, std::int64_t incarnation,
                                           time_point now) -> bool
{
    auto it = leaving_.find(server);
    if (it != leaving_.end()) {
        if (it->second.incarnation >= incarnation) {
            return false;
        }
        it->second = {incarnation, now};
        return true;
    }
    if (leaving_.size() >= max_servers) {
        auto since = [](const auto& entry) { return entry.second.since; };
        leaving_.erase(std::ranges::min_element(leaving_, {}, since));
    }
    leaving_.emplace(server, shutdown_notice{incarnation, now});
    return true;
}

auto server_notices::on_hold_off(const server_id& server, duration hold_off, time_point now) -> void
{
    if (hold_off <= duration::zero()) {
        return;
    }
    auto until = now + std::min(hold_off, max_hold_off);
    auto it = held_off_.find(server);
    if (it != held_off_.end()) {
        it->second = std::max(it->second, until);
        return;
    }
    if (held_off_.size() >= max_servers) {
        std::erase_if(held_off_, [&](const auto& entry) { return entry.second <= now; });
    }
    if (held_off_.size() >= max_servers) {
        auto end = [](const auto& entry) { return entry.second; };
        held_off_.erase(std::ranges::min_element(held_off_, {}, end));
    }
    held_off_.emplace(server, until);
}

auto server_notices::leaving_since(const server_id& server, std::int64_t incarnation) const
    -> std::optional<time_point>
{
    auto it = leaving_.find(server);
    if (it == leaving_.end() || it->second.incarnation < incarnation) {
        return std::nullopt;
    }
    return it->second.since;
}

auto server_notices::held_off_until(const server_id& server, time_point now) const
    -> std::optional<time_point>
{
    auto it = held_off_.find(server);
    return it != held_off_.end() && now < it->second ? std::optional{it->second} : std::nullopt;
}

auto server_notices::may_send(const server_id& server, std::int64_t incarnation, bool is_owner,
                              time_point now) const -> bool
{
    if (held_off_until(server, now)) {
        return false;
    }
    auto since = leaving_since(server, incarnation);
    return !since || (is_owner && now < *since + key_drain_time);
}

} // namespace cornelswitch
