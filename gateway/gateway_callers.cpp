#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Descriptors reserved for files, given by the platform.
constexpr std::uint32_t reserved_descriptors = 200;
/// Pause between two searches for memory to free when the first one found none.
constexpr duration memory_search_interval = milliseconds{50};

auto caller_stream_options(const caller_limits& limits) -> stream_options
{
    return {.unacknowledged_timeout = milliseconds{5000},
            .keepalive_idle = seconds{5},
            .closed_window_timeout = std::chrono::duration_cast<milliseconds>(limits.idle_timeout)};
}

/// A quarter of the descriptors is left for connections to servers, peers and the store.
auto max_callers(std::uint32_t max_descriptors) -> std::size_t
{
    return (max_descriptors - std::min(max_descriptors, reserved_descriptors)) / 4 * 3;
}

} // namespace

auto gateway::accept_caller(st_h2o_socket_t* socket) -> void
{
    auto limits = configuration_ ? configuration_->content.limits : caller_limits{};
    auto stream = std::make_unique<tcp_stream>(loop_, socket, caller_stream_options(limits));
    if (settings_.max_descriptors > 0 && open_callers_ >= max_callers(settings_.max_descriptors) &&
        !close_one_caller()) {
        metrics_.count("callers_refused_total");
        return;
    }
    ++open_callers_;
    auto connection = std::make_shared<caller_connection>(
        services_, std::move(stream), limits, [this](caller_connection* closed) {
            --open_callers_;
            // Deferred, because a function of the connection is still running.
            loop_.schedule(duration::zero(), [this, closed, alive = alive_] {
                if (*alive) {
                    callers_.erase(closed);
                }
            });
        });
    callers_.emplace(connection.get(), connection);
    connection->start();
    if (is_shutting_down_) {
        connection->shut_down(false);
    }
}

auto gateway::collect_eviction_candidates() -> void
{
    eviction_candidates_.clear();
    evictable_callers_.clear();
    for (const auto& [raw, caller] : callers_) {
        if (caller->is_open()) {
            eviction_candidates_.push_back(caller->eviction_state());
            evictable_callers_.push_back(caller);
        }
    }
}

auto gateway::close_one_caller() -> bool
{
    collect_eviction_candidates();
    auto chosen = choose_connection_to_close(eviction_candidates_, loop_.now(),
                                             settings_.body_limits.stall_timeout);
    if (chosen) {
        metrics_.count("callers_closed_for_others_total");
        evictable_callers_[*chosen]->drop_body("no-descriptor");
        evictable_callers_[*chosen]->close();
    }
    evictable_callers_.clear();
    return chosen.has_value();
}

auto gateway::free_memory() -> bool
{
    auto now = loop_.now();
    if (now < next_memory_search_) {
        return false;
    }
    collect_eviction_candidates();
    auto chosen =
        choose_memory_to_free(eviction_candidates_, now, settings_.body_limits.stall_timeout);
    if (!chosen) {
        next_memory_search_ = now + memory_search_interval;
    } else if (eviction_candidates_[*chosen].state == connection_state::receiving_body) {
        metrics_.count("memory_dropped_bodies_total");
        evictable_callers_[*chosen]->drop_body("no-memory");
    } else {
        metrics_.count(eviction_candidates_[*chosen].state == connection_state::sending
                           ? "memory_dropped_responses_total"
                           : "memory_dropped_heads_total");
        evictable_callers_[*chosen]->close();
    }
    evictable_callers_.clear();
    return chosen.has_value();
}

auto gateway::shed_responses() -> void
{
    if (std::exchange(is_shedding_, true)) {
        return;
    }
    for (auto& [raw, caller] : callers_) {
        caller->pause_responses();
    }
    // Deferred, because the exchange that reported the shortage is still running.
    loop_.schedule(duration::zero(), [this, alive = alive_] {
        if (!*alive) {
            return;
        }
        is_shedding_ = false;
        // Half of the small share becomes free, so that this does not repeat with each response.
        auto target = (memory_.limit(memory_use::large) + memory_.capacity()) / 2;
        while (memory_.total() > target && (free_memory() || drop_largest_response())) {
        }
        for (auto& [raw, caller] : callers_) {
            caller->resume_response();
        }
    });
}

auto gateway::drop_largest_response() -> bool
{
    caller_connection* largest = nullptr;
    std::uint64_t most = 0;
    for (const auto& [raw, caller] : callers_) {
        auto state = caller->is_open() ? caller->eviction_state() : eviction_candidate{};
        if (state.state == connection_state::sending && state.held_bytes > most) {
            largest = caller.get();
            most = state.held_bytes;
        }
    }
    if (largest == nullptr) {
        return false;
    }
    metrics_.count("memory_dropped_responses_total");
    largest->close();
    return true;
}

auto gateway::on_memory_pressure(memory_pressure next) -> void
{
    if (next != memory_pressure::none) {
        for (auto& [raw, caller] : callers_) {
            caller->pause_waiting_responses();
        }
    }
    if (next != memory_pressure::exhausted && !is_memory_exhausted_) {
        return;
    }
    // Exhausted again before it was free.
    if (next == memory_pressure::tight ||
        (next == memory_pressure::exhausted && is_memory_exhausted_)) {
        return;
    }
    is_memory_exhausted_ = next == memory_pressure::exhausted;
    auto line = log_.line(is_memory_exhausted_ ? "memory-exhausted" : "memory-free");
    line.number("held", static_cast<std::int64_t>(memory_.total()))
        .number("capacity", static_cast<std::int64_t>(memory_.capacity()))
        .number("request_bodies",
                static_cast<std::int64_t>(memory_.held(memory_kind::request_body)))
        .number("responses", static_cast<std::int64_t>(memory_.held(memory_kind::response)));
}

auto gateway::set_memory_metrics() -> void
{
    metrics_.set("memory_account_bytes", static_cast<double>(memory_.capacity()));
    metrics_.set("memory_request_body_bytes",
                 static_cast<double>(memory_.held(memory_kind::request_body)));
    metrics_.set("memory_response_bytes", static_cast<double>(memory_.held(memory_kind::response)));
    metrics_.set("memory_unparsed_input_bytes",
                 static_cast<double>(memory_.held(memory_kind::unparsed_input)));
    metrics_.set("memory_peer_message_bytes",
                 static_cast<double>(memory_.held(memory_kind::peer_message)));
}

} // namespace cornelswitch
