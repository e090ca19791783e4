#include "gateway/store_client.h"

#include "platform/store_codec.h"

#include <utility>

namespace cornelswitch {

namespace {

/// A store that sends stale responses may send many.
constexpr duration stale_line_interval = std::chrono::seconds{1};

auto era_error(std::string message) -> error
{
    return {error_code::unavailable, "store-era", {}, std::move(message)};
}

} // namespace

store_client::store_client(event_loop& loop, unary_client& connections, event_log& log)
    : loop_{loop}, connections_{connections}, log_{log}
{
}

store_client::~store_client()
{
    *alive_ = false;
}

auto store_client::call(http_request request, duration timeout, unary_client::handler on_response)
    -> void
{
    connections_.call(std::move(request), timeout,
                      [this, sent_in = era(), alive = alive_,
                       on_response = std::move(on_response)](result<http_response> answer) {
                          if (!*alive) {
                              return;
                          }
                          auto refused = answer.has_value() ? check(answer.value(), sent_in)
                                                            : std::optional<error>{};
                          on_response(refused ? result<http_response>{*refused}
                                              : std::move(answer));
                      });
}

auto store_client::check(const http_response& response, store_era sent_in) -> std::optional<error>
{
    auto named = store_codec::decode_era(response);
    if (era() == store_era{} && named.has_value() && !named.value()) {
        has_used_unnamed_ = true;
        return std::nullopt;
    }
    auto server = connections_.server().to_text();
    auto kind = tracker_.on_response(named, server, loop_.now());
    if (kind == era_class::stale) {
        report_stale(named);
        return era_error("the response is of an earlier era or names none");
    }
    if (kind == era_class::new_era) {
        announce(server);
    }
    // Before the first response nothing was read, so a call has no condition of an earlier era.
    bool is_first = sent_in == store_era{} && !has_used_unnamed_;
    if (sent_in != era() && !is_first) {
        return era_error("the store was restored during the call");
    }
    return std::nullopt;
}

auto store_client::on_peer_era(store_era era, std::string_view peer) -> void
{
    if (tracker_.on_peer_era(era, peer, loop_.now())) {
        announce(peer);
    }
}

auto store_client::announce(std::string_view peer) -> void
{
    log_.line("store-era")
        .text("peer", peer)
        .number("era", static_cast<std::int64_t>(era().value()));
    if (on_new_era_) {
        on_new_era_(era());
    }
}

auto store_client::report_stale(const store_era_tracker::named_era& named) -> void
{
    auto now = loop_.now();
    if (now < next_stale_line_) {
        return;
    }
    next_stale_line_ = now + stale_line_interval;
    auto value = named.has_value() ? named.value().value_or(store_era{}) : store_era{};
    log_.line("store-era-stale")
        .text("peer", connections_.server().to_text())
        .text("cause", named.has_error() ? named.error().message : "")
        .number("named", static_cast<std::int64_t>(value.value()))
        .number("era", static_cast<std::int64_t>(era().value()))
        .number("responses", static_cast<std::int64_t>(tracker_.stale_responses()));
}

} // namespace cornelswitch
