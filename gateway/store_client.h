#pragma once

#include "gateway/event_log.h"
#include "gateway/unary_client.h"
#include "ownership/store_era_tracker.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace cornelswitch {

/// Calls the store, and checks the era of each response before it is used.
///
/// A call fails when its response is stale, and when the store was restored from a copy between the
/// sending and the response, because what the call continued or set as its condition was read in an
/// earlier era. A store that names no eras is called as by `unary_client`.
class store_client {
public:
    store_client(event_loop& loop, unary_client& connections, event_log& log);
    store_client(const store_client&) = delete;
    auto operator=(const store_client&) -> store_client& = delete;
    ~store_client();

    /// Sets a callback for each new era, which runs before the handler of the call that showed it.
    auto set_on_new_era(std::function<void(store_era)> hook) -> void
    {
        on_new_era_ = std::move(hook);
    }
    /// See `unary_client::call`. Errors also: `unavailable` for a response that is not used because
    /// of its era.
    auto call(http_request request, duration timeout, unary_client::handler on_response) -> void;
    /// Processes the highest era that another instance has seen.
    auto on_peer_era(store_era era, std::string_view peer) -> void;
    auto era() const -> store_era { return tracker_.era(); }
    auto tracker() const -> const store_era_tracker& { return tracker_; }

private:
    /// Returns why the response must not be used; none when it may be.
    auto check(const http_response& response, store_era sent_in) -> std::optional<error>;
    auto announce(std::string_view peer) -> void;
    auto report_stale(const store_era_tracker::named_era& named) -> void;

    event_loop& loop_;
    unary_client& connections_;
    event_log& log_;
    store_era_tracker tracker_;
    /// A response without an era was used, so the copies may be older than the first era.
    bool has_used_unnamed_{false};
    time_point next_stale_line_{};
    std::function<void(store_era)> on_new_era_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
