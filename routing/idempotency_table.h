#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelswitch {

/// A complete response that is replayed for a retried `Idempotency-Key`.
struct recorded_response {
    std::uint32_t status{0};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// What to do with a request that carries an `Idempotency-Key`.
enum class idempotency_action : std::uint8_t {
    run,
    /// Respond with the recorded response.
    replay,
    /// Respond with `unknown`: the first request with the key is in progress.
    in_progress,
    /// Respond with `unknown`: an earlier request with the key ran or may have run, and no response
    /// is available for replay.
    response_unavailable,
    /// Respond with `unknown`: an earlier dispatcher may have run a request with the key.
    may_have_run_elsewhere,
    /// Refuse as `not-run`: the key was used for a different request.
    mismatch,
    /// Refuse as `not-run`: the table has no room for another key.
    full,
};

struct idempotency_decision {
    idempotency_action action{idempotency_action::run};
    /// Set for `replay`; valid until the next call of a member function.
    const recorded_response* response{nullptr};
};

/// When this dispatcher took over the slot, or the server of a service that is not keyed.
struct slot_takeover {
    time_point taken_at;
    wall_time_point taken_at_wall;
};

/// Creation time in a UUID version 7 (RFC 9562); none for any other text.
auto uuid_v7_time(std::string_view text) -> std::optional<wall_time_point>;

/// Idempotency keys that one dispatcher has seen. A key is kept for `retention` after its request
/// has ended. If the table is full, new keys are refused; if it runs out of memory, the oldest
/// recorded responses are dropped.
class idempotency_table {
public:
    static constexpr duration retention = std::chrono::seconds{60};
    static constexpr std::chrono::milliseconds clock_skew{500};
    static constexpr std::size_t default_entries = 16'384;
    static constexpr std::size_t default_bytes = 8 << 20;

    explicit idempotency_table(std::size_t max_entries = default_entries,
                               std::size_t max_bytes = default_bytes)
        : max_entries_{max_entries}, max_bytes_{max_bytes}
    {
    }

    /// `scope` separates tenants and services. `fingerprint` is a hash of method, path and body.
    /// After `run` the caller must report the end of the request by `complete`, `forget` or
    /// `mark_response_lost`.
    auto begin(std::string_view scope, std::string_view key, std::uint64_t fingerprint,
               const slot_takeover& takeover, time_point now) -> idempotency_decision;
    /// The request ran and its response is available.
    auto complete(std::string_view scope, std::string_view key, recorded_response response,
                  time_point now) -> void;
    /// The request certainly did not run, so the key may be used again.
    auto forget(std::string_view scope, std::string_view key) -> void;
    /// The request may have run, but its response is lost.
    auto mark_response_lost(std::string_view scope, std::string_view key, time_point now) -> void;

    auto expire(time_point now) -> void;
    auto entries() const -> std::size_t { return entries_.size(); }
    /// Memory that keys and recorded responses use, in bytes.
    auto bytes() const -> std::size_t { return bytes_; }

private:
    enum class state : std::uint8_t { running, recorded, not_kept };
    struct entry {
        state request_state{state::running};
        std::uint64_t fingerprint{0};
        recorded_response response;
        std::size_t response_bytes{0};
        time_point ended_at;
        /// Position in `ended_`; not valid while running.
        std::list<std::string>::iterator ended_position;
    };
    using entry_map = std::unordered_map<std::string, entry>;

    auto end_request(entry_map::iterator it, state request_state, time_point now) -> void;
    auto drop_response(entry& it) -> void;
    auto erase(entry_map::iterator it) -> void;

    std::size_t max_entries_;
    std::size_t max_bytes_;
    std::size_t bytes_{0};
    entry_map entries_;
    /// Ended entries, oldest first.
    std::list<std::string> ended_;
};

} // namespace cornelswitch
