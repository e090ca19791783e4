#include "routing/dispatcher_directory.h"

#include <utility>

namespace cornelswitch {

namespace {

auto find_hint(const routing_view& view, const server_id& server) -> const instance_id*
{
    auto it = view.dispatchers.find(server);
    return it == view.dispatchers.end() ? nullptr : &it->second;
}

} // namespace

auto dispatcher_directory::set_view(std::shared_ptr<const routing_view> view) -> void
{
    auto previous = std::exchange(view_, std::move(view));
    // A hint that has changed is newer than the redirect.
    std::erase_if(redirects_, [&](const auto& it) {
        const auto* previous_hint = find_hint(*previous, it.first);
        const auto* current_hint = find_hint(*view_, it.first);
        return previous_hint == nullptr || current_hint == nullptr ||
               *previous_hint != *current_hint;
    });
}

auto dispatcher_directory::note_redirect(const server_id& server, const instance_id& instance)
    -> void
{
    redirects_[server] = instance;
}

auto dispatcher_directory::note_unreachable(const instance_id& instance, time_point now) -> void
{
    std::erase_if(unreachable_until_, [now](const auto& it) { return it.second <= now; });
    unreachable_until_[instance] = now + unreachable_retry_delay;
}

auto dispatcher_directory::find(const server_id& server, time_point now) const
    -> std::optional<instance_id>
{
    auto redirect = redirects_.find(server);
    if (redirect != redirects_.end() && is_reachable(redirect->second, now)) {
        return redirect->second;
    }
    const auto* hint = find_hint(*view_, server);
    if (hint != nullptr && is_reachable(*hint, now)) {
        return *hint;
    }
    auto members = view_->candidates.find(server);
    if (members != view_->candidates.end()) {
        for (const auto& it : members->second) {
            if (is_reachable(it, now)) {
                return it;
            }
        }
    }
    return hint == nullptr ? std::nullopt : std::optional{*hint};
}

auto dispatcher_directory::is_reachable(const instance_id& instance, time_point now) const -> bool
{
    auto it = unreachable_until_.find(instance);
    return it == unreachable_until_.end() || it->second <= now;
}

} // namespace cornelswitch
