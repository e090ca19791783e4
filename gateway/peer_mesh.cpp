#include "gateway/peer_mesh.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

/// Delay between attempts to connect; doubles while they fail.
constexpr duration min_reconnect_delay = milliseconds{300};
constexpr duration max_reconnect_delay = milliseconds{2400};
/// A candidate from which a response is expected is pinged after `ping_after` without a message.
/// Its link is dropped when `unresponsive_after` has passed since the ping.
constexpr duration ping_after = milliseconds{200};
constexpr duration unresponsive_after = milliseconds{500};
constexpr stream_options session_options{milliseconds{800}, std::chrono::seconds{1}};

} // namespace

peer_mesh::peer_mesh(event_loop& loop, event_log& log, gateway_metrics& metrics, candidate self,
                     boot_id boot, hooks receivers)
    : loop_{loop}, log_{log}, metrics_{metrics}, self_{std::move(self)}, boot_{boot},
      hooks_{std::move(receivers)}
{
}

peer_mesh::~peer_mesh()
{
    *alive_ = false;
}

auto peer_mesh::open() -> result<void>
{
    BOOST_OUTCOME_TRY(
        made, listener::open(loop_, self_.address, [this](auto* socket) { accept(socket); }));
    listener_ = std::move(made);
    return success();
}

auto peer_mesh::hello() const -> peer_hello
{
    return {self_, boot_, is_candidate_};
}

auto peer_mesh::set_candidates(const std::vector<const candidate*>& to) -> void
{
    std::map<instance_id, const candidate*> wanted;
    for (const auto* it : to) {
        if (it->id != self_.id) {
            wanted.emplace(it->id, it);
        }
    }
    std::vector<instance_id> unwanted;
    for (const auto& [node, it] : links_) {
        auto found = wanted.find(node);
        if (found == wanted.end() || found->second->address != it.to.address) {
            unwanted.push_back(node);
        }
    }
    for (const auto& node : unwanted) {
        drop_link(node, "no longer a candidate");
        links_.erase(node);
    }
    for (const auto& [node, it] : wanted) {
        auto [known, is_new] = links_.try_emplace(node);
        known->second.to = *it;
        if (is_new) {
            connect(known->second, loop_.now());
        }
    }
}

auto peer_mesh::set_is_candidate(bool is_candidate) -> void
{
    if (is_candidate == is_candidate_) {
        return;
    }
    is_candidate_ = is_candidate;
    for (auto& [node, it] : links_) {
        if (it.is_up) {
            it.link->send(hello());
        }
    }
}

auto peer_mesh::connect(candidate_link& it, time_point now) -> void
{
    it.is_connecting = true;
    it.reconnect_delay =
        std::clamp(it.reconnect_delay * 2, min_reconnect_delay, max_reconnect_delay);
    it.next_connect = now + it.reconnect_delay;
    peer_link::connect(loop_, it.to.address,
                       [this, to = it.to, alive = alive_](std::unique_ptr<tcp_stream> stream) {
                           if (*alive) {
                               on_connected(to, std::move(stream));
                           }
                       });
}

auto peer_mesh::on_connected(const candidate& to, std::unique_ptr<tcp_stream> stream) -> void
{
    auto found = links_.find(to.id);
    if (found == links_.end() || found->second.to.address != to.address) {
        return;
    }
    auto& it = found->second;
    it.is_connecting = false;
    if (!stream || it.link) {
        return;
    }
    it.link = std::make_unique<peer_link>(loop_, std::move(stream));
    it.last_ping = loop_.now();
    auto node = to.id;
    peer_link::handlers handlers;
    handlers.on_message = [this, node, alive = alive_](const peer_message& message) {
        if (*alive) {
            on_link_message(node, message);
        }
    };
    handlers.on_end = [this, node, alive = alive_] {
        if (*alive) {
            drop_link(node, "connection ended");
        }
    };
    it.link->start(std::move(handlers));
    it.link->send(hello());
    if (is_leaving_) {
        it.link->send(peer_shutting_down{});
    }
}

auto peer_mesh::on_link_message(const instance_id& node, const peer_message& message) -> void
{
    auto found = links_.find(node);
    if (found == links_.end()) {
        return;
    }
    if (std::holds_alternative<peer_hello>(message)) {
        auto& it = found->second;
        if (!std::exchange(it.is_up, true)) {
            it.reconnect_delay = duration::zero();
            it.last_ping = {};
            it.is_leaving = false;
            log_.line("peer-connected").text("peer", node.value());
            hooks_.on_link(node, true);
        }
        return;
    }
    if (std::holds_alternative<peer_shutting_down>(message)) {
        found->second.is_leaving = true;
        hooks_.on_leaving(node);
        return;
    }
    if (!std::holds_alternative<peer_pong>(message)) {
        hooks_.on_link_message(node, message);
    }
}

auto peer_mesh::drop_link(const instance_id& node, std::string_view cause) -> void
{
    auto found = links_.find(node);
    if (found == links_.end() || !found->second.link) {
        return;
    }
    auto& it = found->second;
    // Destroyed later, because this may run inside one of the link's handlers.
    auto old = std::shared_ptr<peer_link>{std::move(it.link)};
    old->close();
    loop_.schedule(duration::zero(), [old] {});
    it.next_connect = loop_.now() + std::max(it.reconnect_delay, min_reconnect_delay);
    it.last_ping = {};
    if (!std::exchange(it.is_up, false)) {
        return;
    }
    metrics_.count("peer_links_lost_total");
    log_.line("peer-link-lost").text("peer", node.value()).text("cause", cause);
    hooks_.on_link(node, false);
}

auto peer_mesh::check_unresponsive(candidate_link& it, time_point now) -> bool
{
    // A candidate that accepts a connection but sends no hello may be suspended.
    bool is_waiting = !it.is_up || hooks_.is_response_outstanding(it.to.id);
    if (!is_waiting) {
        it.last_ping = {};
        return false;
    }
    auto last_received = it.link->last_received();
    if (it.last_ping != time_point{} && last_received < it.last_ping &&
        now - it.last_ping > unresponsive_after) {
        return true;
    }
    if (it.is_up && now - last_received > ping_after &&
        (it.last_ping == time_point{} || last_received >= it.last_ping)) {
        it.last_ping = now;
        it.link->send(peer_ping{});
    }
    return false;
}

auto peer_mesh::tick(time_point now) -> void
{
    std::vector<instance_id> unresponsive;
    for (auto& [node, it] : links_) {
        if (!it.link) {
            if (!it.is_connecting && now >= it.next_connect) {
                connect(it, now);
            }
        } else if (check_unresponsive(it, now)) {
            unresponsive.push_back(node);
        }
    }
    for (const auto& node : unresponsive) {
        drop_link(node, "silent");
    }
}

auto peer_mesh::announce_shutdown() -> void
{
    is_leaving_ = true;
    broadcast(peer_shutting_down{}, [](const session&) { return true; });
}

auto peer_mesh::send(const instance_id& to, const peer_message& message) -> bool
{
    auto it = links_.find(to);
    if (it == links_.end() || !it->second.is_up || !it->second.link->is_open()) {
        return false;
    }
    it->second.link->send(message);
    return true;
}

auto peer_mesh::is_up(const instance_id& node) const -> bool
{
    auto it = links_.find(node);
    return it != links_.end() && it->second.is_up && it->second.link->is_open();
}

auto peer_mesh::accepts_work(const instance_id& node) const -> bool
{
    auto it = links_.find(node);
    return it != links_.end() && it->second.is_up && !it->second.is_leaving &&
           it->second.link->is_open();
}

auto peer_mesh::accept(st_h2o_socket_t* socket) -> void
{
    auto it = std::make_shared<session>();
    it->source = admission_source{++last_source_};
    it->link = std::make_unique<peer_link>(
        loop_, std::make_unique<tcp_stream>(loop_, socket, session_options));
    auto source = it->source;
    sessions_.emplace(source, it);
    peer_link::handlers handlers;
    handlers.on_message = [this, source, alive = alive_](const peer_message& message) {
        if (*alive) {
            on_session_message(source, message);
        }
    };
    handlers.on_end = [this, source, alive = alive_] {
        if (*alive) {
            drop_session(source);
        }
    };
    it->link->start(std::move(handlers));
    it->link->send(hello());
    if (is_leaving_) {
        it->link->send(peer_shutting_down{});
    }
}

auto peer_mesh::on_session_message(admission_source source, const peer_message& message) -> void
{
    auto found = sessions_.find(source);
    if (found == sessions_.end()) {
        return;
    }
    if (const auto* who = std::get_if<peer_hello>(&message)) {
        found->second->sender = who->sender;
        found->second->boot = who->boot;
        found->second->is_candidate = who->is_candidate;
        found->second->is_known = true;
        hooks_.on_session(source);
        return;
    }
    if (std::holds_alternative<peer_ping>(message)) {
        found->second->link->send(peer_pong{});
        return;
    }
    if (found->second->is_known) {
        hooks_.on_session_message(source, message);
    }
}

auto peer_mesh::drop_session(admission_source source) -> void
{
    auto node = sessions_.extract(source);
    if (node.empty()) {
        return;
    }
    log_.line("peer-lost").text("peer", node.mapped()->sender.id.value());
    // Destroyed later, because this may run inside one of the link's handlers.
    node.mapped()->link->close();
    loop_.schedule(duration::zero(), [old = node.mapped()] {});
    hooks_.on_session_end(source);
}

auto peer_mesh::send_to_session(admission_source to, const peer_message& message) -> void
{
    auto it = sessions_.find(to);
    if (it != sessions_.end()) {
        it->second->link->send(message);
    }
}

auto peer_mesh::broadcast(const peer_message& message,
                          const std::function<bool(const session&)>& is_recipient) -> void
{
    std::string bytes;
    for (auto& [source, it] : sessions_) {
        if (!it->is_known || !is_recipient(*it)) {
            continue;
        }
        if (bytes.empty()) {
            encode_peer_message(bytes, message);
        }
        it->link->send_encoded(bytes);
    }
}

auto peer_mesh::send_to_candidates(const peer_message& message) -> void
{
    broadcast(message, [](const session& it) { return it.is_candidate; });
}

auto peer_mesh::find(admission_source source) const -> const session*
{
    auto it = sessions_.find(source);
    return it == sessions_.end() ? nullptr : it->second.get();
}

auto peer_mesh::candidate_sessions() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        sessions_, [](const auto& it) { return it.second->is_known && it.second->is_candidate; }));
}

auto peer_mesh::held_bytes() const -> std::size_t
{
    std::size_t out = 0;
    for (const auto& [node, it] : links_) {
        out += it.link ? it.link->held_bytes() : 0;
    }
    for (const auto& [source, it] : sessions_) {
        out += it->link ? it->link->held_bytes() : 0;
    }
    return out;
}

} // namespace cornelswitch
